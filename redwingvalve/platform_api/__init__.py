"""The platform behind abstract base classes: objects, VMs, weights, orders."""
