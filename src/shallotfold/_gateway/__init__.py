"""Serve declared HTTP routes from shared upstreams on many small hosts."""
