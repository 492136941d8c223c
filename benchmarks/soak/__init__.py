"""Run real gateways under random faults and check what others see of them."""
