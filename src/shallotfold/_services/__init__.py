"""Access the platform: ports as protocols, and their HTTP adapters."""
