"""Permits serving only with fresh evidence that every VM is ready."""
