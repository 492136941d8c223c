"""Track which entries are live and how fresh the configuration is."""
