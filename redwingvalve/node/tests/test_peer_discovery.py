"""Nodes find each other by few calls to the store."""

import itertools

import anyio

from redwingvalve.node import (
    front_selection,
    peer_discovery,
    peers,
    status_fields,
    status_messages,
)
from redwingvalve.platform import store
from redwingvalve.platform.tests import fleet_harness

NODES = 6
# Writing the own object, perhaps in place of an older one, and reading all;
# one more for a try that came too early.
CALLS_TO_MEET = 3
CALLS_OTHERWISE = 8


class NoWords(peers.PeerObserver):
    def word(self, word):
        """Nothing is taken."""

    def node_lost(self, vm):
        """Nothing is kept."""


class HeardWords(peers.PeerObserver):
    def __init__(self):
        self.words = []

    def word(self, word):
        self.words.append(word)

    def node_lost(self, vm):
        """Nothing is kept."""


class FakeTime:
    """The monotonic clock of peers, moved by hand."""

    def __init__(self, monkeypatch):
        self._now_s = 100.0
        monkeypatch.setattr(peers.time, 'monotonic', lambda: self._now_s)

    def pass_s(self, seconds):
        self._now_s += seconds


def say(known, local, number):
    """Let a node's word arrive."""
    word = status_messages.NodeWord(
        vm=local.vm, born_ms=local.born_ms, number=number, is_ready=True
    )
    word.address = status_fields.address_word(local)
    known.datagram_received(
        status_messages.pack(word), (local.ip, local.peer_port)
    )


def address(vm, born_ms=1, ip='127.0.0.1'):
    return peers.PeerAddress(vm, ip, 7000, f'{ip}:80', 'zone-1', born_ms)


def know(fleet):
    return all(len(node.peers.known) == NODES - 1 for node in fleet.nodes)


def test_a_fleet_that_starts_meets_by_a_few_calls_of_each_node():
    """Callers are given all nodes, and the store isn't asked for each pair.

    Six nodes start together. Each writes its object and reads the others';
    whoever wrote later is made known by its own words.
    """

    async def test(fleet):
        await fleet.wait_until(lambda: know(fleet), 2)
        assert fleet.store.calls <= NODES * (CALLS_TO_MEET + CALLS_OTHERWISE)

    fleet_harness.run(test, nodes=NODES, engines=0, plain=0)


def test_a_node_that_starts_again_elsewhere_is_known_there():
    """Requests and words go to the new address at once.

    A VM is replaced: its node has the old name, a new address and a later
    start. An old listing that is read afterwards changes nothing.
    """
    known = peers.Peers(address('vm-1'), NoWords())
    known.listed([address('vm-1'), address('vm-2')])
    moved = address('vm-2', born_ms=2, ip='127.0.0.2')
    word = status_messages.NodeWord(
        vm='vm-2', born_ms=2, number=1, is_ready=True
    )
    word.address = status_fields.address_word(moved)
    known.datagram_received(status_messages.pack(word), ('127.0.0.2', 7000))
    known.listed([address('vm-1'), address('vm-2')])
    assert known.known['vm-2'].address == moved
    assert front_selection.select_fronts(known) == [moved.front]


def test_a_node_is_forgotten_once_it_is_neither_listed_nor_heard(monkeypatch):
    ticks = itertools.count(100.0, peers.FORGET_S / 4)
    known = peers.Peers(address('vm-1'), NoWords())
    known.listed([address('vm-2')])
    monkeypatch.setattr(peers.time, 'monotonic', lambda: next(ticks) + 1e9)
    known.listed([])
    assert not known.known


def test_a_node_that_has_met_the_others_does_not_press_the_store(monkeypatch):
    """A store that turns nodes away is asked again after the usual time.

    It refuses one node for seconds. That node knows the others; each further
    call is refused too, and priced.
    """
    monkeypatch.setattr(peer_discovery, 'READ_AGAIN_S', 0.4)

    async def test(fleet):
        await fleet.wait_until(lambda: len(fleet.nodes[0].peers.known) == 1)
        asked = []
        node = fleet.nodes[0].peer_discovery

        async def refuse(kind, is_stale):
            asked.append(is_stale)
            raise store.StoreRefusedError('status 429')

        monkeypatch.setattr(node.client, 'list_kind', refuse)
        await anyio.sleep(1.3)
        assert 1 <= len(asked) <= 4
        assert all(asked)

    fleet_harness.run(test, nodes=2, engines=0, plain=0)


def test_a_node_that_starts_again_with_a_clock_set_back_is_heard(monkeypatch):
    """Callers are given the node again as soon as it serves.

    The time of day jumps back on a VM, and its node is killed and starts
    again: it states an earlier start than before. Its words are taken once
    the earlier process has been silent, at its new address.
    """
    heard = HeardWords()
    now = FakeTime(monkeypatch)
    known = peers.Peers(address('vm-1'), heard)
    say(known, address('vm-2', born_ms=9000), number=70)
    restarted = address('vm-2', born_ms=5000, ip='127.0.0.2')
    say(known, restarted, number=1)
    assert [word.number for word in heard.words] == [70]
    now.pass_s(peers.ALIVE_TIMEOUT_S + 0.1)
    say(known, restarted, number=2)
    assert [word.number for word in heard.words] == [70, 2]
    assert known.known['vm-2'].address.ip == '127.0.0.2'
    assert front_selection.select_fronts(known) == ['127.0.0.2:80']


def test_a_repeated_word_of_a_silent_node_is_not_taken(monkeypatch):
    """Old counts of requests don't come back with a late datagram.

    A node falls silent, and its last word but one arrives seconds late.
    """
    heard = HeardWords()
    now = FakeTime(monkeypatch)
    known = peers.Peers(address('vm-1'), heard)
    say(known, address('vm-2'), number=7)
    now.pass_s(peers.ALIVE_TIMEOUT_S + 0.1)
    say(known, address('vm-2'), number=6)
    assert [word.number for word in heard.words] == [7]


def test_a_late_word_of_the_last_process_does_not_bring_it_back():
    """Callers are given the new address of a VM that was replaced.

    The store lists the new process; a word of the old one, with its address,
    was held up on the way and arrives afterwards.
    """
    heard = HeardWords()
    known = peers.Peers(address('vm-1'), heard)
    replaced = address('vm-2', born_ms=9000, ip='127.0.0.2')
    known.listed([replaced])
    say(known, address('vm-2', born_ms=5000), number=70)
    assert known.known['vm-2'].address == replaced
    assert not heard.words
    say(known, replaced, number=1)
    assert [word.number for word in heard.words] == [1]
