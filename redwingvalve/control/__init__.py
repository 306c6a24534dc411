"""The controller daemon: administration, plans, replicas."""
