"""Routing: to which replica or address a request goes."""
