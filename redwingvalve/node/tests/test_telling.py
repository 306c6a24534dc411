"""What a node tells the others, and how often."""

from unittest import mock

import anyio

from redwingvalve.node import peers
from redwingvalve.platform.tests import fleet as fleets

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
        node.peers.say = said.append
        await anyio.sleep(0.1)
        before = len(said)
        for number in range(FOUND):
            node.table.on_clear(f'e{number}', 1)
        await anyio.sleep(0.05)
        assert len(said) - before <= 3
        assert len(said[-1].cleared) == FOUND

    fleets.run(test, nodes=2, engines=0, plain=0)


def test_requests_of_a_killed_node_stop_counting_within_half_a_second():
    """Callers of the other nodes are given the places that a kill frees.

    Four of seven nodes are killed at once. Their connections close and the
    endpoints drop their requests, but the others go on counting those: every
    head looks full, and 92 requests were refused in 1.2 s with places free.
    """

    async def test(fleet):
        asked, killed = fleet.nodes
        killed.state.loads.begin('e1')
        await fleet.until(lambda: asked.state.loads.of('e1') == 1)
        killed.peers.say = lambda word: None
        await fleet.until(lambda: not asked.state.loads.of('e1'), 0.6)

    fleets.run(test, nodes=2, engines=0, plain=0)


def test_a_long_request_of_a_living_node_counts_all_the_time():
    """A head isn't filled twice while its streams take seconds."""

    async def test(fleet):
        asked, other = fleet.nodes
        other.state.loads.begin('e1')
        await fleet.until(lambda: asked.state.loads.of('e1') == 1)
        for _ in range(60):
            await anyio.sleep(0.02)
            assert asked.state.loads.of('e1') == 1

    fleets.run(test, nodes=2, engines=0, plain=0)


def test_a_freed_place_reaches_the_node_that_wants_it_at_once():
    """A request that waits at one node gets the place that another frees.

    By the next regular word it would come a tenth of a second later, and all
    other nodes would hear of it too.
    """

    async def test(fleet):
        freeing, wanting = fleet.nodes
        room = wanting.state.room(fleets.PLAIN, '')
        offered = []
        room.wanting = lambda: 1
        room.poke = lambda freed=None: offered.append(freed)
        vm = wanting.settings.vm
        await fleet.until(lambda: vm in freeing.peers.known)
        (target, *_) = wanting.table.of(fleets.PLAIN, '')
        freeing.state.on_handoff(vm, target.endpoint_id)
        await fleet.until(lambda: any(offered), 1)
        assert {one for one in offered if one} == {target}

    fleets.run(test, nodes=2, engines=0)


def test_a_head_found_sound_is_told_with_the_next_word():
    """Other nodes needn't ask the same endpoints about the same head."""

    async def test(fleet):
        asked, other = fleet.nodes
        told = []
        other.table.on_told_sound = lambda head, found_s: told.append(head)
        head = asked.table.of(fleets.ENGINE, fleets.SMALL)[0].endpoint_id
        asked.table.tell_sound(head)
        await fleet.until(lambda: told, 1)
        assert set(told) == {head}

    fleets.run(test, nodes=2, plain=0)


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
        assert known.alive_s >= 2 * rest_s


def peer_address(number):
    ip = f'127.1.0.{number % 250}'
    return peers.PeerAddress(f'vm-{number}', ip, 7000, f'{ip}:80', 'zone-1', 1)


def telling_nobody():
    return mock.create_autospec(peers.WordTaker, instance=True)
