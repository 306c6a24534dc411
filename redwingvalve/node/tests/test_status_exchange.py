"""What a node tells the others, and how often."""

from unittest import mock

import anyio

from redwingvalve.allocation import messages
from redwingvalve.ingress import reservations, wait_queue
from redwingvalve.node import peers
from redwingvalve.platform.tests import fleet_harness

FOUND = 40


def test_forty_findings_at_once_go_in_a_few_words():
    """Callers' requests are not held up by the words of a busy node.

    The holder of the lease finds forty heads sound within one turn of its
    loop. Each word goes to all nodes: one for each finding would fill its
    link, and its questions to endpoints would stay without answers.
    """

    async def test(fleet):
        node = fleet.nodes[0]
        said = []
        node.peers.send_status = lambda word, names: said.append(word)
        await anyio.sleep(0.1)
        before = len(said)
        for number in range(FOUND):
            node.table.on_cleared(f'e{number}', 1)
        await anyio.sleep(0.05)
        assert len(said) - before <= 3
        assert len(said[-1].cleared) == FOUND

    fleet_harness.run(test, nodes=2, engines=0, plain=0)


def test_places_of_a_killed_node_are_free_within_half_a_second():
    """Callers of the other nodes are given the places that a kill frees.

    Its connections close and the endpoints drop its requests. Held until the
    node itself is taken for gone, they would keep others out.
    """

    async def test(fleet):
        await fleet.wait_until(lambda: granters(fleet))
        killed, granter = granters(fleet)
        await reserve_plain(killed)
        pool = granter.allocation.allocator.pool(PLAIN_POOL)
        await fleet.wait_until(lambda: len(pool.holds) == 1)
        peer = granter.peers.known[killed.settings.vm]
        await fleet.wait_until(lambda: peer.last_received_s is not None)
        killed.peers.send_status = lambda word, names: None
        killed.peers.send_tagged = lambda packed, address: None
        await fleet.wait_until(lambda: not len(pool.holds), 0.6)

    fleet_harness.run(test, nodes=2, engines=0, plain=1)


def test_a_place_of_a_living_node_is_held_all_the_time():
    """An endpoint isn't filled twice while its answers take seconds."""

    async def test(fleet):
        await fleet.wait_until(lambda: granters(fleet))
        holder, granter = granters(fleet)
        await reserve_plain(holder)
        pool = granter.allocation.allocator.pool(PLAIN_POOL)
        for _ in range(60):
            await anyio.sleep(0.05)
            assert len(pool.holds) == 1

    fleet_harness.run(test, nodes=2, engines=0, plain=1)


def test_a_freed_place_reaches_the_request_that_waits_at_another_node():
    """Nobody waits for the next heartbeat to hear of a place."""

    async def test(fleet):
        await fleet.wait_until(lambda: granters(fleet))
        holder, waits = granters(fleet)
        slots = (
            fleet.nodes[0]
            .table.find_targets(fleet_harness.PLAIN_SERVICE, '')[0]
            .slots
        )
        held = [await reserve_plain(holder) for _ in range(slots)]
        got = []

        async def wait():
            got.append(await reserve_plain(waits))

        async with anyio.create_task_group() as group:
            group.start_soon(wait)
            await anyio.sleep(0.1)
            assert not got
            held[0].release(reservations.ReleaseState.FREE)
            await fleet.wait_until(lambda: got, 0.1)

    fleet_harness.run(test, nodes=2, engines=0, plain=1)


PLAIN_POOL = messages.Pool(fleet_harness.PLAIN_SERVICE, '', '')


def granters(fleet):
    """Return the nodes, that which grants places last, once both know it."""
    owners = {
        node.allocation.reserver.owners.ranked_for(PLAIN_POOL)
        for node in fleet.nodes
    }
    if len(owners) != 1 or len(*owners) != 2:
        return None
    granter = next(iter(owners))[0]
    return sorted(fleet.nodes, key=lambda node: node.settings.vm == granter)


async def reserve_plain(node):
    """Reserve a place at a plain endpoint."""
    need = wait_queue.SlotRequest(urgency=1, on_time_s=0.3, wait_s=1.0)
    return await node.state.reserver.reserve(
        fleet_harness.PLAIN_SERVICE, '', need, (), ()
    )


def test_a_head_found_sound_is_told_with_the_next_word():
    """Other nodes needn't ask the same endpoints about the same head."""

    async def test(fleet):
        asked, other = fleet.nodes
        told = []
        other.table.on_reported_healthy = lambda head, found_s: told.append(
            head
        )
        head = asked.table.find_targets(
            fleet_harness.ENGINE_SERVICE, fleet_harness.SMALL_MODEL
        )[0].endpoint_id
        asked.table.announce_healthy(head)
        await fleet.wait_until(lambda: told, 1)
        assert set(told) == {head}

    fleet_harness.run(test, nodes=2, plain=0)


def test_nodes_of_a_large_fleet_speak_before_they_count_as_gone():
    """Callers are given all nodes of a fleet with few requests.

    Words get rarer with the number of nodes. A node that is heard each second
    and taken for gone after 1.2 s is left out whenever a word is lost.
    """
    for nodes in (7, 59, 82, 361):
        found = [peer_address(number) for number in range(nodes)]
        known = peers.Peers(found[0], telling_nobody())
        known.listed(found)
        rest_s = max(peers.REST_WORD_S, known.word_pause_s)
        assert known.alive_timeout_s >= 2 * rest_s


def peer_address(number):
    ip = f'127.1.0.{number % 250}'
    return peers.PeerAddress(f'vm-{number}', ip, 7000, f'{ip}:80', 'zone-1', 1)


def telling_nobody():
    return mock.create_autospec(peers.PeerObserver, instance=True)
