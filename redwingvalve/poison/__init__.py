"""Poison requests: detected by the endpoints that fail while running them."""
