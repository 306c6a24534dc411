"""Hub topology of a large fleet, and failure detection along it.

Each node exchanges status messages with the hubs of its data centre: the two
live nodes with the highest bandwidth. Hubs exchange them with each other and
with the nodes of their data centre. So the cost of a node doesn't grow with the
fleet, and that of a hub grows with its data centre only.
"""

import time
import typing

import attrs

from redwingvalve.node import lost_data_centres, peer_addresses
from redwingvalve.node import peers as peers_module

HUBS_PER_DATA_CENTRE = 2
# A selection of hubs is reused for this long.
SELECTION_TTL_S = 0.1
# A node whose own message arrived within this time isn't down, whatever a hub
# reports, since a node that is down has been silent for longer. Two status
# intervals of hubs.
RECENTLY_RECEIVED_S = 0.5
# How long nodes that fell silent while the fleet was small are asked whether
# they send to hubs only.
ASK_DOUBTED_S = 3.0
# If no message at all arrived for this long, this node itself was cut off.
RECEIVE_GAP_S = 0.5


@attrs.frozen
class Recipients:
    """The nodes that this node sends its status to."""

    # Hubs, which forward updates; empty in a small fleet.
    hubs: tuple[str, ...]
    nodes: tuple[str, ...]


_Selection: typing.TypeAlias = dict[str, peers_module.PeerAddress]


