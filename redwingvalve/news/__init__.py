"""News that processes spread between each other, with bounds on its age."""
