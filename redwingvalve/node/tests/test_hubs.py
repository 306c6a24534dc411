"""Nodes of a large fleet hear of each other by way of two hubs."""

from unittest import mock

import anyio
import attrs
import pytest

from redwingvalve.node import (
    front_selection,
    hubs,
    peers,
    status_messages,
    update_forwarding,
)
from redwingvalve.platform.tests import fleet_harness

NODES = 6
# What callers may be told of a dead node, and how long a suspicion may take.
GONE_S = 1.5
SPREAD_S = 0.3


@pytest.fixture
def large(monkeypatch):
    monkeypatch.setattr(peers, 'LARGE_FROM_NODES', 3)


def by_duty(fleet):
    """Return the hubs and the other nodes."""
    found = [node for node in fleet.nodes if node.status_exchange.hubs.is_hub]
    return found, [node for node in fleet.nodes if node not in found]


async def met(fleet):
    """Wait until all nodes know each other and the same hubs."""
    await fleet.wait_until(
        lambda: all(
            len(node.peers.known) == len(fleet.nodes) - 1
            for node in fleet.nodes
        )
    )
    await fleet.wait_until(lambda: len(by_duty(fleet)[0]) == 2)


def silence(node):
    """Let a node say nothing more, as after a kill."""
    node.peers.send_status = lambda word, names: None
    node.peers.send_tagged = lambda packed, address: None


def fronts(node):
    return set(front_selection.select_fronts(node.peers))


@pytest.mark.parametrize('duty', [0, 1])
def test_callers_are_not_given_a_dead_node_for_long(large, duty):
    """A hub, or any other node, is killed and leaves the directory."""

    async def test(fleet):
        await met(fleet)
        dead = by_duty(fleet)[duty][0]
        others = [node for node in fleet.nodes if node is not dead]
        front = dead.peers.local.front
        assert all(front in fronts(node) for node in others)
        silence(dead)
        await fleet.wait_until(
            lambda: not any(front in fronts(node) for node in others), GONE_S
        )
        assert all(len(fronts(node)) == NODES - 2 for node in others)

    fleet_harness.run(test, nodes=NODES, engines=0, plain=1)


def test_a_suspicion_reaches_all_nodes_soon(large):
    """Requests don't go to a lost endpoint until each node finds it lost."""

    async def test(fleet):
        await met(fleet)
        plain = by_duty(fleet)[1][0]
        head = plain.table.find_targets(
            fleet_harness.ENGINE_SERVICE, fleet_harness.SMALL_MODEL
        )[0].endpoint_id
        plain.table.suspect(head, 'silent')
        await fleet.wait_until(
            lambda: all(node.table.is_suspect(head) for node in fleet.nodes),
            SPREAD_S,
        )

    fleet_harness.run(test, nodes=NODES, plain=0)


def test_a_node_that_leaves_is_told_to_all(large):
    """A leaving node gets no new callers."""

    async def test(fleet):
        await met(fleet)
        leaving = by_duty(fleet)[1][0]
        leaving.state.is_leaving = True
        leaving.status_exchange.broadcast_now()
        front = leaving.peers.local.front
        others = [node for node in fleet.nodes if node is not leaving]
        await fleet.wait_until(
            lambda: not any(front in fronts(node) for node in others), SPREAD_S
        )

    fleet_harness.run(test, nodes=NODES, engines=0, plain=1)


def test_a_hub_that_was_deaf_takes_nobody_for_dead(large):
    """A node that was cut off hears the others again before it judges them."""

    async def test(fleet):
        await met(fleet)
        hub = by_duty(fleet)[0][0]
        take = hub.peers.datagram_received
        hub.peers.datagram_received = lambda packed, address: None
        await anyio.sleep(1.6)
        hub.peers.datagram_received = take
        down = []
        for _ in range(20):
            await anyio.sleep(0.02)
            down += [one for one in hub.peers.known.values() if one.is_down]
        assert not down

    fleet_harness.run(test, nodes=NODES, engines=0, plain=1)


def count_words(nodes):
    """Return the words that the busiest plain node sends in a second."""
    sent = []

    async def test(fleet):
        await met(fleet)
        await anyio.sleep(1)
        plain = by_duty(fleet)[1]
        counts = dict.fromkeys((node.settings.vm for node in plain), 0)
        for node in plain:
            send_status = node.peers.send_status

            def note(word, names, vm=node.settings.vm, send_status=send_status):
                counts[vm] += len(tuple(names))
                send_status(word, names)

            node.peers.send_status = note
        await anyio.sleep(2)
        sent.append(max(counts.values()) / 2)

    fleet_harness.run(test, nodes=nodes, engines=0, plain=1)
    return sent[0]


def test_what_a_node_says_does_not_grow_with_the_fleet(large):
    """The cost of 361 nodes is that of a few for each of them."""
    most = hubs.HUBS * 1.5 / peers.HUB_WORD_S
    assert count_words(5) <= most
    assert count_words(10) <= most


def test_hubs_do_not_answer_each_others_repetitions(large):
    """Many nodes are down, and hubs speak no more often for it.

    Each told the others again of those that are down, took what it heard for
    news, and passed it on at once: fifty words a second from each hub to all
    of its nodes, which had no processor left for callers.
    """
    sent = []

    async def test(fleet):
        await met(fleet)
        hubs = by_duty(fleet)[0]
        for hub in hubs:
            for number in range(40):
                gone = attrs.evolve(
                    hub.peers.local, vm=f'gone-{number}', born_ms=1
                )
                hub.peers.add(gone)
                hub.peers.known[gone.vm].is_down = True
            send_status = hub.peers.send_status

            def note(word, names, send_status=send_status):
                sent.append(word)
                send_status(word, names)

            hub.peers.send_status = note
        await anyio.sleep(3)

    fleet_harness.run(test, nodes=4, engines=0, plain=1)
    # To hubs and to nodes, from two hubs, and half again.
    assert len(sent) <= 3 / peers.HUB_WORD_S * 2 * 2 * 1.5


def test_a_hub_tells_the_newest_state_of_a_node_only():
    """A node that leaves and ends isn't told as up and down in turn.

    Told both for a second, other hubs take each for news of the other.
    """
    nobody = mock.create_autospec(peers.PeerObserver, instance=True)
    local = peers.PeerAddress('vm-1', '127.0.0.1', 1, '', 'dc', 1)
    known = peers.Peers(local, nobody)
    known.add(attrs.evolve(local, vm='vm-2'))
    news = update_forwarding.ForwardedUpdates(known, hubs.Hubs(known, None))
    leaving = known.known['vm-2']
    leaving.is_leaving = True
    news.changed(leaving)
    leaving.is_down = True
    news.changed(leaving)
    word = status_messages.NodeWord(suspects=[], cleared=[])
    news.add_to(word, with_far=False)
    assert {state.is_up for state in word.states} == {False}
