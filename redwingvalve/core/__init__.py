"""Shared basics: clocks, findings, outcomes, errors and invariants."""
