"""Selects the nodes that requests are forwarded to."""

import random
import time

import attrs

from redwingvalve.ingress import peer_routes
from redwingvalve.node import front_selection
from redwingvalve.node import peers as peers_module

# Nodes that are tried for one request.
MAX_PEERS_TRIED = 6
# A node that declined is cut off as well, and told so within milliseconds.
DECLINED_HOLD_S = 1.0


@attrs.define(eq=False)
class ForwardingPeers(peer_routes.PeerProvider):
    """The live nodes, those of this data centre first."""

    peers: peers_module.Peers
    rng: random.Random = attrs.field(factory=random.Random)
    _avoided_until_s: dict[str, float] = attrs.field(factory=dict)

    def candidates(self) -> list[peer_routes.PeerTarget]:
        """Return the nodes to try, in order."""
        now_s = time.monotonic()
        found = [
            peer.address
            for peer in front_selection.available_peers(self.peers)
            if self._avoided_until_s.get(peer.address.vm, 0) <= now_s
        ]
        self.rng.shuffle(found)
        found.sort(key=self._is_remote)
        return [
            peer_routes.PeerTarget(address.vm, address.socket_address)
            for address in found[:MAX_PEERS_TRIED]
        ]

    def live_count(self) -> int:
        """Return the number of other nodes that seem to be alive."""
        return len(self.peers.alive())

    def mark_declined(self, vm: str) -> None:
        """Avoid a node for a while that didn't take a request."""
        self._avoided_until_s[vm] = time.monotonic() + DECLINED_HOLD_S

    def _is_remote(self, address: peers_module.PeerAddress) -> bool:
        return address.data_centre != self.peers.local.data_centre
