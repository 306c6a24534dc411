"""A node that loses its path to one head leaves it to the other nodes."""

import collections
import time

import anyio
import attrs
import pytest

from redwingvalve.fleet import lost_services
from redwingvalve.http1 import pool
from redwingvalve.ingress import stall_detection
from redwingvalve.node.tests import endpoint_cuts
from redwingvalve.platform.tests import fleet_harness

CUTS = [endpoint_cuts.CutMode.HANG, endpoint_cuts.CutMode.RESET]
NODES = 3
# From the first suspicion until the fleet has cleared the head and the node has
# probed its path.
NOTICE_S = 1.0
CUT_S = 3.0
# Longer than a head counts as slow.
STEADY_S = stall_detection.SLOW_DURATION_S + 2.0
BACK_S = 2.5
PLAIN = 30
# A node that keeps the head out of use is told of a clearance once.
MOST_SUSPICIONS = 2
# The streams fill less than half of the slots of two heads.
ASK_INTERVAL_S = 0.04
# More than the slots of two heads and less than those of three.
FILLING_STREAMS = 10
# Longer than a stream takes.
PAUSE_S = 0.5


@attrs.define(eq=False)
class StreamLoad:
    """Streams at all nodes, and how each of them ended."""

    fleet: fleet_harness.Fleet
    # Node, time of arrival, and the response unless all was served.
    tries: list = attrs.field(factory=list)
    is_paused: bool = False

    async def run(self, index):
        async with anyio.create_task_group() as group:
            while True:
                if not self.is_paused:
                    group.start_soon(self._ask, index)
                await anyio.sleep(ASK_INTERVAL_S * NODES)

    async def fill(self, indices):
        """Send so many streams at once that every head is needed."""
        self.is_paused = True
        await anyio.sleep(PAUSE_S)
        async with anyio.create_task_group() as group:
            for number in range(FILLING_STREAMS):
                group.start_soon(self._ask, indices[number % len(indices)])
        self.is_paused = False

    async def _ask(self, index):
        sent_s = time.monotonic()
        response = await self.fleet.caller(index).stream()
        is_served = response.status == 200 and len(response.events) == 6
        self.tries.append((index, sent_s, None if is_served else response))

    def failed_since(self, from_s):
        return [
            (index, sent_s - from_s, response)
            for index, sent_s, response in self.tries
            if response is not None and sent_s >= from_s
        ]


def count_suspicions(fleet, endpoint_id):
    """Return a list of the nodes that take an endpoint out of use."""
    raised = []

    def watch(index, node):
        share = node.table.on_suspect

        def record(suspicion):
            if suspicion.endpoint_id == endpoint_id:
                raised.append(index)
            share(suspicion)

        node.table.on_suspect = record

    for index, node in enumerate(fleet.nodes):
        watch(index, node)
    return raised


def count_connects(node, endpoint):
    """Return a list of the failed connects of requests to an endpoint."""
    failed = []
    take = node.state.connections.take

    async def record(address, *more):
        try:
            return await take(address, *more)
        except pool.ConnectError:
            if ':'.join(map(str, address)) == endpoint.address:
                failed.append(time.monotonic())
            raise

    node.state.connections.take = record
    return failed


def users(fleet, endpoint_id):
    """Return the numbers of the nodes that use an endpoint."""
    return {
        index
        for index in range(NODES)
        if endpoint_id in {one.endpoint_id for one in fleet.targets(index)}
    }


def is_in_steady_use(fleet, endpoint_id):
    """Return whether all nodes use a head, and none finds it slow."""
    now_s = time.monotonic()
    slow = [
        node.state.stall_detector.is_slow(endpoint_id, now_s)
        for node in fleet.nodes
    ]
    return len(users(fleet, endpoint_id)) == NODES and not any(slow)


def choose_node(fleet):
    """Return the number of a node without the lease, and its links."""
    held = [node.lease.is_held() for node in fleet.nodes]
    index = held.index(False)
    return index, endpoint_cuts.NodeLinks(fleet.nodes[index], fleet.endpoints)


