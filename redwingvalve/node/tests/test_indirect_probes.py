"""Nodes probe endpoints for each other."""

import asyncio
import collections
import contextlib
import math
import random
import time

import anyio
import anyio.lowlevel
import attrs
import pytest

from redwingvalve.allocation import messages
from redwingvalve.fleet import endpoints
from redwingvalve.node import (
    endpoint_prober,
    indirect_probes,
    peers,
    probe_answers,
    probe_messages,
)
from redwingvalve.node.tests import members
from redwingvalve.platform import endpoint_orders

HEAD = members.make_member('e1', 1, 0, endpoints.MemberState.OPEN)
REPORT = endpoint_orders.Report(1, HEAD.membership, ())
# Scheduling of the test's own process.
MARGIN_S = 0.1


@attrs.define(eq=False)
class Client:
    """Reports at once, or has no answer after the usual time."""

    report_of_head: object = None
    probes: int = 0
    running: int = 0
    max_running: int = 0

    async def report(self, endpoint):
        self.probes += 1
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        if self.report_of_head is None:
            await anyio.sleep(endpoint_orders.REPORT_TIMEOUT_S)
        self.running -= 1
        return self.report_of_head

    async def await_report(self, endpoint, timeout_s):
        await anyio.sleep(timeout_s)

    async def accepts_connections(self, endpoint):
        await anyio.sleep(0.3)
        return False


@attrs.define(eq=False)
class Network:
    """Delivers datagrams between nodes; some are lost or garbled."""

    nodes: dict = attrs.field(factory=dict)
    sent: collections.Counter = attrs.field(factory=collections.Counter)
    sizes: list = attrs.field(factory=list)
    # Returns what arrives of a datagram, None if it is lost.
    deliver: object = staticmethod(lambda data, sender, receiver: data)

    def transport(self, sender):
        return Transport(self, sender)


@attrs.define(eq=False)
class Transport:
    network: Network
    sender: tuple

    def sendto(self, data, address):
        self.network.sent[self.sender] += 1
        self.network.sizes.append(len(data))
        arrived = self.network.deliver(data, self.sender, address)
        if arrived is None:
            return
        loop = asyncio.get_running_loop()
        node = self.network.nodes[address]
        loop.call_soon(node.peers.datagram_received, arrived, self.sender)


class Observer:
    def node_lost(self, vm):
        """Nothing is kept of nodes."""

    def node_changed(self, peer):
        """Nothing is forwarded."""


def make_address(number):
    return peers.PeerAddress(
        f'n{number}', f'127.0.0.{number}', 7000, '', f'zone-{number % 3}', 1
    )


@contextlib.asynccontextmanager
async def running(clients):
    """Run a node for each client; yield the nodes and their network."""
    network = Network()
    nodes = []
    addresses = [make_address(number + 1) for number in range(len(clients))]
    for client, address in zip(clients, addresses, strict=True):
        known = peers.Peers(address, Observer())
        known.connection_made(network.transport(address.socket_address))
        for other in addresses:
            known.add(other)
        for peer in known.known.values():
            peer.last_received_s = math.inf
        node = indirect_probes.make_prober(known, client)
        network.nodes[address.socket_address] = node
        nodes.append(node)
    async with anyio.create_task_group() as group:
        for node in nodes:
            group.start_soon(node.run)
        await anyio.lowlevel.checkpoint()
        yield nodes, network
        group.cancel_scope.cancel()


def run(test, clients):
    async def main():
        async with running(clients) as (nodes, network):
            await test(nodes, network)

    anyio.run(main)


def test_an_answer_that_one_node_gets_is_returned_at_once():
    """A head that only the asker and some others don't reach isn't dead."""

    async def test(nodes, network):
        began_s = time.monotonic()
        assert await nodes[0].ask(HEAD) == REPORT
        assert time.monotonic() - began_s < MARGIN_S

    run(test, [Client(), Client(), Client(), Client(REPORT)])


def test_a_dark_endpoint_takes_no_longer_than_the_probe_of_this_node():
    """A dark crash is repaired as fast as without other nodes."""

    async def test(nodes, network):
        began_s = time.monotonic()
        assert await nodes[0].ask(HEAD) is None
        took_s = time.monotonic() - began_s
        assert took_s < endpoint_orders.REPORT_TIMEOUT_S + MARGIN_S

    run(test, [Client() for _ in range(7)])


@pytest.mark.parametrize(('nodes', 'asked'), [(7, 6), (68, 8), (361, 8)])
def test_the_cost_of_a_dark_endpoint_is_bounded(nodes, asked):
    """Probes and datagrams don't grow with the fleet."""
    clients = [Client() for _ in range(nodes)]

    async def test(nodes, network):
        await nodes[0].ask(HEAD)
        assert sum(client.probes for client in clients) == asked
        # Each is asked twice, as the probe outlasts the first wait.
        assert sum(network.sent.values()) == 3 * asked
        assert max(network.sizes) < 150

    run(test, clients)


def test_an_ask_or_a_reply_may_be_lost():
    """The veto arrives although the network loses a datagram."""
    lost = []

    async def test(nodes, network):
        asker = nodes[0].peers.local.socket_address

        def lose(data, sender, receiver):
            is_first = (sender == asker) not in lost
            lost.append(sender == asker)
            return None if is_first else data

        # First the ask is lost, then the reply to its repetition.
        network.deliver = lose
        assert await nodes[0].ask(HEAD) is None
        await anyio.sleep(indirect_probes.OUTCOME_HOLD_S)
        # Only the ask is lost.
        lost[:] = [False]
        assert await nodes[0].ask(HEAD) == REPORT
        await anyio.sleep(indirect_probes.OUTCOME_HOLD_S)
        # Only the reply is lost.
        lost[:] = [True]
        assert await nodes[0].ask(HEAD) == REPORT

    run(test, [Client(), Client(REPORT)])


