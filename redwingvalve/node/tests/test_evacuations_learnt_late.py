"""Nodes that learn of evacuations late, or reach few endpoints."""

import anyio
import pytest

from redwingvalve.node.tests import endpoint_cuts, evacuation_harness
from redwingvalve.platform.tests import fleet_harness


def test_a_node_that_was_cut_off_learns_of_what_it_missed():
    """The evacuation ends and another one begins while it hears nobody."""

    async def test(fleet):
        node = fleet.nodes[-1]
        evacuation_harness.evacuate(fleet)
        await evacuation_harness.wait_until_in_force(fleet)
        heal = evacuation_harness.cut_off_from_store(node)
        receive = node.peers.datagram_received
        node.peers.datagram_received = lambda packed, address: None
        evacuation_harness.restore(fleet)
        evacuation_harness.evacuate(fleet, 'zone-3')
        await anyio.sleep(2 * evacuation_harness.BOUND_S)
        # The safe side.
        assert node.table.evacuations.is_evacuated(evacuation_harness.AWAY)
        heal()
        await fleet.wait_until(
            lambda: node.table.evacuations.names() == {'zone-3'},
            evacuation_harness.BOUND_S,
        )
        node.peers.datagram_received = receive

    evacuation_harness.run(test, nodes=3, engines=0)


def test_the_last_known_state_stays_in_force_without_the_store():
    async def test(fleet):
        evacuation_harness.evacuate(fleet)
        await evacuation_harness.wait_until_in_force(fleet)
        before = evacuation_harness.arrivals(fleet)
        fleet.store.faults.error_status = 503
        await anyio.sleep(evacuation_harness.BOUND_S + 1)
        answers = await evacuation_harness.send_many(fleet, 20)
        assert {one.status for one in answers} == {200}
        assert evacuation_harness.arrivals(fleet) == before

    evacuation_harness.run(test, nodes=2)


def test_an_evacuation_ends_though_the_store_lost_its_history():
    """The kind is listed again, and the entry is missing."""

    async def test(fleet):
        evacuation_harness.evacuate(fleet)
        await evacuation_harness.wait_until_in_force(fleet)
        fleet.store.faults.error_status = 503
        await anyio.sleep(1)
        evacuation_harness.restore(fleet)
        fleet.store.drop_history()
        fleet.store.faults.error_status = 0
        await evacuation_harness.wait_until_in_force(fleet, is_evacuated=False)

    evacuation_harness.run(test, nodes=2, engines=0)


@pytest.mark.parametrize('knows_nothing', [False, True])
def test_a_new_node_sends_nothing_to_an_evacuated_data_centre(knows_nothing):
    """It reads the kind before it accepts callers, or waits for other nodes.

    knows_nothing: the store answers it about all kinds but this one, and at
    first it hears no other node.
    """

    async def test(fleet):
        evacuation_harness.evacuate(fleet)
        await evacuation_harness.wait_until_in_force(fleet)
        node = fleet_harness.daemon.make_node(
            fleet_harness.node_settings(
                'node-9', fleet.store_address, evacuation_harness.BOUNDS
            )
        )
        receive = node.peers.datagram_received
        if knows_nothing:
            evacuation_harness.cut_off_from_store(
                node, (evacuation_harness.KIND,)
            )
            node.peers.datagram_received = lambda packed, address: None
        async with anyio.create_task_group() as group:
            group.start_soon(node.run, anyio.Event())
            await fleet.wait_until(lambda: node.is_listening)
            await fleet.wait_until(lambda: node.registry.is_synced)
            fleet.nodes.append(node)
            statuses = {
                (await fleet.caller(-1).ask(evacuation_harness.PLAIN)).status
                for _ in range(20)
            }
            assert statuses == {503 if knows_nothing else 200}
            node.peers.datagram_received = receive
            await fleet.wait_until(
                lambda: len(evacuation_harness.plain_targets(node)) == 2
            )
            statuses = {
                (await fleet.caller(-1).ask(evacuation_harness.PLAIN)).status
                for _ in range(20)
            }
            assert statuses == {200}
            assert not evacuation_harness.arrivals(fleet)
            fleet.nodes.remove(node)
            group.cancel_scope.cancel()

    evacuation_harness.run(test, nodes=2, engines=0)


