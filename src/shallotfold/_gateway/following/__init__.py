"""Believe what the store and peers say."""
