"""Which nodes callers are given, and which may grant places."""

import random
import time

from redwingvalve.node import peers as peers_module

# The platform heeds no more addresses than this.
MAX_FRONTS = 64
# With so many nodes in a caller's data centre it is given no others: requests
# and answers then stay within it.
NEAR_FRONTS = 8


def available_peers(peers: peers_module.Peers) -> list[peers_module.Peer]:
    """Return the nodes that seem to live and don't leave."""
    since_s = time.monotonic() - peers.alive_timeout_s
    living = peers.alive()
    if not peers.is_large_fleet:
        living = [
            peer for peer in peers.known.values() if peer.last_seen_s >= since_s
        ]
    return [peer for peer in living if peer.is_ready and not peer.is_leaving]


def select_fronts(
    peers: peers_module.Peers, data_centre: str = ''
) -> list[str]:
    """Return addresses that callers of a data centre may be given."""
    # A node that hears nobody is itself cut off, or all others are new.
    found = peers.alive() or available_peers(peers)
    ready = [one for one in found if one.is_ready and not one.is_leaving]
    near = [one for one in ready if one.address.data_centre == data_centre]
    chosen = near if len(near) >= NEAR_FRONTS else ready
    if len(chosen) > MAX_FRONTS:
        chosen = random.sample(chosen, MAX_FRONTS)
    return [peer.address.front for peer in chosen]
