"""Plans: the changes that a declaration implies, and their confirmation."""
