"""Knows which nodes take callers' requests after one that stops.

Load pattern: all nodes are stopped in series, so that for some seconds none of
them is ready. Callers are then given the nodes that were told to stop last:
those take requests for the longest. They hold out until another node is back.
"""

import time

import attrs

from redwingvalve.ingress import stop_admission
from redwingvalve.node import front_selection
from redwingvalve.node import peers as peers_module

# A stopping node ends after this time at the earliest: callers keep what the
# directory told them for as long as this.
MIN_STOP_DURATION_S = 4.0
# A node that stopped longer ago than this is not expected back.
RETURNS_WITHIN_S = 15.0
# Nodes that were stopped within this time of the last one count as last, too.
LAST_WITHIN_S = 0.5


@attrs.define(eq=False)
class FleetSuccessors(stop_admission.Successors):
    """What this node knows of the other nodes' stops."""

    peers: peers_module.Peers
    # The stop of this node, None until it is told to stop.
    stop: stop_admission.PlannedStop | None = None
    # When each leaving node was first seen to leave, also if it has ended.
    _leaving_since_s: dict[str, float] = attrs.field(factory=dict)

    def observe(self) -> None:
        """Record which nodes leave; called several times a second."""
        now_s = time.monotonic()
        self._leaving_since_s = {
            vm: self._leaving_since_s.get(vm, now_s)
            for vm, peer in self.peers.known.items()
            if peer.is_leaving
        }

    def next_in_s(self) -> float:
        """Return the time until another node takes requests, 0 if one does."""
        if self.has_ready:
            return 0
        now_s = time.monotonic()
        returns_s = [
            since_s + MIN_STOP_DURATION_S for since_s in self._expected_s(now_s)
        ]
        if self.stop is not None:
            returns_s.append(self.stop.ends_s)
        if not returns_s:
            return 0
        return max(0, min(returns_s) + stop_admission.RESTART_S - now_s)

    @property
    def has_ready(self) -> bool:
        """Return whether another node takes requests and isn't leaving."""
        return bool(front_selection.available_peers(self.peers))

    @property
    def must_hold_out(self) -> bool:
        """Return whether callers have only this node until one is back."""
        if self.stop is None or self.has_ready:
            return False
        is_outlasted = any(map(self._outlasts, self._leaving_peers()))
        return bool(self._expected_s(time.monotonic())) and not is_outlasted

    def leaving_fronts(self, *, is_local_usable: bool) -> list[str]:
        """Return the front addresses of the nodes that were stopped last.

        is_local_usable: this node could serve if it weren't stopping.
        """
        since_s = {
            peer.address.front: self._leaving_since_s.get(
                peer.address.vm, time.monotonic()
            )
            for peer in self._leaving_peers()
        }
        if self.stop is not None and is_local_usable:
            since_s[self.peers.local.front] = self.stop.began_s
        last_s = max(since_s.values(), default=0)
        return [
            front
            for front, stopped_s in since_s.items()
            if stopped_s >= last_s - LAST_WITHIN_S
        ]

    def _leaving_peers(self) -> list[peers_module.Peer]:
        """Return the nodes that still run and serve what ends in time."""
        return [
            peer
            for peer in self.peers.alive()
            if peer.is_leaving and peer.is_ready
        ]

    def _outlasts(self, peer: peers_module.Peer) -> bool:
        """Return whether another stopping node takes requests for longer.

        Its stop is known some tenths of a second late, so that of two nodes
        that were stopped together each would wait for the other.
        """
        if self.stop is None:
            return True
        vm = peer.address.vm
        later_s = self._leaving_since_s.get(vm, 0) - self.stop.began_s
        if abs(later_s) <= LAST_WITHIN_S:
            return vm > self.peers.local.vm
        return later_s > 0

    def _expected_s(self, now_s: float) -> list[float]:
        """Return when the nodes that are expected back were stopped."""
        return [
            since_s
            for since_s in self._leaving_since_s.values()
            if since_s > now_s - RETURNS_WITHIN_S
        ]
