"""Endpoints on VMs, the replicas that they form, and decisions about both."""