@pytest.mark.parametrize('mode', CUTS)
def test_a_lost_path_to_one_head_is_no_matter_of_the_fleet(mode):
    """One node put the head out of use for all, again and again."""

    async def test(fleet):
        await fleet.wait_until(lambda: fleet_harness.lease_holders(fleet))
        head = fleet.head()
        load = StreamLoad(fleet)
        index, links = choose_node(fleet)
        others = set(range(NODES)) - {index}
        raised = count_suspicions(fleet, head.endpoint_id)
        failed = count_connects(fleet.nodes[index], head)
        async with anyio.create_task_group() as group:
            for number in range(NODES):
                group.start_soon(load.run, number)
            await anyio.sleep(0.6)
            # Nobody sends to a head that was silent a moment ago.
            await fleet.wait_until(
                lambda: is_in_steady_use(fleet, head.endpoint_id), STEADY_S
            )
            raised.clear()
            links.cut(mode, frozenset((head.endpoint_id,)))
            cut_s = time.monotonic()
            paths = fleet.nodes[index].table.paths
            await fleet.wait_until(
                lambda: index in raised or head.endpoint_id in paths.lost_ids(),
                STEADY_S,
            )
            noticed_s = time.monotonic() + NOTICE_S
            await anyio.sleep(NOTICE_S)
            runs_before = len(head.runs)
            used = collections.Counter()
            while time.monotonic() < noticed_s + CUT_S:
                await anyio.sleep(0.02)
                used.update(users(fleet, head.endpoint_id))
                used['samples'] += 1
            seen = {
                'suspicions': len(raised),
                'connects': len([at for at in failed if at > noticed_s]),
                'used by the cut node': used[index],
                'unused by others': max(
                    used['samples'] - used[number] for number in others
                ),
            }
            assert seen == {
                'suspicions': min(len(raised), MOST_SUSPICIONS),
                'connects': 0,
                'used by the cut node': 0,
                'unused by others': 0,
            }
            await load.fill(sorted(others))
            assert len(head.runs) > runs_before
            links.restore()
            await fleet.wait_until(
                lambda: index in users(fleet, head.endpoint_id), BACK_S
            )
            group.cancel_scope.cancel()
        assert not load.failed_since(cut_s)

    fleet_harness.run(test, nodes=NODES, engines=6, plain=0)


@pytest.mark.parametrize('mode', CUTS)
def test_lost_paths_put_the_other_paths_of_their_service_in_doubt(mode):
    """Each path to a lost service was learned by a request that failed."""

    async def test(fleet):
        index, links = choose_node(fleet)
        table = fleet.nodes[index].table
        plain = frozenset(one for one in fleet.endpoints if one.startswith('p'))
        links.cut(mode, plain)
        asked = 0
        while len(table.paths) < lost_services.MIN_LOST:
            await fleet.caller(index).ask('/card/1')
            asked += 1
            assert asked < PLAIN
        await fleet.wait_until(
            lambda: table.is_out_of_reach(fleet_harness.PLAIN_SERVICE, ''),
            NOTICE_S + CUT_S,
        )
        links.restore()
        await fleet.wait_until(lambda: not table.paths, BACK_S)

    fleet_harness.run(test, nodes=NODES, engines=4, plain=PLAIN)


@pytest.mark.parametrize('mode', CUTS)
def test_other_nodes_serve_for_a_node_without_a_path_to_the_only_head(mode):
    """Its callers were refused, or waited for a connect to time out."""

    async def test(fleet):
        await fleet.wait_until(lambda: fleet_harness.lease_holders(fleet))
        head = fleet.head()
        index, links = choose_node(fleet)
        node = fleet.nodes[index]
        links.cut(mode, frozenset((head.endpoint_id,)))
        await fleet.caller(index).stream()
        await fleet.wait_until(lambda: len(node.table.paths) == 1)
        failed = count_connects(node, head)
        statuses = []
        for _ in range(20):
            response = await fleet.caller(index).stream()
            statuses.append(response.status)
        assert (statuses, failed) == ([200] * 20, [])
        links.restore()
        await fleet.wait_until(lambda: not len(node.table.paths), BACK_S)

    fleet_harness.run(test, nodes=NODES, engines=2, plain=0)
