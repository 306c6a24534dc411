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
NEWS_S = 1.0
# A word stays within one packet.
MOST_STATES = 12
MOST_FINDINGS = 16
MOST_USAGES = 12
# Nodes that are down or leaving are told again in turn, so that one that has
# just started hears of them.
REPEATED_STATES = 4

_Key = collections_abc.Hashable


@attrs.frozen
class _Item:
    content: typing.Any
    at_s: float


class News:
    """The newest item for each key, for as long as it is news."""

    def __init__(self) -> None:
        """Start without news."""
        self._items: dict[_Key, _Item] = {}

    def note(self, key: _Key, content: typing.Any) -> bool:
        """Take an item in place of an older one; return if it is the first."""
        known = self._items.pop(key, None)
        self._items[key] = _Item(content, time.monotonic())
        return known is None

    def fresh(self, most: int) -> list[typing.Any]:
        """Return the newest items, and forget the old ones."""
        since_s = time.monotonic() - NEWS_S
        self._items = {
            key: one for key, one in self._items.items() if one.at_s >= since_s
        }
        return [one.content for one in list(self._items.values())[-most:]]


@attrs.define(eq=False)
class _Heard:
    suspicions: News = attrs.field(factory=News)
    clearings: News = attrs.field(factory=News)
    states: News = attrs.field(factory=News)
    usages: News = attrs.field(factory=News)


@attrs.define(eq=False)
class ForwardedUpdates:
    """What this hub has heard from its nodes, and from other hubs."""

    peers: peers_module.Peers
    hubs: hubs_module.Hubs
    _near: _Heard = attrs.field(factory=_Heard)
    _far: _Heard = attrs.field(factory=_Heard)
    # Names that are still to be repeated, to hubs and to nodes near by.
    _repeated: dict[bool, collections.deque[str]] = attrs.field(
        factory=lambda: collections.defaultdict(collections.deque)
    )

    def heard(self, word: typing.Any, news: list[typing.Any]) -> bool:
        """Take a word of another node; return whether others can't wait.

        news are those of its states that were not known here. What hubs
        repeat is no news: passed on at once, it would be repeated for ever.
        """
        heard = self._near if self._is_near(word.vm) else self._far
        is_urgent = False
        for suspicion in status_fields.read_suspicions(word):
            key = (suspicion.endpoint_id, suspicion.epoch)
            is_urgent |= heard.suspicions.note(key, suspicion)
        for clearing in status_fields.read_clears(word):
            key = (clearing.endpoint_id, clearing.epoch)
            is_urgent |= heard.clearings.note(key, clearing)
        for state in news:
            is_urgent = True
            heard.states.note(state.vm, state)
        for usage in word.usages or ():
            heard.usages.note(usage.vm, usage)
        if word.usage:
            told = status_messages.UsageWord(vm=word.vm, usage=word.usage)
            heard.usages.note(word.vm, told)
        return is_urgent

    def changed(self, peer: peers_module.Peer) -> None:
        """Note that a node that is heard here has changed."""
        self._near.states.note(peer.address.vm, _state_of(peer))

    def add_to(self, word: typing.Any, *, with_far: bool) -> None:
        """Add what is to be passed on to a word of this node."""
        sources = [self._near, self._far] if with_far else [self._near]
        suspicions: list[serving.Suspicion] = []
        clearings: list[status_fields.Clearing] = []
        word.states = self._states_again(with_far=with_far)
        word.usages = []
        for heard in sources:
            suspicions += heard.suspicions.fresh(MOST_FINDINGS)
            clearings += heard.clearings.fresh(MOST_FINDINGS)
            word.states += heard.states.fresh(MOST_STATES)
            word.usages += heard.usages.fresh(MOST_USAGES)
        word.suspects += status_fields.suspicion_words(suspicions)
        word.cleared += status_fields.clearing_words(clearings)

    def _is_near(self, vm: str) -> bool:
        peer = self.peers.known.get(vm)
        if peer is None:
            return False
        data_centre = peer.address.data_centre
        is_near = data_centre == self.peers.local.data_centre
        return is_near and vm not in self.hubs.of(data_centre)

    def _states_again(self, *, with_far: bool) -> list[typing.Any]:
        """Return some of the nodes that are down or leaving, in turn."""
        near = self.peers.local.data_centre
        repeated = self._repeated[with_far]
        if not repeated:
            repeated.extend(
                vm
                for vm, peer in self.peers.known.items()
                if (peer.is_down or peer.is_leaving)
                and (with_far or peer.address.data_centre == near)
            )
        count = min(len(repeated), REPEATED_STATES)
        names = [repeated.popleft() for _ in range(count)]
        found = [self.peers.known.get(name) for name in names]
        return [_state_of(peer) for peer in found if peer is not None]


def _state_of(peer: peers_module.Peer) -> typing.Any:
    return status_messages.StateWord(
        vm=peer.address.vm,
        born_ms=peer.born_ms or peer.address.born_ms,
        is_up=not peer.is_down,
        is_leaving=peer.is_leaving,
        is_ready=peer.is_ready,
        address=status_fields.address_word(peer.address),
    )
