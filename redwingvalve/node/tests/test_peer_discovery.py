"""Peer discovery with few calls to the store, and restarts of nodes."""

import itertools

import anyio
import attrs
import pytest

from redwingvalve.node import (
    daemon,
    front_selection,
    peer_discovery,
    peers,
    status_fields,
    status_messages,
)
from redwingvalve.platform import store
from redwingvalve.platform.tests import fleet_harness

NODES = 6
# Registering, perhaps by replacing an older object, and listing; one more for
# an attempt that came too early.
CALLS_FOR_DISCOVERY = 3
OTHER_CALLS = 8


class IgnoringObserver(peers.PeerObserver):
    def status_received(self, message):
        """Ignore the message."""

    def node_lost(self, vm):
        """Ignore the loss."""


class RecordingObserver(peers.PeerObserver):
    def __init__(self):
        self.messages = []

    def status_received(self, message):
        self.messages.append(message)

    def node_lost(self, vm):
        """Ignore the loss."""


class FakeClock:
    """Replaces the monotonic clock of peers; advanced by the test."""

    def __init__(self, monkeypatch):
        self._now_s = 100.0
        monkeypatch.setattr(peers.time, 'monotonic', lambda: self._now_s)

    def advance(self, seconds):
        self._now_s += seconds


def receive_status(known, local, number):
    """Deliver a status message of the node at an address."""
    message = status_messages.StatusMessage(
        vm=local.vm, born_ms=local.born_ms, number=number, is_ready=True
    )
    message.address = status_fields.address_message(local)
    known.datagram_received(
        status_messages.pack(message), (local.ip, local.peer_port)
    )


def address(vm, born_ms=1, ip='127.0.0.1'):
    return peers.PeerAddress(vm, ip, 7000, f'{ip}:80', 'zone-1', born_ms)


def is_discovery_complete(fleet):
    return all(len(node.peers.known) == NODES - 1 for node in fleet.nodes)


def test_a_starting_fleet_needs_few_store_calls_per_node():
    """All nodes are discovered without a store call for each pair of them.

    Six nodes start together. Each registers and lists the others; those that
    registered later are discovered through their own status messages.
    """

    async def test(fleet):
        await fleet.wait_until(lambda: is_discovery_complete(fleet), 2)
        assert fleet.store.calls <= NODES * (CALLS_FOR_DISCOVERY + OTHER_CALLS)

    fleet_harness.run(test, nodes=NODES, engines=0, plain=0)


def test_a_node_that_restarts_elsewhere_gets_its_new_address():
    """Requests and status messages go to the new address at once.

    When a VM is replaced, its node has the old name, a new address and a later
    start. A stale listing that arrives afterwards must not revert the address.
    """
    known = peers.Peers(address('vm-1'), IgnoringObserver())
    known.apply_listing([address('vm-1'), address('vm-2')])
    moved = address('vm-2', born_ms=2, ip='127.0.0.2')
    message = status_messages.StatusMessage(
        vm='vm-2', born_ms=2, number=1, is_ready=True
    )
    message.address = status_fields.address_message(moved)
    known.datagram_received(status_messages.pack(message), ('127.0.0.2', 7000))
    known.apply_listing([address('vm-1'), address('vm-2')])
    assert known.known['vm-2'].address == moved
    assert front_selection.select_fronts(known) == [moved.front]


def test_a_node_that_is_unlisted_and_silent_is_removed(monkeypatch):
    ticks = itertools.count(100.0, peers.FORGET_AFTER_S / 4)
    known = peers.Peers(address('vm-1'), IgnoringObserver())
    known.apply_listing([address('vm-2')])
    monkeypatch.setattr(peers.time, 'monotonic', lambda: next(ticks) + 1e9)
    known.apply_listing([])
    assert not known.known


@pytest.mark.parametrize(
    'foreign',
    [
        {'ip': 5},
        {'peer_port': '7000'},
        {'peer_port': 0},
        {'born_ms': None},
        {'link_mbps': 'fast'},
        {'front': ['127.0.0.1:80']},
        {'front': 'host.example:80'},
        {'vm': ''},
        {'vm': '\ud800'},
        {'vm': 'v' * 70_000},
        {'ip': 'lm..svc'},
        {'ip': 'a\0b'},
        {'peer_port': 65_536},
        {'data_centre': '\ud800'},
        {'born_ms': 2**63},
        {'link_mbps': 10**400},
        {'link_mbps': float('nan')},
    ],
)
def test_a_malformed_registration_names_no_node(foreign):
    """Status messages to all nodes would fail with those to this one."""
    spec = attrs.asdict(address('vm-2'))
    assert peer_discovery._decode_address({'spec': spec})
    assert not peer_discovery._decode_address({'spec': {**spec, **foreign}})
    assert not peer_discovery._decode_address({'spec': [spec]})
    assert not peer_discovery._decode_address({'metadata': {}})


