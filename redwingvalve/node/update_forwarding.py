"""What a hub passes on, and to whom.

Load pattern: in a large fleet a node finds a lost head, and two hundred others
send requests there. What a node says goes to the hubs of its data centre, from
there to all other hubs and the nodes near by, and from each hub to its own
nodes: three datagrams after one another, within some milliseconds. News are
repeated for NEWS_S, so that a lost datagram delays them by one word.
"""

import collections
import time
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.fleet import serving
from redwingvalve.node import hubs as hubs_module
from redwingvalve.node import peers as peers_module
from redwingvalve.node import status_fields, status_messages

# Three regular words.
FORWARD_FOR_S = 1.0
# A word stays within one packet.
MAX_STATES = 12
MAX_FINDINGS = 16
MAX_USAGES = 12
# Nodes that are down or leaving are told again in turn, so that one that has
# just started hears of them.
REPEATED_STATES = 4

_Key = collections_abc.Hashable


@attrs.frozen
class _Update:
    content: typing.Any
    at_s: float


class RecentUpdates:
    """The newest item for each key, for as long as it is news."""

    def __init__(self) -> None:
        """Start without news."""
        self._updates: dict[_Key, _Update] = {}

    def record(self, key: _Key, content: typing.Any) -> bool:
        """Take an item in place of an older one; return if it is the first."""
        known = self._updates.pop(key, None)
        self._updates[key] = _Update(content, time.monotonic())
        return known is None

    def recent(self, limit: int) -> list[typing.Any]:
        """Return the newest items, and forget the old ones."""
        since_s = time.monotonic() - FORWARD_FOR_S
        self._updates = {
            key: one
            for key, one in self._updates.items()
            if one.at_s >= since_s
        }
        return [one.content for one in list(self._updates.values())[-limit:]]


@attrs.define(eq=False)
class _ReceivedUpdates:
    suspicions: RecentUpdates = attrs.field(factory=RecentUpdates)
    clearances: RecentUpdates = attrs.field(factory=RecentUpdates)
    states: RecentUpdates = attrs.field(factory=RecentUpdates)
    usages: RecentUpdates = attrs.field(factory=RecentUpdates)


@attrs.define(eq=False)
class ForwardedUpdates:
    """What this hub has heard from its nodes, and from other hubs."""

    peers: peers_module.Peers
    hubs: hubs_module.Hubs
    _from_spokes: _ReceivedUpdates = attrs.field(factory=_ReceivedUpdates)
    _from_hubs: _ReceivedUpdates = attrs.field(factory=_ReceivedUpdates)
    # Names that are still to be repeated, to hubs and to nodes near by.
    _repeat_queues: dict[bool, collections.deque[str]] = attrs.field(
        factory=lambda: collections.defaultdict(collections.deque)
    )

    def record_received(
        self, message: typing.Any, news: list[typing.Any]
    ) -> bool:
        """Take a word of another node; return whether others can't wait.

        news are those of its states that were not known here. What hubs
        repeat is no news: passed on at once, it would be repeated for ever.
        """
        record_received = (
            self._from_spokes if self._is_spoke(message.vm) else self._from_hubs
        )
        is_urgent = False
        for suspicion in status_fields.parse_suspicions(message):
            key = (suspicion.endpoint_id, suspicion.epoch)
            is_urgent |= record_received.suspicions.record(key, suspicion)
        for clearance in status_fields.parse_clearances(message):
            key = (clearance.endpoint_id, clearance.epoch)
            is_urgent |= record_received.clearances.record(key, clearance)
        for state in news:
            is_urgent = True
            record_received.states.record(state.vm, state)
        for usage in message.usages or ():
            record_received.usages.record(usage.vm, usage)
        if message.usage:
            usage_message = status_messages.UsageWord(
                vm=message.vm, usage=message.usage
            )
            record_received.usages.record(message.vm, usage_message)
        return is_urgent

    def record_change(self, peer: peers_module.Peer) -> None:
        """Note that a node that is heard here has changed."""
        self._from_spokes.states.record(peer.address.vm, _state_message(peer))

    def add_to(self, message: typing.Any, *, with_hub_updates: bool) -> None:
        """Add what is to be passed on to a word of this node."""
        received = (
            [self._from_spokes, self._from_hubs]
            if with_hub_updates
            else [self._from_spokes]
        )
        suspicions: list[serving.Suspicion] = []
        clearances: list[status_fields.Clearance] = []
        message.states = self._next_repeated_states(
            with_hub_updates=with_hub_updates
        )
        message.usages = []
        for record_received in received:
            suspicions += record_received.suspicions.recent(MAX_FINDINGS)
            clearances += record_received.clearances.recent(MAX_FINDINGS)
            message.states += record_received.states.recent(MAX_STATES)
            message.usages += record_received.usages.recent(MAX_USAGES)
        message.suspects += status_fields.suspicion_messages(suspicions)
        message.cleared += status_fields.clearance_messages(clearances)

    def _is_spoke(self, vm: str) -> bool:
        peer = self.peers.known.get(vm)
        if peer is None:
            return False
        data_centre = peer.address.data_centre
        is_near = data_centre == self.peers.local.data_centre
        return is_near and vm not in self.hubs.of(data_centre)

    def _next_repeated_states(
        self, *, with_hub_updates: bool
    ) -> list[typing.Any]:
        """Return some of the nodes that are down or leaving, in turn."""
        local_data_centre = self.peers.local.data_centre
        queue = self._repeat_queues[with_hub_updates]
        if not queue:
            queue.extend(
                vm
                for vm, peer in self.peers.known.items()
                if (peer.is_down or peer.is_leaving)
                and (
                    with_hub_updates
                    or peer.address.data_centre == local_data_centre
                )
            )
        count = min(len(queue), REPEATED_STATES)
        names = [queue.popleft() for _ in range(count)]
        found = [self.peers.known.get(name) for name in names]
        return [_state_message(peer) for peer in found if peer is not None]


def _state_message(peer: peers_module.Peer) -> typing.Any:
    return status_messages.StateWord(
        vm=peer.address.vm,
        born_ms=peer.born_ms or peer.address.born_ms,
        is_up=not peer.is_down,
        is_leaving=peer.is_leaving,
        is_ready=peer.is_ready,
        address=status_fields.address_message(peer.address),
    )
