"""Talk to callers and upstreams."""
