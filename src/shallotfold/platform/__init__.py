"""Translate between shallotfold and the platform that its users run it on."""
