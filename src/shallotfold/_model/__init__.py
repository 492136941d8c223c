"""Define the domain types that all processes share."""
