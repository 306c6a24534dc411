"""How endpoints and nodes leave without a cut."""

import contextlib
import socket

import anyio

from redwingvalve.platform.tests import fleet_harness


def test_a_leaving_member_lets_the_replica_finish_and_no_new_work_in():
    async def test(fleet):
        head = fleet.head()
        member = fleet.endpoints[head.members[1]]
        await fleet.add_endpoint(
            'spare', fleet_harness.ENGINE_SERVICE, 'domain-1'
        )
        member.drain()
        await fleet.wait_until(
            lambda: (
                head.endpoint_id
                not in {target.endpoint_id for target in fleet.targets()}
            ),
            1,
        )
        closes = [o for o in head.orders if o['operation'] == 'close']
        await fleet.wait_until(
            lambda: any(o['operation'] == 'close' for o in head.orders)
        )
        closes = [o for o in head.orders if o['operation'] == 'close']
        assert closes[0]['close_mode'] == 'queue'
        await fleet.wait_until(
            lambda: all(
                member.endpoint_id not in members
                for members in fleet_harness.open_replica_members(
                    fleet
                ).values()
            )
        )

    fleet_harness.run(test)


def test_callers_are_told_living_nodes_only():
    async def test(fleet):
        fronts = {str(node.settings.front) for node in fleet.nodes}
        path = '/redwingvalve/resolve?name=x&region=r&zone=z'

        async def told():
            got = await fleet.directory().ask(path)
            return set(fleet_harness.json.loads(got.body)['addresses'])

        await anyio.sleep(0.5)
        assert await told() == fronts
        gone = fleet.nodes[2]
        gone.peers.send_status = lambda word, names: None
        gone.state.is_leaving = True
        await anyio.sleep(1.5)
        assert await told() == fronts - {str(gone.settings.front)}

    fleet_harness.run(test, nodes=3, engines=0)


def test_a_node_that_stops_finishes_its_requests():
    """A planned stop cuts nothing.

    The node is told to stop in the middle of a stream: it isn't ready any
    more, but the stream ends whole, and the node after it.
    """

    async def test(fleet):
        node = fleet.nodes[0]
        caller = fleet.caller()
        taker = await caller.start_stream()
        await fleet.wait_until(lambda: b'id: ' in taker.body)
        address = node.settings.ready
        async with anyio.create_task_group() as group:
            group.start_soon(node._stop)
            await anyio.sleep(0.05)
            ready = fleet_harness.Caller((address.host, address.port))
            got = await ready.ask('/redwingvalve/ready')
            assert got.status == 503
            await fleet.wait_until(taker.done.done, 2)
            assert taker.done.result() == 'whole'
            assert taker.body.count(b'id: ') == 6

    fleet_harness.run(test)


def test_members_stay_while_a_head_that_left_finishes_its_requests():
    """No VM is in two replicas while a leaving head still works.

    The head leaves without a word: its entry goes, it answers on for a while,
    then it listens no more but its last stream goes on.
    """

    async def test(fleet):
        head = fleet.head()
        member = fleet.endpoints[head.members[1]]
        await fleet.add_endpoint(
            'spare', fleet_harness.ENGINE_SERVICE, 'domain-1'
        )
        await anyio.sleep(0.5)
        before = len(member.orders)
        head.faults.never_drains = True
        fleet.store.remove('servers', head.endpoint_id)
        # It serves on for two seconds at least.
        await anyio.sleep(2.1)
        # It listens no more, as it does before its last stream ends.
        head.stop_listening()
        await anyio.sleep(4)
        assert len(member.orders) == before

    fleet_harness.run(test)


def test_a_head_that_left_while_the_store_was_away_is_not_taken_for_dead():
    """No VM is in two replicas after an outage of the store.

    The head began to leave unseen; when the store is back it listens no more,
    its last stream goes on, and its entry goes.
    """

    async def test(fleet):
        await fleet.caller().stream()
        head = fleet.head()
        member = fleet.endpoints[head.members[1]]
        await fleet.add_endpoint(
            'spare', fleet_harness.ENGINE_SERVICE, 'domain-1'
        )
        await anyio.sleep(0.5)
        fleet.store.faults.error_status = 503
        await anyio.sleep(3)
        fleet.store.faults.error_status = 0
        head.stop_listening()
        fleet.nodes[0].table.suspect(head.endpoint_id, 'refused')
        before = len(member.orders)
        await anyio.sleep(0.7)
        fleet.store.remove('servers', head.endpoint_id)
        await anyio.sleep(3)
        assert len(member.orders) == before

    fleet_harness.run(test)


def test_a_node_that_ends_gives_its_addresses_back():
    """The next process at these addresses listens at once.

    A node runs and ends; its port for the words of other nodes, which carries
    both streams and datagrams, is bound again in the same process.
    """

    async def run():
        async with fleet_harness.running(nodes=1, engines=0, plain=0) as fleet:
            node = fleet.nodes[0]
        return node.settings.ip, node.settings.peer_port

    address = anyio.run(run)
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with contextlib.closing(socket.socket(type=kind)) as again:
            again.bind(address)
