"""Routing: chooses the replica or address for a request."""
