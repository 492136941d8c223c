"""Measure shallotfold and demonstrate it."""
