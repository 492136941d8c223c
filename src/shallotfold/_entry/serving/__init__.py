"""Serve callers and send requests to upstreams."""
