"""Maintain streams to other entries."""
