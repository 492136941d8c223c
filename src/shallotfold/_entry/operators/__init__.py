"""Show operators what an entry does."""
