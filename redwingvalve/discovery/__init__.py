"""Discovery: the entries a caller should use, and for how long."""
