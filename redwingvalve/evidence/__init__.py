"""Serving is permitted by fresh evidence that every VM is there."""