def test_a_node_that_was_stopped_sends_nothing_before_it_knows_the_state():
    """Callers' requests waited in its sockets, and so did old answers."""

    async def test(fleet):
        node = fleet.nodes[0]
        evacuations = node.table.evacuations
        await fleet.wait_until(lambda: evacuations.is_synced)
        heal = evacuation_harness.cut_off_from_store(node)
        receive = node.peers.datagram_received
        node.peers.datagram_received = lambda packed, address: None
        evacuation_harness.evacuate(fleet)
        clock = evacuations._clock
        evacuations._clock = lambda: clock() + evacuation_harness.BOUND_S
        took_s = await evacuation_harness.refuse_all(
            fleet, [evacuation_harness.PLAIN]
        )
        assert max(took_s) < evacuation_harness.REFUSED_S
        heal()
        node.peers.datagram_received = receive
        await fleet.wait_until(
            lambda: evacuation_harness.plain_targets(node),
            evacuation_harness.BOUND_S,
        )
        answers = await evacuation_harness.send_many(fleet, 20)
        assert {one.status for one in answers} == {200}
        assert not evacuation_harness.arrivals(fleet)

    evacuation_harness.run(test, nodes=2)


def test_requests_handed_to_another_node_stay_out():
    """A node without links to endpoints hands its requests over."""

    async def test(fleet):
        links = endpoint_cuts.NodeLinks(fleet.nodes[0], fleet.endpoints)
        links.cut(endpoint_cuts.CutMode.RESET)
        await anyio.sleep(0.5)
        evacuation_harness.evacuate(fleet)
        await evacuation_harness.wait_until_in_force(fleet)
        before = evacuation_harness.arrivals(fleet)
        answers = [
            await fleet.caller(0).ask(evacuation_harness.PLAIN)
            for _ in range(30)
        ]
        assert {one.status for one in answers[1:]} == {200}
        assert evacuation_harness.arrivals(fleet) == before
        evacuation_harness.evacuate(fleet, 'zone-1')
        await evacuation_harness.wait_until_in_force(fleet, 'zone-1')
        took_s = await evacuation_harness.refuse_all(
            fleet, [evacuation_harness.PLAIN, evacuation_harness.ONCE]
        )
        assert max(took_s) < evacuation_harness.REFUSED_S

    evacuation_harness.run(test, nodes=3, engines=0)


def test_a_node_that_reaches_evacuated_endpoints_only_hands_requests_over():
    """Its links to all other endpoints are cut: it serves nobody itself."""

    async def test(fleet):
        here = {
            endpoint.endpoint_id: endpoint
            for endpoint in evacuation_harness.endpoints_of(fleet, 'zone-1')
        }
        evacuation_harness.evacuate(fleet)
        await evacuation_harness.wait_until_in_force(fleet)
        links = endpoint_cuts.NodeLinks(fleet.nodes[0], here)
        links.cut(endpoint_cuts.CutMode.RESET)
        await evacuation_harness.send_many(fleet)
        answers = [
            await fleet.caller(0).ask(evacuation_harness.PLAIN)
            for _ in range(20)
        ]
        assert {one.status for one in answers} == {200}
        assert not evacuation_harness.arrivals(fleet)

    evacuation_harness.run(test, nodes=3)


def test_an_ejected_endpoint_is_not_probed_with_requests():
    """Its evacuation begins while it is out of use for its failures."""

    async def test(fleet):
        for endpoint in evacuation_harness.endpoints_of(
            fleet, evacuation_harness.AWAY
        ):
            endpoint.faults.returns_server_error = True
        for _ in range(4):
            await evacuation_harness.send_many(fleet)
        evacuation_harness.evacuate(fleet)
        await evacuation_harness.wait_until_in_force(fleet)
        before = evacuation_harness.arrivals(fleet)
        for _ in range(4):
            await evacuation_harness.send_many(fleet)
        assert evacuation_harness.arrivals(fleet) == before

    evacuation_harness.run(test, nodes=2, plain_away=1)
