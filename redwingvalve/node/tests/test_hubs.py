"""Propagation of node states and suspicions through two hubs."""

import types
from unittest import mock

import anyio
import attrs
import pytest

from redwingvalve.node import (
    daemon,
    front_selection,
    hubs,
    lease,
    peers,
    status_messages,
    update_forwarding,
)
from redwingvalve.platform.tests import fleet_harness

NODES = 6
# Limits for removing a dead node from the directory and for the propagation of
# a suspicion.
GONE_S = 1.5
SPREAD_S = 0.3
# Limit for the check of a head by the lease holder, which finds it healthy.
CLEARED_S = 1.0


@pytest.fixture
def large(monkeypatch):
    monkeypatch.setattr(peers, 'LARGE_FLEET_NODES', 3)


def split_by_role(fleet):
    """Return the hubs and the other nodes."""
    found = [node for node in fleet.nodes if node.status_exchange.hubs.is_hub]
    return found, [node for node in fleet.nodes if node not in found]


async def wait_until_connected(fleet):
    """Wait until all nodes know each other and there are two hubs."""
    await fleet.wait_until(
        lambda: all(
            len(node.peers.known) == len(fleet.nodes) - 1
            for node in fleet.nodes
        )
    )
    await fleet.wait_until(lambda: len(split_by_role(fleet)[0]) == 2)


def stop_sending(node):
    """Stop all datagrams of a node, as if it were killed."""
    node.peers.send_status = lambda message, names: None
    node.peers.send_tagged = lambda packed, address: None


def selected_fronts(node):
    return set(front_selection.select_fronts(node.peers))


@pytest.mark.parametrize('role_index', [0, 1])
def test_a_dead_node_is_soon_removed_from_the_directory(large, role_index):
    """Callers must not be given a hub or other node that was killed."""

    async def test(fleet):
        await wait_until_connected(fleet)
        dead = split_by_role(fleet)[role_index][0]
        others = [node for node in fleet.nodes if node is not dead]
        front = dead.peers.local.front
        assert all(front in selected_fronts(node) for node in others)
        stop_sending(dead)
        await fleet.wait_until(
            lambda: not any(front in selected_fronts(node) for node in others),
            GONE_S,
        )
        assert all(len(selected_fronts(node)) == NODES - 2 for node in others)

    fleet_harness.run(test, nodes=NODES, engines=0, plain=1)


def test_a_suspicion_reaches_all_nodes_soon(large):
    """Nodes must not each have to find out that an endpoint is lost."""

    async def test(fleet):
        await wait_until_connected(fleet)
        plain = split_by_role(fleet)[1][0]
        head = plain.table.find_targets(
            fleet_harness.ENGINE_SERVICE, fleet_harness.SMALL_MODEL
        )[0].endpoint_id
        # The lease holder would clear a head that answers within milliseconds.
        fleet.endpoints[head].faults.is_unresponsive = True
        plain.table.suspect(head, 'silent')
        await fleet.wait_until(
            lambda: all(node.table.is_suspect(head) for node in fleet.nodes),
            SPREAD_S,
        )

    fleet_harness.run(test, nodes=NODES, plain=0)


def test_a_cleared_suspicion_is_not_brought_back_by_its_repetitions(large):
    """Nodes would disagree for seconds on which heads are in use."""

    async def test(fleet):
        await wait_until_connected(fleet)
        plain = split_by_role(fleet)[1][0]
        head = plain.table.find_targets(
            fleet_harness.ENGINE_SERVICE, fleet_harness.SMALL_MODEL
        )[0].endpoint_id
        plain.table.suspect(head, 'silent')

        def suspecting():
            return [one for one in fleet.nodes if one.table.is_suspect(head)]

        await fleet.wait_until(
            lambda: not plain.table.is_suspect(head), CLEARED_S
        )
        await fleet.wait_until(lambda: not suspecting(), SPREAD_S)
        for _ in range(100):
            await anyio.sleep(0.02)
            assert not suspecting()

    fleet_harness.run(test, nodes=NODES, plain=0)


def test_a_leaving_node_is_removed_from_all_directories(large):
    """A leaving node gets no new callers."""

    async def test(fleet):
        await wait_until_connected(fleet)
        leaving = split_by_role(fleet)[1][0]
        leaving.state.is_leaving = True
        leaving.status_exchange.broadcast_now()
        front = leaving.peers.local.front
        others = [node for node in fleet.nodes if node is not leaving]
        await fleet.wait_until(
            lambda: not any(front in selected_fronts(node) for node in others),
            SPREAD_S,
        )

    fleet_harness.run(test, nodes=NODES, engines=0, plain=1)


