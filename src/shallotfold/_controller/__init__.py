"""Controller: holds duties under leases, orders upstreams, reports usage."""
