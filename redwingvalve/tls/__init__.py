"""TLS for the administration API and between our processes."""
