"""Composes the daemon of each role from its settings."""
