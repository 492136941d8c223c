"""Keep this host up to date from the store and from peers."""
