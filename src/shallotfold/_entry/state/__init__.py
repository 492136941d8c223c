"""Data that an entry holds; functions on it are in the other packages."""
