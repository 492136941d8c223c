"""Duties that one host performs for the fleet: usage reports and scaling."""
