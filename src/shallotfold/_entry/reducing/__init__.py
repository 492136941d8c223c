"""Dispatch events to the parts of the reducer."""
