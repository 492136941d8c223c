"""Send typed messages between entries: codec, framing, handshake."""
