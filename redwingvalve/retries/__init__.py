"""Retries: which requests are retried, how often, and stream resumption."""
