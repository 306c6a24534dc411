"""Admission: whom to serve now, who waits, who is refused at once."""
