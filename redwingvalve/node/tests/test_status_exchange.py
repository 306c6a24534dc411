"""Content and frequency of status messages."""

import time
from unittest import mock

import anyio

from redwingvalve.allocation import messages
from redwingvalve.ingress import (
    broken_runs,
    reservations,
    wait_queue,
)
from redwingvalve.node import crash_reports, hubs, peers
from redwingvalve.platform.tests import fleet_harness

CLEARED_ENDPOINTS = 40


def test_forty_changes_at_once_are_sent_in_few_messages():
    """Status messages of a busy node must not delay callers' requests.

    The lease holder finds forty heads healthy in one iteration of its event
    loop. With a message to all nodes for each of them, it would saturate its
    link, and its requests to endpoints would time out.
    """

    async def test(fleet):
        node = fleet.nodes[0]
        sent = []
        node.peers.send_status = lambda message, names: sent.append(message)
        await anyio.sleep(0.1)
        before = len(sent)
        for number in range(CLEARED_ENDPOINTS):
            node.table.on_cleared(f'e{number}', 1)
        await anyio.sleep(0.05)
        assert len(sent) - before <= 3
        assert len(sent[-1].cleared) == CLEARED_ENDPOINTS

    fleet_harness.run(test, nodes=2, engines=0, plain=0)


def test_slots_of_a_killed_node_are_free_within_half_a_second():
    """Slots that a killed node held are available to the other nodes.

    Its connections close and the endpoints drop its requests. If the slots were
    held until the node itself counts as dead, they would block other requests.
    """

    async def test(fleet):
        await fleet.wait_until(lambda: holder_and_owner(fleet))
        killed, owner = holder_and_owner(fleet)
        await reserve_slot(killed)
        pool = owner.allocation.allocator.pool(PLAIN_POOL)
        await fleet.wait_until(lambda: len(pool.holds) == 1)
        peer = owner.peers.known[killed.settings.vm]
        await fleet.wait_until(lambda: peer.last_received_s is not None)
        killed.peers.send_status = lambda message, names: None
        killed.peers.send_tagged = lambda packed, address: None
        await fleet.wait_until(lambda: not len(pool.holds), 0.6)

    fleet_harness.run(test, nodes=2, engines=0, plain=1)


def test_a_slot_of_a_live_node_stays_held():
    """An endpoint isn't overcommitted while its answers take seconds."""

    async def test(fleet):
        await fleet.wait_until(lambda: holder_and_owner(fleet))
        holder, owner = holder_and_owner(fleet)
        await reserve_slot(holder)
        pool = owner.allocation.allocator.pool(PLAIN_POOL)
        for _ in range(60):
            await anyio.sleep(0.05)
            assert len(pool.holds) == 1

    fleet_harness.run(test, nodes=2, engines=0, plain=1)


def test_a_freed_slot_goes_at_once_to_a_request_at_another_node():
    """A waiting request isn't delayed until the next status message."""

    async def test(fleet):
        await fleet.wait_until(lambda: holder_and_owner(fleet))
        holder, waiter = holder_and_owner(fleet)
        slots = (
            fleet.nodes[0]
            .table.find_targets(fleet_harness.PLAIN_SERVICE, '')[0]
            .slots
        )
        held = [await reserve_slot(holder) for _ in range(slots)]
        reserved = []

        async def wait():
            reserved.append(await reserve_slot(waiter))

        async with anyio.create_task_group() as group:
            group.start_soon(wait)
            await anyio.sleep(0.1)
            assert not reserved
            held[0].release(reservations.ReleaseState.FREE)
            await fleet.wait_until(lambda: reserved, 0.1)

    fleet_harness.run(test, nodes=2, engines=0, plain=1)


PLAIN_POOL = messages.Pool(fleet_harness.PLAIN_SERVICE, '', '')


