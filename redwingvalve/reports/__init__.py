"""Renders benchmark and experiment results as plots and an HTML page."""
