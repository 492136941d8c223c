"""Run real gateways under random faults and check their outside behaviour."""
