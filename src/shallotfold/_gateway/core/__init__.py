"""Types and helpers that all packages of the gateway use."""
