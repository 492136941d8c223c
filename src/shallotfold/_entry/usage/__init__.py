"""Count the usage of workspaces and the demand of callers."""