def test_a_hub_that_was_cut_off_marks_no_node_down(large):
    """After an outage of its own a hub waits for new messages of the others."""

    async def test(fleet):
        await wait_until_connected(fleet)
        hub = split_by_role(fleet)[0][0]
        receive = hub.peers.datagram_received
        hub.peers.datagram_received = lambda packed, address: None
        await anyio.sleep(1.6)
        hub.peers.datagram_received = receive
        down = []
        for _ in range(20):
            await anyio.sleep(0.02)
            down += [one for one in hub.peers.known.values() if one.is_down]
        assert not down

    fleet_harness.run(test, nodes=NODES, engines=0, plain=1)


def test_a_hub_whose_messages_come_again_waits_for_those_of_all(monkeypatch):
    """Two arrive before the silence is checked, the others a moment later."""
    now = types.SimpleNamespace(s=100.0)
    monkeypatch.setattr(peers.time, 'monotonic', lambda: now.s)
    observer = mock.create_autospec(peers.PeerObserver, instance=True)
    local = peers.PeerAddress('vm-00', '127.0.0.1', 1, '', 'dc', 1)
    known = peers.Peers(local, observer)
    names = [f'vm-{number:02}' for number in range(1, 20)]
    for name in names:
        known.add(attrs.evolve(local, vm=name))
    hub = hubs.Hubs(known, lambda peer: None)

    def receive(name, number):
        message = status_messages.StatusMessage(
            vm=name, born_ms=1, number=number, is_ready=True
        )
        known.datagram_received(status_messages.pack(message), ('', 1))

    for number in range(8):
        for name in names:
            receive(name, number)
        hub.mark_silent_down()
        now.s += peers.HUB_STATUS_INTERVAL_S
    now.s += 1.6
    for name in names[:2]:
        receive(name, 8)
        now.s += 0.01
    hub.mark_silent_down()
    assert not [one for one in known.known.values() if one.is_down]
    for number in range(9, 14):
        now.s += peers.HUB_STATUS_INTERVAL_S
        receive(names[0], number)
        hub.mark_silent_down()
    down = {vm for vm, one in known.known.items() if one.is_down}
    assert down == set(names[1:])


def send_rates(nodes):
    """Return the messages per second of nodes that are no hubs.

    The lease holder, whose renewals are told at once, comes first.
    """
    rates = []

    async def test(fleet):
        await wait_until_connected(fleet)
        await fleet.wait_until(lambda: fleet_harness.lease_holders(fleet))
        await anyio.sleep(1)
        plain = split_by_role(fleet)[1]
        counts = dict.fromkeys((node.settings.vm for node in plain), 0)
        for node in plain:
            send_status = node.peers.send_status

            def record(
                message, names, vm=node.settings.vm, send_status=send_status
            ):
                counts[vm] += len(tuple(names))
                send_status(message, names)

            node.peers.send_status = record
        await anyio.sleep(2)
        holders = [
            node.settings.vm for node in fleet_harness.lease_holders(fleet)
        ]
        of_holders = [counts.pop(vm) for vm in holders if vm in counts]
        rates.extend((max(of_holders, default=0) / 2, max(counts.values()) / 2))

    fleet_harness.run(test, nodes=nodes, engines=0, plain=1)
    return rates


@pytest.mark.parametrize('nodes', [5, 10])
def test_the_send_rate_does_not_grow_with_the_fleet(large, nodes):
    """In a fleet of 361 nodes each node only pays for a few peers."""
    limit = hubs.HUBS_PER_DATA_CENTRE * 1.5 / peers.HUB_STATUS_INTERVAL_S
    renewals = hubs.HUBS_PER_DATA_CENTRE / lease.RENEW_INTERVAL_S
    of_holder, of_others = send_rates(nodes)
    assert of_others <= limit
    assert of_holder <= limit + renewals


def test_hubs_do_not_react_to_each_others_repeated_states(large):
    """The send rate of hubs must not rise when many nodes are down.

    Hubs repeat the nodes that are down to each other. When they took these
    repeated states for changes and forwarded them at once, each hub sent fifty
    messages a second to all of its nodes, which left these no processor time
    for callers.
    """
    sent = []

    async def test(fleet):
        await wait_until_connected(fleet)
        hubs = split_by_role(fleet)[0]
        for hub in hubs:
            for number in range(40):
                gone = attrs.evolve(
                    hub.peers.local, vm=f'gone-{number}', born_ms=1
                )
                hub.peers.add(gone)
                hub.peers.known[gone.vm].is_down = True
            send_status = hub.peers.send_status

            def record(message, names, send_status=send_status):
                sent.append(message)
                send_status(message, names)

            hub.peers.send_status = record
        await anyio.sleep(3)

    fleet_harness.run(test, nodes=4, engines=0, plain=1)
    # Messages to hubs and to nodes, from two hubs, plus a margin of one half.
    assert len(sent) <= 3 / peers.HUB_STATUS_INTERVAL_S * 2 * 2 * 1.5


