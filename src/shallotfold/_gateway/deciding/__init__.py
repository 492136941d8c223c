"""Decide where requests go; no network."""
