"""Hold the entry points of the binaries."""
