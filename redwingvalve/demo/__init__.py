"""Demo: all roles and fake platform services on one event loop."""
