"""Updates that a hub forwards, and their recipients.

Load pattern: in a large fleet a node detects a lost head to which two hundred
other nodes send requests. Its update goes to the hubs of its data centre, from
there to all other hubs and to the nodes of that data centre, and from each hub
to its own nodes (spokes): three hops, a few milliseconds in total.

Regular messages repeat updates for FORWARD_FOR_S, so that a lost datagram
delays them by one status interval. Urgent ones carry only what is new. While
nodes restart one after the other they are sent at many times the regular rate,
and repetitions in them would saturate the link of a hub.
"""

import collections
import math
import time
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.fleet import serving
from redwingvalve.node import hubs as hubs_module
from redwingvalve.node import peers as peers_module
from redwingvalve.node import state_repetition, status_fields, status_messages

# Three regular status messages.
FORWARD_FOR_S = 1.0
# Limits of a message's size, for each group that the updates come from.
MAX_STATES = 12
MAX_FINDINGS = 16
MAX_USAGES = 12

_Key = collections_abc.Hashable


@attrs.frozen
class _Update:
    content: typing.Any
    # When the key was first received, and when its latest repetition was.
    first_s: float
    latest_s: float


class RecentUpdates:
    """The latest update for each key, kept for FORWARD_FOR_S."""

    def __init__(self) -> None:
        """Start empty."""
        self._updates: dict[_Key, _Update] = {}
        # When those that are sent in turn were last sent, by recipients.
        self._sent_s: dict[bool, dict[_Key, float]] = {}

    def record(self, key: _Key, content: typing.Any) -> bool:
        """Replace a key's update; return whether the key was not present."""
        now_s = time.monotonic()
        known = self._updates.pop(key, None)
        first_s = known.first_s if known else now_s
        self._updates[key] = _Update(content, first_s, now_s)
        return known is None

    def replace(self, key: _Key, content: typing.Any) -> None:
        """Record an update that is new even if its key is known."""
        self._updates.pop(key, None)
        self.record(key, content)

    def recent(
        self, limit: int, first_since_s: float = -math.inf
    ) -> list[typing.Any]:
        """Return the latest updates, and drop those that have expired.

        first_since_s leaves out those that were first received earlier.
        """
        self._drop_expired()
        found = [
            one.content
            for one in self._updates.values()
            if one.first_s >= first_since_s
        ]
        return found[-limit:]

    def next_in_turn(
        self, limit: int, *, with_hub_updates: bool
    ) -> list[typing.Any]:
        """Return the updates that some recipients were sent least recently.

        Updates that are renewed all the time would displace each other.
        """
        self._drop_expired()
        known_s = self._sent_s.get(with_hub_updates, {})
        sent_s = {key: known_s.get(key, -math.inf) for key in self._updates}
        chosen = sorted(sent_s, key=sent_s.__getitem__)[:limit]
        sent_s.update(dict.fromkeys(chosen, time.monotonic()))
        self._sent_s[with_hub_updates] = sent_s
        return [self._updates[key].content for key in chosen]

    def _drop_expired(self) -> None:
        since_s = time.monotonic() - FORWARD_FOR_S
        self._updates = {
            key: one
            for key, one in self._updates.items()
            if one.latest_s >= since_s
        }


@attrs.define(eq=False)
class _ReceivedUpdates:
    suspicions: RecentUpdates = attrs.field(factory=RecentUpdates)
    clearances: RecentUpdates = attrs.field(factory=RecentUpdates)
    states: RecentUpdates = attrs.field(factory=RecentUpdates)
    usages: RecentUpdates = attrs.field(factory=RecentUpdates)


