"""Handle requests from their arrival to their final answer."""
