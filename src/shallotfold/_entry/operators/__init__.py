"""Serve status and explanations to operators."""
