"""Read and write HTTP, and keep connections to upstreams."""
