"""Randomised runs that attack every promise."""
