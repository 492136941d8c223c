"""Build, check and print configurations."""
