"""Implement the commands of the operators' command line."""
