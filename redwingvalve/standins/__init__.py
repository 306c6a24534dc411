"""Fake platform services and engines for tests, with fault injection."""
