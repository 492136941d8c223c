"""Own pools of upstreams: queue, grant, preempt and refuse."""