@pytest.mark.parametrize('seed', range(3))
def test_garbled_datagrams_are_ignored(seed):
    """A garbled datagram neither ends a node nor counts as an answer."""
    rng = random.Random(seed)

    async def test(nodes, network):
        def garble(data, sender, receiver):
            if receiver[0] != '127.0.0.2':
                return data
            cut = data[: rng.randrange(2, len(data))]
            return cut + rng.randbytes(rng.randrange(20))

        network.deliver = garble
        for _ in range(5):
            assert await nodes[0].ask(HEAD) == REPORT
            await anyio.sleep(indirect_probes.OUTCOME_HOLD_S)

    run(test, [Client(), Client(REPORT), Client(REPORT)])


def test_a_garbled_length_does_not_stop_a_node():
    """A text that claims to have 1.5 GB took a node four seconds."""
    packed = probe_messages.pack(probe_messages.Ask(1, 'e1', 'h', 80))
    garbled = packed.replace(b'\0\0\0\x02e1', b'\x5e\x48\x42\xfae1')
    assert garbled != packed
    began_s = time.monotonic()
    with pytest.raises(probe_messages.MessageError):
        probe_messages.unpack(garbled)
    assert time.monotonic() - began_s < MARGIN_S


def test_the_word_of_a_node_that_is_cut_off_is_no_veto_and_ends_no_wait():
    """One node's 'none' doesn't hide the report that another one gets later."""

    @attrs.define(eq=False)
    class SlowClient(Client):
        async def report(self, endpoint):
            await anyio.sleep(0.15)
            return REPORT

    @attrs.define(eq=False)
    class RefusedClient(Client):
        async def report(self, endpoint):
            return None

    async def test(nodes, network):
        assert await nodes[0].ask(HEAD) == REPORT

    run(test, [Client(), RefusedClient(), RefusedClient(), SlowClient()])


def test_replies_of_nodes_that_were_not_asked_are_ignored():
    """A late or forged reply is no answer of the endpoint."""

    async def test(nodes, network):
        def forge(data, sender, receiver):
            kind = peers.TAG + peers.PROBE_KIND
            message = probe_messages.unpack(data[len(kind) :])
            if not isinstance(message, probe_messages.Ask):
                return data
            for name, address in (('e2', receiver), ('e1', ('127.9.9.9', 1))):
                reply = probe_messages.Reply(message.number, name, REPORT)
                packed = probe_messages.pack(reply)
                nodes[0].datagram_received(packed, address)
            return data

        network.deliver = forge
        assert await nodes[0].ask(HEAD) is None

    run(test, [Client(), Client()])


def test_a_node_makes_a_bounded_number_of_probes_at_once():
    """The asks of a whole fleet don't stop a node's own work."""
    asked = Client()

    async def test(nodes, network):
        async with anyio.create_task_group() as group:
            for number in range(200):
                state = endpoints.MemberState.OPEN
                head = members.make_member(f'e{number}', number, 0, state)
                group.start_soon(nodes[number % 4].ask, head)
        limit = probe_answers.MAX_CONCURRENT_PROBES
        assert asked.max_running == limit

    run(test, [*(Client() for _ in range(4)), asked])


def test_nodes_of_the_earlier_version_ignore_probes():
    """During an upgrade a probe isn't taken for a message about slots."""
    ask = probe_messages.Ask(1, 'e1', '127.0.0.1', 80)
    with pytest.raises(messages.MessageError):
        messages.unpack(peers.PROBE_KIND + probe_messages.pack(ask))


def test_messages_about_slots_still_arrive():
    received = []
    known = peers.Peers(make_address(1), Observer())
    known.on_tagged[peers.SLOT_KIND] = lambda packed, _: received.append(packed)
    known.on_tagged[peers.PROBE_KIND] = lambda packed, _: received.append(b'')
    sender = messages.Sender('n2', 1)
    pool = messages.Pool('engine', '', '')
    packed = messages.pack(
        messages.Envelope(sender, messages.HoldingsRequest(pool))
    )
    known.datagram_received(peers.TAG + packed, ('127.0.0.2', 7000))
    assert received == [packed]


def test_the_silent_member_that_another_node_reaches_is_reported_at_once():
    """The check of a replica takes the first report of any node."""
    silent = Client()

    async def test(nodes, network):
        prober = endpoint_prober.EndpointProber(silent, others=nodes[0])
        reports = {HEAD.endpoint_id: None}
        began_s = time.monotonic()
        await prober.ask_all_silent(reports, (HEAD,))
        assert reports[HEAD.endpoint_id] == REPORT
        assert await prober.ask_until_certain(HEAD, began_s + 10) == REPORT
        took_s = time.monotonic() - began_s
        assert took_s < endpoint_orders.REPORT_TIMEOUT_S
        assert await prober.are_healthy_by_any_node((HEAD,))

    run(test, [silent, Client(REPORT)])


def test_a_dark_replica_is_asked_about_with_one_member():
    """The holder of a large fleet isn't loaded by a dark data centre."""
    asked = Client()
    state = endpoints.MemberState.OPEN
    replica = tuple(
        members.make_member(f'e{rank}', 1, rank, state) for rank in range(8)
    )

    async def test(nodes, network):
        prober = endpoint_prober.EndpointProber(Client(), others=nodes[0])
        reports = {one.endpoint_id: None for one in replica}
        await prober.ask_all_silent(reports, replica)
        assert asked.probes == 1

    run(test, [Client(), asked])
