"""Run a controller: hold duties under leases, order upstreams, report usage."""
