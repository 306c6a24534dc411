"""News: key-value items with a maximum age that processes gossip."""
