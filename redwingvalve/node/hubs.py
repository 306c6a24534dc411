"""Who speaks to whom in a large fleet, and whose silence means something.

Each node speaks to the hubs of its data centre: its two living nodes with the
widest links. Hubs speak to each other and to their nodes. So what a node spends
doesn't grow with the fleet, and what a hub spends grows with its data centre.
"""

import time
import typing

import attrs

from redwingvalve.node import peers as peers_module

HUBS = 2
# The choice is made anew this often.
HUBS_KEPT_S = 0.1
# A node that was heard within this is not down, whatever a hub says: it would
# have been silent for longer. Two words.
SURELY_HEARD_S = 0.5
# Silence of all others for this long is this node's own.
DEAF_S = 0.5


@attrs.frozen
class Audiences:
    """To whom a node speaks."""

    # Those that pass on what they hear, in a large fleet.
    hubs: tuple[str, ...]
    nodes: tuple[str, ...]


_Choice: typing.TypeAlias = dict[str, peers_module.PeerAddress]


class Hubs:
    """The hubs of all data centres, as this node sees them."""

    def __init__(
        self,
        peers: peers_module.Peers,
        on_changed: typing.Callable[[peers_module.Peer], None],
    ) -> None:
        """Tell on_changed of nodes that fell silent."""
        self._peers = peers
        self._on_changed = on_changed
        self._chosen: dict[str, _Choice] = {}
        self._chosen_s = 0.0
        # Until when silence is excused: others were not heard here.
        self._forgiven_s = 0.0
        # Since when words of a node are to come here: who has just become a
        # hub has heard nobody yet.
        self._expected_s: dict[str, float] = {}

    @property
    def is_hub(self) -> bool:
        """Return whether nodes of this data centre speak to this one."""
        local = self._peers.local
        return self._peers.is_large_fleet and local.vm in self.of(
            local.data_centre
        )

    def of(self, data_centre: str) -> _Choice:
        """Return the hubs of a data centre, the first one first."""
        now_s = time.monotonic()
        if now_s - self._chosen_s > HUBS_KEPT_S:
            self._chosen_s = now_s
            self._chosen.clear()
        known = self._chosen.get(data_centre)
        if known is None:
            known = self._choose(data_centre)
            self._chosen[data_centre] = known
        return known

    def audiences(self) -> Audiences:
        """Return to whom this node speaks."""
        peers = self._peers
        if not peers.is_large_fleet:
            return Audiences(hubs=(), nodes=tuple(peers.known))
        near = self.of(peers.local.data_centre)
        if peers.local.vm not in near:
            return Audiences(hubs=tuple(near), nodes=())
        data_centres = {one.address.data_centre for one in peers.known.values()}
        hubs = {vm for name in data_centres for vm in self.of(name)}
        hubs.discard(peers.local.vm)
        nodes = [
            vm
            for vm, peer in peers.known.items()
            if self._is_near(peer) and vm not in hubs
        ]
        return Audiences(hubs=tuple(hubs), nodes=tuple(nodes))

    def hears(self, peer: peers_module.Peer) -> bool:
        """Return whether a node's own words come here."""
        return peer.address.vm in self._speakers()

    def drop_silent(self) -> None:
        """Take nodes for down whose words should come here and don't."""
        now_s = time.monotonic()
        if self._peers.receive_gap_s > DEAF_S:
            # What others said meanwhile was lost here.
            self._peers.receive_gap_s = 0
            self._forgiven_s = now_s
        if now_s - self._peers.last_received_s > DEAF_S:
            return
        since_s = now_s - peers_module.HUB_ALIVE_TIMEOUT_S
        self._expected_s = {
            vm: self._expected_s.get(vm, now_s) for vm in self._speakers()
        }
        for vm, expected_s in self._expected_s.items():
            peer = self._peers.known.get(vm)
            if peer is None or peer.is_down:
                continue
            last_received_s = max(
                peer.last_seen_s, expected_s, self._forgiven_s
            )
            if last_received_s < since_s:
                self._peers.set_down(peer, is_down=True)
                self._on_changed(peer)

    def take_state(self, state: typing.Any) -> bool:
        """Take what a hub says of a node; return whether it was news."""
        peer = self._find(state)
        if peer is None or (state.born_ms or 0) < peer.born_ms:
            return False
        since_s = time.monotonic() - SURELY_HEARD_S
        is_heard = (
            peer.last_received_s is not None and peer.last_received_s >= since_s
        )
        if not state.is_up and is_heard and self.hears(peer):
            # The hub that said so is cut off from it.
            self._on_changed(peer)
            return False
        before = _belief(peer)
        peer.born_ms = state.born_ms or 0
        peer.is_leaving = bool(state.is_leaving)
        peer.is_ready = bool(state.is_ready)
        self._peers.set_down(peer, is_down=not state.is_up)
        return before != _belief(peer)

    def _find(self, state: typing.Any) -> peers_module.Peer | None:
        known = self._peers.known
        if state.vm not in known:
            address = peers_module.announced_address(state)
            if address is not None:
                self._peers.add(address)
        return known.get(state.vm)

    def _speakers(self) -> tuple[str, ...]:
        """Return the nodes that speak to this one: those it speaks to."""
        audiences = self.audiences()
        return (*audiences.hubs, *audiences.nodes)

    def _is_near(self, peer: peers_module.Peer) -> bool:
        return peer.address.data_centre == self._peers.local.data_centre

    def _choose(self, data_centre: str) -> _Choice:
        local = self._peers.local
        found = [
            peer.address
            for peer in self._peers.alive()
            if peer.address.data_centre == data_centre and not peer.is_leaving
        ]
        if data_centre == local.data_centre:
            found.append(local)
        found.sort(key=width_rank)
        return {address.vm: address for address in found[:HUBS]}


def _belief(peer: peers_module.Peer) -> tuple[int, bool, bool, bool]:
    born_ms = peer.born_ms or peer.address.born_ms
    return born_ms, peer.is_leaving, peer.is_ready, peer.is_down


def width_rank(address: peers_module.PeerAddress) -> tuple[float, str]:
    """Rank nodes with wide links first: a hub speaks to some forty nodes."""
    return -address.link_mbps, address.vm


def lease_rank(peers: peers_module.Peers) -> int:
    """Return how many living nodes would rather hold the lease.

    The holder has most to do: the widest VMs of a fleet come first.
    """
    local = width_rank(peers.local)
    return sum(width_rank(peer.address) < local for peer in peers.alive())
