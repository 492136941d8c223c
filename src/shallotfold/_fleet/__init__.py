"""Read and write what the whole fleet agrees on in the key-value service."""
