"""Poison requests: found by the endpoints that die under them."""
