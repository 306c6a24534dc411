"""Replicas of VMs: formation, fencing, healing and the domain object."""
