"""The daemons: each role composed from its slices, from settings alone."""
