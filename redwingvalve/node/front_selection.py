"""Selects the nodes that callers are given and that may allocate slots."""

import random
import time

from redwingvalve.node import peers as peers_module

# The platform ignores further addresses.
MAX_FRONTS = 64
# If a caller's data centre has at least this many nodes that reach endpoints,
# the caller is given no others, so that requests and answers stay within it.
MIN_LOCAL_FRONTS = 8
# A node that registered within this time, by its clock and this one's, is given
# to callers before it has sent a message: when a whole fleet starts, callers
# are spread at once. A killed node may be given for 7 s; this leaves four for
# clocks that differ.
NEW_NODE_S = 3.0
_MS_IN_S = 1000


def available_peers(peers: peers_module.Peers) -> list[peers_module.Peer]:
    """Return the nodes that are alive, ready and not leaving."""
    return [peer for peer in staying_peers(peers) if peer.is_ready]


def staying_peers(peers: peers_module.Peers) -> list[peers_module.Peer]:
    """Return the nodes that are alive and not leaving."""
    since_s = time.monotonic() - peers.alive_timeout_s
    alive = peers.alive()
    if not peers.is_large_fleet:
        alive = [
            peer for peer in peers.known.values() if peer.last_seen_s >= since_s
        ]
    return [peer for peer in alive if not peer.is_leaving]


def select_fronts(
    peers: peers_module.Peers, data_centre: str = ''
) -> list[str]:
    """Return the front addresses to give to callers of a data centre."""
    # If no peer counts as alive, this node is cut off or all peers are new.
    found = peers.alive() or available_peers(peers)
    ready = [
        one
        for one in found
        if one.is_ready and not one.is_leaving and _is_confirmed(one)
    ]
    local = [one for one in ready if one.address.data_centre == data_centre]
    # Those that are cut off stay in: they forward, which spreads the work.
    in_touch = sum(not _is_cut_off(peers, one) for one in local)
    chosen = local if in_touch >= MIN_LOCAL_FRONTS else ready
    if len(chosen) > MAX_FRONTS:
        chosen = random.sample(chosen, MAX_FRONTS)
    return [peer.address.front for peer in chosen]


def _is_cut_off(peers: peers_module.Peers, peer: peers_module.Peer) -> bool:
    return peers.cut_off.is_cut_off(peer.address.vm, peer.address.data_centre)


def _is_confirmed(peer: peers_module.Peer) -> bool:
    """Return whether a node is known by more than an old registration."""
    age_s = time.time() - peer.address.born_ms / _MS_IN_S
    return peer.is_confirmed or abs(age_s) < NEW_NODE_S
