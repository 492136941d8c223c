"""Adapt shallotfold to the platform that its users run it on."""
