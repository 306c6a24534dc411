"""Endpoints on VMs, the replicas that they form, and what to do with them."""
