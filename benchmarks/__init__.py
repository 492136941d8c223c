"""Benchmarks of shallotfold and its demo."""
