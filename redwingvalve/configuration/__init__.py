"""Distribution of configuration: to all nodes in seconds, without reverts."""
