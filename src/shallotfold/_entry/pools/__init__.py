"""Manage owned pools of upstreams: queue, grant, preempt and refuse."""
