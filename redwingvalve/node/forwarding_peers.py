"""Provides the nodes that requests are forwarded to."""

import collections
import contextlib
import random
import time
import typing

import attrs

from redwingvalve.fleet import forwarding_selection
from redwingvalve.ingress import peer_routes
from redwingvalve.node import front_selection
from redwingvalve.node import peers as peers_module

# Nodes that are asked for one request. Nobody tells which nodes reach the
# targets of a single model, and all of them may be out of reach.
MAX_ASKED = 16
MAX_ASKED_FOR_POOL = 6
# A node that declined is cut off as well, and told so within milliseconds.
DECLINED_HOLD_S = 1.0
# How long a list of candidates is used, unless one of them declines: it takes a
# millisecond to make in a fleet of 361 nodes.
CANDIDATES_TTL_S = 0.05


_Found: typing.TypeAlias = tuple[float, list[forwarding_selection.Candidate]]
_Avoided: typing.TypeAlias = tuple[str, peer_routes.TargetPool | None]


@attrs.define(eq=False)
class ForwardingPeers(peer_routes.PeerProvider):
    """The live nodes, without those that have just declined a request."""

    peers: peers_module.Peers
    rng: random.Random = attrs.field(factory=random.Random)
    _under_way: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    # By node and the pool that was asked for, None for all.
    _avoided_until_s: dict[_Avoided, float] = attrs.field(factory=dict)
    # With the time until which they are used.
    _found: dict[peer_routes.TargetPool | None, _Found] = attrs.field(
        factory=dict
    )

    def candidates(
        self, target_pool: peer_routes.TargetPool | None
    ) -> typing.Iterator[peer_routes.PeerTarget]:
        """Return the nodes to try; news that arrives meanwhile counts."""
        selection = forwarding_selection.ForwardingSelection(
            self.peers.local.data_centre,
            self.rng,
            MAX_ASKED if target_pool is None else MAX_ASKED_FOR_POOL,
            self._under_way.__getitem__,
        )
        while True:
            vm = selection.next_node(self._find(target_pool))
            if vm is None:
                return
            peer = self.peers.known.get(vm)
            if peer is not None:
                yield peer_routes.PeerTarget(vm, peer.address.socket_address)

    def count_by_state(self) -> dict[str, int]:
        """Return the numbers of other nodes by what is known of them."""
        return dict(
            collections.Counter(map(self._state_of, self.peers.known.values()))
        )

    @contextlib.contextmanager
    def track(self, vm: str) -> typing.Iterator[None]:
        """Count a request as handled by a node until the context is left."""
        self._under_way[vm] += 1
        try:
            yield
        finally:
            self._under_way[vm] -= 1

    def mark_declined(
        self, vm: str, target_pool: peer_routes.TargetPool | None
    ) -> None:
        """Avoid a node for a while that didn't take a request."""
        now_s = time.monotonic()
        self._found.clear()
        self._avoided_until_s = {
            key: until_s
            for key, until_s in self._avoided_until_s.items()
            if until_s > now_s
        }
        self._avoided_until_s[vm, target_pool] = now_s + DECLINED_HOLD_S

    def mark_taken(self, vm: str) -> None:
        """Record that a node has taken a request: it isn't cut off."""
        self.peers.cut_off.record_taken(vm)

    def _find(
        self, target_pool: peer_routes.TargetPool | None
    ) -> list[forwarding_selection.Candidate]:
        now_s = time.monotonic()
        until_s, found = self._found.get(target_pool, (now_s, []))
        if until_s > now_s:
            return found
        found = [
            self._make_candidate(peer)
            for peer in front_selection.staying_peers(self.peers)
            if self._avoided_until_s.get((peer.address.vm, target_pool), 0)
            <= now_s
        ]
        self._found[target_pool] = (now_s + CANDIDATES_TTL_S, found)
        return found

    def _state_of(self, peer: peers_module.Peer) -> str:
        address = peer.address
        if peer.is_down:
            return 'down'
        if peer.is_leaving:
            return 'leaving'
        if not peer.is_ready:
            return 'not ready'
        if self.peers.cut_off.is_cut_off(address.vm, address.data_centre):
            return 'cut off'
        return 'in touch'

    def _make_candidate(
        self, peer: peers_module.Peer
    ) -> forwarding_selection.Candidate:
        address = peer.address
        return forwarding_selection.Candidate(
            address.vm,
            address.data_centre,
            self.peers.cut_off.is_cut_off(address.vm, address.data_centre),
            peer.is_ready,
        )
