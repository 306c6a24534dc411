"""Retries: what may be sent again, how often, and how a stream resumes."""
