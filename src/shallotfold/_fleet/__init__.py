"""Read and write the fleet's shared state in the key-value service."""
