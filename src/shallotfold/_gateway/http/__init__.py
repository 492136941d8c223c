"""HTTP messages, clients and connection pools of the gateway."""
