"""Finds out which nodes of a data centre are gone whose hubs fell silent.

Load pattern: a data centre of 120 nodes loses its power, both hubs included.
Hubs of other data centres hear from its hubs only, and would wait for each next
two of its nodes in turn: a minute, in which callers are given lost nodes. So
all its nodes are asked for a status message at once, and those that send none
are marked down together.

A cut link looks the same, also one that only this hub is behind: the hubs of
the other data centre then see no change that they would report. So a few of the
nodes that are down there are asked again at each status interval, and all of
them once one of a data centre without any live node has replied.
"""

import random
import time
import typing

import attrs

from redwingvalve.node import peers as peers_module

# Nodes of a data centre that are down and asked again, at each interval.
RETURN_ASKS = 2


@attrs.define(eq=False)
class LostDataCentres:
    """The data centres whose hubs fell silent, as this hub sees them."""

    _peers: peers_module.Peers
    _on_changed: typing.Callable[[peers_module.Peer], None]
    _rng: random.Random = attrs.field(factory=random.Random)
    # Nodes that were asked for a message, and since when.
    _asked_since_s: dict[str, float] = attrs.field(factory=dict)
    # Data centres without any live node.
    _unreachable: set[str] = attrs.field(factory=set)

    def hub_silent(self, hub: peers_module.Peer) -> None:
        """Ask all nodes of a hub's data centre if no hub of it is left."""
        data_centre = hub.address.data_centre
        if data_centre == self._peers.local.data_centre:
            return
        now_s = time.monotonic()
        since_s = now_s - peers_module.HUB_ALIVE_TIMEOUT_S
        left = [
            peer
            for peer in self._peers.known.values()
            if peer.address.data_centre == data_centre and not peer.is_down
        ]
        if any((peer.last_received_s or 0) >= since_s for peer in left):
            return
        for peer in left:
            self._asked_since_s.setdefault(peer.address.vm, now_s)

    def mark_silent_down(self, excused_s: float) -> None:
        """Mark asked nodes as down that sent nothing; excuse time before."""
        since_s = time.monotonic() - peers_module.HUB_ALIVE_TIMEOUT_S
        for vm, asked_since_s in list(self._asked_since_s.items()):
            peer = self._peers.known.get(vm)
            if peer is None or _is_decided(peer, asked_since_s):
                self._asked_since_s.pop(vm)
            elif max(asked_since_s, excused_s) < since_s:
                self._asked_since_s.pop(vm)
                self._peers.set_down(peer, is_down=True)
                self._on_changed(peer)

    def next_asked(self) -> set[str]:
        """Return the nodes to be asked now for a status message."""
        down = self._down_by_data_centre()
        unreachable = set(down) - self._reachable()
        for returned in self._unreachable - unreachable:
            for peer in down.get(returned, ()):
                peer.asks_left = peers_module.ASKS_AFTER_LISTING
        self._unreachable = unreachable
        asked = set(self._asked_since_s)
        for data_centre, names in down.items():
            if data_centre == self._peers.local.data_centre:
                continue
            chosen = self._rng.sample(names, min(RETURN_ASKS, len(names)))
            asked.update(one.address.vm for one in chosen)
        return asked

    def _down_by_data_centre(self) -> dict[str, list[peers_module.Peer]]:
        found: dict[str, list[peers_module.Peer]] = {}
        for peer in self._peers.known.values():
            if peer.is_down:
                found.setdefault(peer.address.data_centre, []).append(peer)
        return found

    def _reachable(self) -> set[str]:
        """Return the data centres with a live node."""
        found = {one.address.data_centre for one in self._peers.alive()}
        return {self._peers.local.data_centre, *found}


def _is_decided(peer: peers_module.Peer, asked_since_s: float) -> bool:
    """Return whether an asked node has replied or was marked down."""
    return peer.is_down or (peer.last_received_s or 0) >= asked_since_s
