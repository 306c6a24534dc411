"""Stand-ins for the users' platform, which speak its published protocol."""
