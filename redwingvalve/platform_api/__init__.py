"""Clients of the platform: object API, VM list, weight store, engine orders."""
