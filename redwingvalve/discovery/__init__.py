"""Which address a caller should use, and for how long."""
