"""Exchange state with the other hosts."""
