"""Chooses the nodes whose state a hub repeats in its regular messages.

Load pattern: hundreds of nodes become ready within a second, or a data centre
returns. A message has room for the latest changes only, and datagrams get lost.
Nodes that are down, leaving or not ready are repeated for as long as they are,
since a node that has just started must learn of them. A node that is up and
ready again has to be repeated too: whoever missed that change would give
callers one node less, and ask one less to take over requests, for good.

So changed nodes are repeated in turn for a while, and one of all nodes in each
message, however long nothing has changed.
"""

import collections
import time
import typing

import attrs

from redwingvalve.node import peers as peers_module

# Nodes that are down, leaving, not ready or have changed, in one message.
REPEATED_STATES = 4
# The same while more than MANY_CHANGES have changed within MANY_WITHIN_S: 120
# nodes are repeated within two seconds. An urgent message has room for the
# latest changes only.
MANY_REPEATED_STATES = 16
MANY_CHANGES = 12
MANY_WITHIN_S = 5.0
# How long a changed node is repeated: after a loss of all messages for seconds
# each node still has its turn.
CHANGED_FOR_S = 18.0

_Names: typing.TypeAlias = collections.deque[str]


@attrs.define(eq=False)
class _Turns:
    """Nodes still to be repeated to one group of recipients."""

    changed: _Names = attrs.field(factory=collections.deque)
    all: _Names = attrs.field(factory=collections.deque)


@attrs.define(eq=False)
class StateRepetition:
    """Nodes to repeat, to spokes (True) and to hubs (False)."""

    peers: peers_module.Peers
    _changed_s: dict[str, float] = attrs.field(factory=dict)
    _turns: dict[bool, _Turns] = attrs.field(
        factory=lambda: collections.defaultdict(_Turns)
    )

    def record_change(self, vm: str) -> None:
        """Have a node repeated that has changed."""
        self._changed_s[vm] = time.monotonic()

    def next_nodes(
        self, changed: int = 0, *, with_hub_updates: bool
    ) -> list[peers_module.Peer]:
        """Return the nodes to repeat in a message with so many changes.

        Messages to hubs repeat those of this data centre only.
        """
        turns = self._turns[with_hub_updates]
        self._drop_old_changes()
        if not turns.changed:
            turns.changed.extend(
                one.address.vm
                for one in self._nodes(with_hub_updates=with_hub_updates)
                if self._is_repeated(one)
            )
        if not turns.all:
            turns.all.extend(
                one.address.vm
                for one in self._nodes(with_hub_updates=with_hub_updates)
                if one.is_confirmed
            )
        names = _pop(
            turns.changed,
            max(REPEATED_STATES, self._limit() - changed),
        )
        names += _pop(turns.all, 1)
        found = map(self.peers.known.get, dict.fromkeys(names))
        return [peer for peer in found if peer is not None]

    def _nodes(self, *, with_hub_updates: bool) -> list[peers_module.Peer]:
        data_centre = self.peers.local.data_centre
        return [
            peer
            for peer in self.peers.known.values()
            if with_hub_updates or peer.address.data_centre == data_centre
        ]

    def _is_repeated(self, peer: peers_module.Peer) -> bool:
        if peer.is_down or peer.is_leaving or not peer.is_ready:
            return True
        # Nobody has heard of a killed node whose registration is left.
        return peer.is_confirmed and peer.address.vm in self._changed_s

    def _limit(self) -> int:
        """Return how many nodes a message without changes repeats."""
        since_s = time.monotonic() - MANY_WITHIN_S
        lost = sum(
            peer.down_since_s >= since_s for peer in self.peers.known.values()
        )
        changed = sum(one >= since_s for one in self._changed_s.values())
        is_many = max(lost, changed) > MANY_CHANGES
        return MANY_REPEATED_STATES if is_many else REPEATED_STATES

    def _drop_old_changes(self) -> None:
        since_s = time.monotonic() - CHANGED_FOR_S
        self._changed_s = {
            vm: changed_s
            for vm, changed_s in self._changed_s.items()
            if changed_s >= since_s
        }


def _pop(names: _Names, limit: int) -> list[str]:
    return [names.popleft() for _ in range(min(len(names), limit))]
