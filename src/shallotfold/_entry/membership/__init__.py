"""Tell which entries live and how fresh their configuration is."""
