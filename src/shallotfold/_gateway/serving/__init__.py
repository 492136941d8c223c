"""Serve callers."""
