"""Plans: what a declaration would change, and how it is confirmed."""