class Hubs:
    """The hubs of all data centres, as selected by this node."""

    def __init__(
        self,
        peers: peers_module.Peers,
        on_changed: typing.Callable[[peers_module.Peer], None],
    ) -> None:
        """Call on_changed with nodes to be forwarded to others."""
        self._peers = peers
        self._on_changed = on_changed
        self._selected: dict[str, _Selection] = {}
        self._selected_s = 0.0
        # Silence before this moment is ignored, as this node was cut off.
        self._excused_s = 0.0
        # Since when each sender's messages are due here. A node that has just
        # become a hub has received none yet.
        self._expected_since_s: dict[str, float] = {}
        # Hubs that gave no sign before any other node did.
        self._skipped: set[str] = set()
        self._lost = lost_data_centres.LostDataCentres(peers, on_changed)

    @property
    def is_hub(self) -> bool:
        """Return whether this node is a hub of its data centre."""
        local = self._peers.local
        return self._peers.is_large_fleet and local.vm in self.of(
            local.data_centre
        )

    def of(self, data_centre: str) -> _Selection:
        """Return the hubs of a data centre in order of preference."""
        now_s = time.monotonic()
        if now_s - self._selected_s > SELECTION_TTL_S:
            self._selected_s = now_s
            self._selected.clear()
        known = self._selected.get(data_centre)
        if known is None:
            known = self._select(data_centre)
            self._selected[data_centre] = known
        return known

    def lease_rank(self) -> int:
        """Return how many live nodes are preferred as holder of the lease.

        The holder has the most work, so nodes with more bandwidth come first.
        """
        local = bandwidth_rank(self._peers.local)
        return sum(
            bandwidth_rank(peer.address) < local for peer in self._peers.alive()
        )

    def recipients(self) -> Recipients:
        """Return the nodes to send this node's status to."""
        peers = self._peers
        if not peers.is_large_fleet:
            return Recipients(hubs=(), nodes=tuple(peers.known))
        local_hubs = self.of(peers.local.data_centre)
        if peers.local.vm not in local_hubs:
            return Recipients(hubs=tuple(local_hubs), nodes=())
        data_centres = {one.address.data_centre for one in peers.known.values()}
        hubs = {vm for name in data_centres for vm in self.of(name)}
        hubs.discard(peers.local.vm)
        nodes = [
            vm
            for vm, peer in peers.known.items()
            if self._is_in_local_data_centre(peer) and vm not in hubs
        ]
        return Recipients(hubs=tuple(hubs), nodes=tuple(nodes))

    def doubted(self) -> list[str]:
        """Return the nodes that may count as down for sending to hubs only."""
        peers = self._peers
        since_s = time.monotonic() - ASK_DOUBTED_S
        peers.doubted_s = {
            vm: doubted_s
            for vm, doubted_s in peers.doubted_s.items()
            if doubted_s >= since_s and vm in peers.known
        }
        if not peers.is_large_fleet:
            return []
        found = [vm for vm in peers.doubted_s if peers.known[vm].is_down]
        return [*found, *self._lost.next_asked()] if self.is_hub else found

    def receives_from(self, peer: peers_module.Peer) -> bool:
        """Return whether a node sends its own status to this node."""
        return peer.address.vm in self._senders()

    def mark_silent_down(self) -> None:
        """Mark nodes as down whose status messages are overdue here."""
        now_s = time.monotonic()
        if self._peers.receive_gap_s > RECEIVE_GAP_S:
            # Messages of all other nodes were lost here in the meantime.
            self._peers.receive_gap_s = 0
            self._excused_s = now_s
        if not self._peers.last_received_s:
            # Nothing tells whether this node is cut off or the others are gone.
            self._skipped.update(one.address.vm for one in self._silent(now_s))
            return
        if self._skipped:
            self._mark_skipped_down()
        if now_s - self._peers.last_received_s > RECEIVE_GAP_S:
            return
        for peer in self._silent(now_s):
            self._peers.set_down(peer, is_down=True)
            self._on_changed(peer)
            self._lost.hub_silent(peer)
        self._lost.mark_silent_down(self._excused_s)

    def _silent(self, now_s: float) -> list[peers_module.Peer]:
        """Return the nodes that count as up and whose messages are overdue."""
        since_s = now_s - peers_module.HUB_ALIVE_TIMEOUT_S
        self._expected_since_s = {
            vm: self._expected_since_s.get(vm, now_s) for vm in self._senders()
        }
        found = []
        for vm, expected_since_s in self._expected_since_s.items():
            peer = self._peers.known.get(vm)
            if peer is None or peer.is_down:
                continue
            silent_since_s = max(
                peer.last_seen_s, expected_since_s, self._excused_s
            )
            if silent_since_s < since_s:
                found.append(peer)
        return found

    def _mark_skipped_down(self) -> None:
        """Mark skipped hubs as down if a node that ranks lower has answered.

        It sends to this node only as a hub, that is, if those above it are
        down.
        """
        known = self._peers.known
        answered = [
            bandwidth_rank(peer.address)
            for peer in known.values()
            if peer.last_received_s is not None
        ]
        for vm in self._skipped.intersection(known):
            if bandwidth_rank(known[vm].address) < min(answered):
                self._peers.set_down(known[vm], is_down=True)
        self._skipped.clear()

    def apply_state(self, state: typing.Any) -> bool:
        """Apply a node's state from a hub; return whether it has changed."""
        peer = self._find_or_add(state)
        if peer is None or (state.born_ms or 0) < peer.born_ms:
            return False
        since_s = time.monotonic() - RECENTLY_RECEIVED_S
        was_received = (
            peer.last_received_s is not None and peer.last_received_s >= since_s
        )
        if not state.is_up and was_received and self.receives_from(peer):
            # The reporting hub has lost contact with the node; correct it.
            self._on_changed(peer)
            return False
        before = _view_of(peer)
        peer.born_ms = state.born_ms or 0
        peer.is_leaving = bool(state.is_leaving)
        peer.is_ready = bool(state.is_ready)
        peer.is_confirmed = peer.is_confirmed or bool(state.is_up)
        self._peers.set_down(peer, is_down=not state.is_up)
        return before != _view_of(peer)

    def _find_or_add(self, state: typing.Any) -> peers_module.Peer | None:
        known = self._peers.known
        if state.vm not in known:
            address = peer_addresses.announced_address(state)
            if address is not None:
                self._peers.add(address)
        return known.get(state.vm)

    def _senders(self) -> tuple[str, ...]:
        """Return the nodes that send here: the recipients of this node."""
        recipients = self.recipients()
        return (*recipients.hubs, *recipients.nodes)

    def _is_in_local_data_centre(self, peer: peers_module.Peer) -> bool:
        return peer.address.data_centre == self._peers.local.data_centre

    def _select(self, data_centre: str) -> _Selection:
        local = self._peers.local
        running = [
            peer
            for peer in self._peers.alive()
            if peer.address.data_centre == data_centre
            and peer.address.vm not in self._skipped
        ]
        staying = [peer for peer in running if not peer.is_leaving]
        if data_centre != local.data_centre:
            # Nodes of a data centre that leaves whole still tell callers where
            # to go, by what the others tell them.
            staying = staying or running
        found = [peer.address for peer in staying]
        if data_centre == local.data_centre:
            found.append(local)
        found.sort(key=bandwidth_rank)
        return {address.vm: address for address in found[:HUBS_PER_DATA_CENTRE]}


def _view_of(peer: peers_module.Peer) -> tuple[int, bool, bool, bool]:
    born_ms = peer.born_ms or peer.address.born_ms
    return born_ms, peer.is_leaving, peer.is_ready, peer.is_down


def bandwidth_rank(address: peers_module.PeerAddress) -> tuple[float, str]:
    """Rank by bandwidth, highest first: a hub sends to about forty nodes."""
    return -address.link_mbps, address.vm
