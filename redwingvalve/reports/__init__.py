"""Turns results of benches and experiments into plots and one HTML page."""
