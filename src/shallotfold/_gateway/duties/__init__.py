"""Do once for the whole fleet: report usage, order upstreams."""
