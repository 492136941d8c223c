"""What all parts of the gateway share."""
