"""Grants slots at endpoints; one node, the owner, counts those of a pool."""
