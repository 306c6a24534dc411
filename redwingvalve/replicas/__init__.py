"""Forms, fences and heals replicas that span several VMs of a domain."""
