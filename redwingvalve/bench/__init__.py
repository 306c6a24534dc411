"""Measurements against baselines, seeded, with their figures as JSON."""
