"""Load and check the TOML settings of the binaries."""
