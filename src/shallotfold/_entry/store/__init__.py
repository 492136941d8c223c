"""Run the store calls that the reducer requests."""