def holder_and_owner(fleet):
    """Return the other node and the pool owner, once both nodes agree."""
    owners = {
        node.allocation.reserver.owners.ranked_for(PLAIN_POOL)
        for node in fleet.nodes
    }
    if len(owners) != 1 or len(*owners) != 2:
        return None
    owner = next(iter(owners))[0]
    return sorted(fleet.nodes, key=lambda node: node.settings.vm == owner)


async def reserve_slot(node):
    """Reserve a slot at an endpoint of the plain service."""
    request = wait_queue.SlotRequest(urgency=1, on_time_s=0.3, wait_s=1.0)
    return await node.state.reserver.reserve(
        fleet_harness.PLAIN_SERVICE, '', request, (), ()
    )


def test_a_healthy_head_is_reported_in_the_next_message():
    """Other nodes needn't probe the members of the same head again."""

    async def test(fleet):
        reporter, other = fleet.nodes
        reported = []
        other.table.on_reported_healthy = lambda head, found_s: reported.append(
            head
        )
        head = reporter.table.find_targets(
            fleet_harness.ENGINE_SERVICE, fleet_harness.SMALL_MODEL
        )[0].endpoint_id
        reporter.table.announce_healthy(head)
        await fleet.wait_until(lambda: reported, 1)
        assert set(reported) == {head}

    fleet_harness.run(test, nodes=2, plain=0)


def test_the_status_interval_is_shorter_than_the_alive_timeout():
    """Nodes of an idle fleet must not drop out of the directory.

    The status interval grows with the number of nodes. A node that sends once a
    second and counts as dead after 1.2 s would drop out with each lost message.
    """
    for nodes in (7, 59, 82, 361):
        found = [peer_address(number) for number in range(nodes)]
        known = peers.Peers(found[0], make_observer())
        known.apply_listing(found)
        interval_s = max(peers.IDLE_STATUS_INTERVAL_S, known.status_interval_s)
        assert known.alive_timeout_s >= 2 * interval_s


def peer_address(number):
    ip = f'127.1.0.{number % 250}'
    return peers.PeerAddress(f'vm-{number}', ip, 7000, f'{ip}:80', 'zone-1', 1)


def make_observer():
    return mock.create_autospec(peers.PeerObserver, instance=True)


def test_a_node_that_leaves_grants_itself_no_slots_that_others_count():
    """The other nodes no longer ask it, and don't tell it what they grant."""

    async def test(fleet):
        await fleet.wait_until(lambda: holder_and_owner(fleet))
        other, owner = holder_and_owner(fleet)
        owner.state.is_leaving = True
        owners = owner.allocation.reserver.owners
        await fleet.wait_until(
            lambda: owners.ranked_for(PLAIN_POOL) == (other.settings.vm,), 1.0
        )
        for node in fleet.nodes:
            node.state.is_leaving = True
        await fleet.wait_until(
            lambda: owners.ranked_for(PLAIN_POOL) == (owner.settings.vm,), 2.0
        )

    fleet_harness.run(test, nodes=2, engines=0, plain=1)


def test_hubs_and_nodes_learn_of_all_refused_requests():
    """Few requests fit into a message; both groups of recipients get each."""

    async def test(fleet):
        exchange = fleet.nodes[0].status_exchange
        for number in range(9):
            run = broken_runs.BrokenRun(
                number // 3, (f'x{number}', 1), time.monotonic() - 5, True
            )
            exchange.state.poison.add_recorded_run(run)
        await anyio.sleep(crash_reports.RESEND_S)
        groups = hubs.Recipients(hubs=('hub',), nodes=('spoke',))
        exchange.hubs.recipients = lambda: groups
        learned = {'hub': set(), 'spoke': set()}

        def send(message, names):
            for run in message.broken_runs:
                learned[names[0]].add(run.fingerprint)

        exchange.peers.send_status = send
        for _ in range(6):
            exchange.broadcast_now()
        assert learned == {'hub': {0, 1, 2}, 'spoke': {0, 1, 2}}

    fleet_harness.run(test, nodes=1, engines=0, plain=1)
