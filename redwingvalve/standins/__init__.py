"""Small stand-ins of the platform, with faults that can be switched on."""
