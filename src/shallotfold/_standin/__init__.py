"""Stand in for the platform and the upstreams during development."""
