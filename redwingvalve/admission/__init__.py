"""Whom to serve, who waits, who is refused and when."""