def test_a_hub_forwards_only_the_latest_state_of_a_node():
    """A node that leaves and then ends must not be sent as both up and down.

    Sent for a second, each state would look to other hubs like a change of the
    other.
    """
    observer = mock.create_autospec(peers.PeerObserver, instance=True)
    local = peers.PeerAddress('vm-1', '127.0.0.1', 1, '', 'dc', 1)
    known = peers.Peers(local, observer)
    known.add(attrs.evolve(local, vm='vm-2'))
    news = update_forwarding.ForwardedUpdates(known, hubs.Hubs(known, None))
    leaving = known.known['vm-2']
    leaving.is_leaving = True
    news.record_change(leaving)
    leaving.is_down = True
    news.record_change(leaving)
    message = status_messages.StatusMessage(suspects=[], cleared=[])
    news.add_to(message, with_hub_updates=False)
    assert {state.is_up for state in message.states} == {False}


def test_urgent_messages_repeat_no_updates():
    """Nodes that restart one after the other must not saturate a hub's link.

    Each change causes an urgent message to forty nodes; with all changes of
    the last second in each, a hub at 10 Mbit/s sends for seconds.
    """
    observer = mock.create_autospec(peers.PeerObserver, instance=True)
    local = peers.PeerAddress('vm-1', '127.0.0.1', 1, '', 'dc', 1)
    known = peers.Peers(local, observer)
    updates = update_forwarding.ForwardedUpdates(
        known, hubs.Hubs(known, lambda peer: None)
    )
    for number in range(2, 32):
        known.add(attrs.evolve(local, vm=f'vm-{number}'))
        known.known[f'vm-{number}'].is_leaving = True
        updates.record_change(known.known[f'vm-{number}'])
        sent = _forwarded_states(updates, is_urgent=True)
        assert sent == [f'vm-{number}']
    # The regular message makes up for lost datagrams.
    repeated = _forwarded_states(updates, is_urgent=False)
    assert set(repeated) >= {f'vm-{number}' for number in range(20, 32)}


def _forwarded_states(updates, *, is_urgent):
    message = status_messages.StatusMessage(suspects=[], cleared=[])
    updates.add_to(message, with_hub_updates=True, is_urgent=is_urgent)
    return [state.vm for state in message.states]


def test_a_node_that_was_silent_is_found_when_the_fleet_grows(monkeypatch):
    """It has begun to send to hubs only before the others have."""
    monkeypatch.setattr(peers, 'LARGE_FLEET_NODES', 5)

    async def test(fleet):
        early, late = fleet.nodes[-1], fleet.nodes[-2]
        send_status = early.peers.send_status

        def send_to_hubs(message, names):
            send_status(message, [one for one in names if one != late_vm])

        late_vm = late.settings.vm
        early.peers.send_status = send_to_hubs
        await anyio.sleep(GONE_S)
        front = early.peers.local.front
        assert front not in selected_fronts(late)
        early.peers.send_status = send_status
        monkeypatch.setattr(peers, 'LARGE_FLEET_NODES', 3)
        await fleet.wait_until(lambda: front in selected_fronts(late), GONE_S)

    fleet_harness.run(test, nodes=4, engines=0, plain=1)


def test_a_dead_node_is_not_given_to_callers_when_the_fleet_grows(monkeypatch):
    """It was known to be silent until the fleet was large enough for hubs."""
    monkeypatch.setattr(peers, 'LARGE_FLEET_NODES', 5)

    async def test(fleet):
        dead, first, second = fleet.nodes
        front = dead.peers.local.front
        stop_sending(dead)
        await anyio.sleep(GONE_S)
        assert front not in selected_fronts(first) | selected_fronts(second)
        late = [
            daemon.make_node(
                fleet_harness.node_settings(
                    f'late-{number}', fleet.store_address
                )
            )
            for number in range(2)
        ]
        named = 0
        async with anyio.create_task_group() as group:
            for node in late:
                group.start_soon(node.run, anyio.Event())
            for _ in range(50):
                await anyio.sleep(0.02)
                named += front in selected_fronts(first)
            group.cancel_scope.cancel()
        assert first.peers.is_large_fleet
        assert not named

    fleet_harness.run(test, nodes=3, engines=0, plain=1)
