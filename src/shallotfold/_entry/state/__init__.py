"""State of the entry; the functions on it are in the other packages."""
