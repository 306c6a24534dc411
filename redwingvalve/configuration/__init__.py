"""Accepted configuration: in force everywhere in seconds, never reverting."""
