"""Count what was served and asked for."""
