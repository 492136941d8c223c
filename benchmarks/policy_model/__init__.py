"""Simulate upstreams, workloads and faults in virtual time."""
