"""Simulate the platform and the upstreams for development and tests."""
