"""Which replica gets a request."""
