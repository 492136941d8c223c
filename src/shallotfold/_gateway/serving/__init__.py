"""HTTP serving: caller connections, routing and relaying of requests."""
