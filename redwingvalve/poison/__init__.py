"""Requests that crash the endpoints that run them."""
