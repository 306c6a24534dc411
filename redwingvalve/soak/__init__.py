"""Randomised fault injection that checks every guarantee of the system."""
