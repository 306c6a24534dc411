"""Logs, metrics, traces, and the analysis of logs."""
