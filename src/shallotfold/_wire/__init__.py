"""Carry typed messages between entries: codec, framing, handshake."""
