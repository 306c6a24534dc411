"""Tests of endpoints and nodes that leave without interrupting requests."""

import contextlib
import socket

import anyio
import pytest

from redwingvalve.platform.tests import fleet_harness


def test_replica_of_a_leaving_member_drains_and_gets_no_new_requests():
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
        closes = [
            order for order in head.orders if order['operation'] == 'close'
        ]
        await fleet.wait_until(
            lambda: any(order['operation'] == 'close' for order in head.orders)
        )
        closes = [
            order for order in head.orders if order['operation'] == 'close'
        ]
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


def test_directory_lists_only_live_nodes():
    async def test(fleet):
        fronts = {str(node.settings.front) for node in fleet.nodes}
        path = '/redwingvalve/resolve?name=x&region=r&zone=z'

        async def resolve():
            response = await fleet.directory().ask(path)
            return set(fleet_harness.json.loads(response.body)['addresses'])

        await anyio.sleep(0.5)
        assert await resolve() == fronts
        stopped_node = fleet.nodes[2]
        stopped_node.peers.send_status = lambda message, names: None
        stopped_node.state.is_leaving = True
        await anyio.sleep(1.5)
        assert await resolve() == fronts - {str(stopped_node.settings.front)}

    fleet_harness.run(test, nodes=3, engines=0)


def test_stopping_node_finishes_its_requests():
    """A planned stop must not interrupt requests.

    The node is told to stop in the middle of a stream: it reports that it is
    not ready, completes the stream, and only then stops.
    """

    async def test(fleet):
        node = fleet.nodes[0]
        caller = fleet.caller()
        reader = await caller.start_stream()
        await fleet.wait_until(lambda: b'id: ' in reader.body)
        address = node.settings.ready
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(node._stop)
            await anyio.sleep(0.05)
            ready = fleet_harness.Caller((address.host, address.port))
            response = await ready.ask('/redwingvalve/ready')
            assert response.status == 503
            await fleet.wait_until(reader.done.done, 2)
            assert reader.done.result() == 'whole'
            assert reader.body.count(b'id: ') == 6

    fleet_harness.run(test)


def test_members_stay_while_a_head_that_left_finishes_its_requests():
    """No VM may be in two replicas while a leaving head still serves.

    The head leaves without announcing it: its entry is removed, it continues
    to serve for a while, then stops listening while its last stream goes on.
    """

    async def test(fleet):
        head = fleet.head()
        member = fleet.endpoints[head.members[1]]
        await fleet.add_endpoint(
            'spare', fleet_harness.ENGINE_SERVICE, 'domain-1'
        )
        await anyio.sleep(0.5)
        orders_before = len(member.orders)
        head.faults.never_drains = True
        fleet.store.remove('servers', head.endpoint_id)
        # The head continues to serve for at least two seconds.
        await anyio.sleep(2.1)
        # It stops listening before its last stream ends.
        head.stop_listening()
        await anyio.sleep(4)
        assert len(member.orders) == orders_before

    fleet_harness.run(test)


@pytest.mark.parametrize('lost_for_s', [0.1, 2.5])
def test_members_stay_with_a_closing_head_after_the_lease_was_lost(lost_for_s):
    """A head's last requests are cut off if its members leave meanwhile.

    The lease is lost while the head finishes them, and regained; the head's
    entry is gone by then.
    """

    async def test(fleet):
        await fleet.caller().stream()
        head = fleet.head()
        member = fleet.endpoints[head.members[1]]
        await fleet.add_endpoint(
            'spare', fleet_harness.ENGINE_SERVICE, 'domain-1'
        )
        head.faults.never_drains = True
        head.drain()
        await fleet.wait_until(lambda: head.group['state'] == 'closing')
        orders_before = len(member.orders)
        lease = fleet.nodes[0].lease
        lease.may_hold = lambda: False
        await fleet.wait_until(lambda: not lease.is_held())
        await anyio.sleep(lost_for_s)
        head.stop_listening()
        fleet.store.remove('servers', head.endpoint_id)
        lease.may_hold = lambda: True
        await fleet.wait_until(lease.is_held)
        await anyio.sleep(4)
        assert len(member.orders) == orders_before

    fleet_harness.run(test)


def test_head_that_left_during_a_store_outage_is_not_considered_dead():
    """No VM may be in two replicas after an outage of the store.

    The head began to leave during the outage, unseen. When the store is back,
    it no longer listens, its last stream goes on, and its entry is removed.
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
        orders_before = len(member.orders)
        await anyio.sleep(0.7)
        fleet.store.remove('servers', head.endpoint_id)
        await anyio.sleep(3)
        assert len(member.orders) == orders_before

    fleet_harness.run(test)


def test_stopped_node_releases_its_addresses():
    """The next process must be able to listen at these addresses immediately.

    After a node has stopped, its peer port, which serves both TCP and UDP, is
    bound again in the same process.
    """

    async def run():
        async with fleet_harness.running(nodes=1, engines=0, plain=0) as fleet:
            node = fleet.nodes[0]
        return node.settings.ip, node.settings.peer_port

    address = anyio.run(run)
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with contextlib.closing(socket.socket(type=kind)) as rebound:
            rebound.bind(address)
