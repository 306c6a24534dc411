"""Logs, metrics and spans."""