@pytest.mark.parametrize(
    ('ip', 'peer_port'),
    [('lm..svc', 7000), ('host.example', 7000), ('127.0.0.1', 65_536)],
)
def test_an_unusable_announcement_names_no_node(ip, peer_port):
    """The first message to it closed the socket of all status messages."""
    known = peers.Peers(address('vm-1'), IgnoringObserver())
    sender = attrs.evolve(address('vm-2'), ip=ip, peer_port=peer_port)
    receive_status(known, sender, 1)
    assert not known.known
    receive_status(known, address('vm-2'), 2)
    assert known.known


def test_a_refused_listing_is_retried_at_the_usual_interval(monkeypatch):
    """A node that knows its peers doesn't retry faster when it is refused.

    While the store refuses a node for seconds, each further call is refused
    too, and charged.
    """
    monkeypatch.setattr(peer_discovery, 'RELIST_INTERVAL_S', 0.4)

    async def test(fleet):
        await fleet.wait_until(lambda: len(fleet.nodes[0].peers.known) == 1)
        listings = []
        node = fleet.nodes[0].peer_discovery

        async def refuse(kind, is_stale):
            listings.append(is_stale)
            raise store.StoreRefusedError('status 429')

        monkeypatch.setattr(node.client, 'list_kind', refuse)
        await anyio.sleep(1.3)
        assert 1 <= len(listings) <= 4
        assert all(listings)

    fleet_harness.run(test, nodes=2, engines=0, plain=0)


def test_a_node_that_restarts_with_its_clock_set_back_is_accepted(monkeypatch):
    """Callers are given the node again soon after its restart.

    If the wall clock of a VM jumps back before its node restarts, the new
    process has an earlier start time than its predecessor. Its messages and its
    new address are accepted once the predecessor has been silent.
    """
    observer = RecordingObserver()
    now = FakeClock(monkeypatch)
    known = peers.Peers(address('vm-1'), observer)
    receive_status(known, address('vm-2', born_ms=9000), number=70)
    restarted = address('vm-2', born_ms=5000, ip='127.0.0.2')
    receive_status(known, restarted, number=1)
    assert [message.number for message in observer.messages] == [70]
    now.advance(peers.ALIVE_TIMEOUT_S + 0.1)
    receive_status(known, restarted, number=2)
    assert [message.number for message in observer.messages] == [70, 2]
    assert known.known['vm-2'].address.ip == '127.0.0.2'
    assert front_selection.select_fronts(known) == ['127.0.0.2:80']


def test_an_outdated_message_of_a_silent_node_is_ignored(monkeypatch):
    """A late datagram must not restore old request counts.

    A node becomes silent, and its last message but one arrives seconds late.
    """
    observer = RecordingObserver()
    now = FakeClock(monkeypatch)
    known = peers.Peers(address('vm-1'), observer)
    receive_status(known, address('vm-2'), number=7)
    now.advance(peers.ALIVE_TIMEOUT_S + 0.1)
    receive_status(known, address('vm-2'), number=6)
    assert [message.number for message in observer.messages] == [7]


def test_a_late_message_of_the_previous_process_is_ignored():
    """Callers are given the new address of a VM that was replaced.

    The store lists the new process, and then a delayed message of the old one
    arrives with the old address.
    """
    observer = RecordingObserver()
    known = peers.Peers(address('vm-1'), observer)
    replaced = address('vm-2', born_ms=9000, ip='127.0.0.2')
    known.apply_listing([replaced])
    receive_status(known, address('vm-2', born_ms=5000), number=70)
    assert known.known['vm-2'].address == replaced
    assert not observer.messages
    receive_status(known, replaced, number=1)
    assert [message.number for message in observer.messages] == [1]


def test_nodes_that_are_gone_are_not_given_to_callers(monkeypatch):
    """Their objects remain in the store and make the fleet look large."""
    monkeypatch.setattr(peers, 'LARGE_FLEET_NODES', 5)

    async def test(fleet):
        for number in range(3):
            gone = {
                'vm': f'gone-{number}',
                'ip': '127.0.0.1',
                'peer_port': 9,
                'front': f'127.0.0.1:{number}',
                'data_centre': 'zone-1',
                'born_ms': 1,
                'link_mbps': 1000,
            }
            fleet.store.put(peer_discovery.NODE_KIND, gone['vm'], gone)
        late = daemon.make_node(
            fleet_harness.node_settings('node-late', fleet.store_address)
        )
        async with anyio.create_task_group() as group:
            group.start_soon(late.run, anyio.Event())
            await fleet.wait_until(lambda: late.is_listening)
            await anyio.sleep(3)
            found = front_selection.select_fronts(late.peers)
            group.cancel_scope.cancel()
        fronts = {str(node.settings.front) for node in fleet.nodes}
        assert set(found) <= fronts

    fleet_harness.run(test, nodes=2, engines=0, plain=1)
