"""Entry points of the binaries."""