@attrs.define(eq=False)
class ForwardedUpdates:
    """Updates received from the hub's spokes and from other hubs."""

    peers: peers_module.Peers
    hubs: hubs_module.Hubs
    _from_spokes: _ReceivedUpdates = attrs.field(factory=_ReceivedUpdates)
    _from_hubs: _ReceivedUpdates = attrs.field(factory=_ReceivedUpdates)
    _repetition: state_repetition.StateRepetition = attrs.field(init=False)
    # When the latest message was sent, to spokes (True) and to hubs (False).
    _sent_s: dict[bool, float] = attrs.field(
        factory=lambda: collections.defaultdict(float)
    )

    def __attrs_post_init__(self) -> None:
        """Repeat states of the same nodes."""
        self._repetition = state_repetition.StateRepetition(self.peers)

    def record_received(
        self, message: typing.Any, news: list[typing.Any]
    ) -> bool:
        """Record a message; return whether to forward it without delay.

        news holds those of its states that have changed here. States that hubs
        merely repeat aren't urgent: forwarded without delay, they would
        circulate between hubs forever.
        """
        updates = (
            self._from_spokes if self._is_spoke(message.vm) else self._from_hubs
        )
        is_urgent = False
        for suspicion in status_fields.parse_suspicions(message):
            key = (suspicion.endpoint_id, suspicion.epoch, suspicion.born_ms)
            is_urgent |= updates.suspicions.record(key, suspicion)
        for clearance in status_fields.parse_clearances(message):
            key = (clearance.endpoint_id, clearance.epoch, clearance.born_ms)
            is_urgent |= updates.clearances.record(key, clearance)
        for state in news:
            is_urgent = True
            updates.states.replace(state.vm, state)
            self._repetition.record_change(state.vm)
        for usage in message.usages or ():
            updates.usages.record(usage.vm, usage)
        if message.usage:
            usage_message = status_messages.PeerUsage(
                vm=message.vm, usage=message.usage
            )
            updates.usages.record(message.vm, usage_message)
        return is_urgent

    def record_change(self, peer: peers_module.Peer) -> None:
        """Record the state of a node that this hub has seen change."""
        self._from_spokes.states.replace(peer.address.vm, _state_message(peer))
        self._repetition.record_change(peer.address.vm)

    def add_to(
        self,
        message: typing.Any,
        *,
        with_hub_updates: bool,
        is_urgent: bool = False,
    ) -> None:
        """Add the updates to be forwarded to a message of this node.

        Messages to spokes contain the updates of hubs; those to hubs don't.
        """
        sent_s = self._sent_s[with_hub_updates]
        self._sent_s[with_hub_updates] = time.monotonic()
        since_s = sent_s if is_urgent else -math.inf
        received = (
            [self._from_spokes, self._from_hubs]
            if with_hub_updates
            else [self._from_spokes]
        )
        suspicions: list[serving.Suspicion] = []
        clearances: list[status_fields.Clearance] = []
        message.states = []
        message.usages = []
        for updates in received:
            suspicions += updates.suspicions.recent(MAX_FINDINGS, since_s)
            clearances += updates.clearances.recent(MAX_FINDINGS, since_s)
            message.states += updates.states.recent(MAX_STATES, since_s)
            message.usages += (
                updates.usages.recent(MAX_USAGES, since_s)
                if is_urgent
                else updates.usages.next_in_turn(
                    MAX_USAGES, with_hub_updates=with_hub_updates
                )
            )
        if not is_urgent:
            # Before the changes, which are later.
            repeated = self._repeated_states(
                len(message.states), with_hub_updates=with_hub_updates
            )
            message.states = repeated + message.states
        message.suspects += status_fields.suspicion_messages(suspicions)
        message.cleared += status_fields.clearance_messages(clearances)

    def _repeated_states(
        self, changed: int, *, with_hub_updates: bool
    ) -> list[typing.Any]:
        nodes = self._repetition.next_nodes(
            changed, with_hub_updates=with_hub_updates
        )
        return list(map(_repeated_state_message, nodes))

    def _is_spoke(self, vm: str) -> bool:
        peer = self.peers.known.get(vm)
        if peer is None:
            return False
        data_centre = peer.address.data_centre
        is_local = data_centre == self.peers.local.data_centre
        return is_local and vm not in self.hubs.of(data_centre)


def _state_message(peer: peers_module.Peer) -> typing.Any:
    message = _repeated_state_message(peer)
    # Nobody has to reach a node that is down or leaving.
    if message.is_up and not message.is_leaving:
        message.address = status_fields.address_message(peer.address)
    return message


def _repeated_state_message(peer: peers_module.Peer) -> typing.Any:
    """Return a state without the address, which its change has told."""
    return status_messages.PeerState(
        vm=peer.address.vm,
        born_ms=peer.born_ms or peer.address.born_ms,
        is_up=not peer.is_down,
        is_leaving=peer.is_leaving,
        is_ready=peer.is_ready,
    )
