"""Gossip membership: which members are alive, leaving or dead."""
