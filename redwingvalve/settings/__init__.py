"""The settings of a process, in YAML, checked as a whole."""
