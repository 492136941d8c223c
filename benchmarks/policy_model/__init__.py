"""Model upstreams, workloads and faults in virtual time."""
