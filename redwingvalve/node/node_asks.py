"""Asks nodes that may be gone whether they are alive.

Load pattern: registrations of killed nodes stay in the store, and a node that
starts in a fleet of 361 reads them all. Hubs would tell it of changes only. So
it asks each listed node for one status message, and callers are given those
that reply. A node that was marked down is asked again after each listing, as a
cut link may have hidden it.
"""

from redwingvalve.node import peers as peers_module


def next_asked(peers: peers_module.Peers) -> list[str]:
    """Return the nodes to be asked now for a status message."""
    found = [
        peer
        for peer in peers.known.values()
        if peer.asks_left and (peer.is_down or not peer.is_confirmed)
    ]
    for asked in found:
        asked.asks_left = 0 if asked.is_down else asked.asks_left - 1
    return [peer.address.vm for peer in found]
