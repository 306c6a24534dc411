"""Binding of YAML documents to attrs classes; findings have a location."""
