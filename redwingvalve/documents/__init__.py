"""YAML documents bound to attrs classes, with a place for every finding."""
