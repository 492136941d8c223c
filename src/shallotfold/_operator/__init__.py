"""Build configurations and run the commands of operators."""
