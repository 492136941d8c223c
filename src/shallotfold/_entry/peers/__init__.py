"""Keep streams to other entries."""
