"""Nothing new reaches the endpoints of an evacuated data centre."""

import anyio
import pytest

from redwingvalve.allocation import held_slots
from redwingvalve.ingress import reservations
from redwingvalve.node import peers
from redwingvalve.node.tests import evacuation_harness
from redwingvalve.platform.tests import fleet_harness


@pytest.fixture
def large(monkeypatch):
    monkeypatch.setattr(peers, 'LARGE_FLEET_NODES', 3)


def test_requests_go_elsewhere_from_the_evacuation_to_its_end():
    async def test(fleet):
        await evacuation_harness.send_many(fleet)
        assert evacuation_harness.arrivals(fleet)
        evacuation_harness.evacuate(fleet)
        await evacuation_harness.wait_until_in_force(fleet)
        assert len(evacuation_harness.plain_targets(fleet.nodes[0])) == 2
        assert len(fleet.targets()) == 2
        before = evacuation_harness.arrivals(fleet)
        answers = await evacuation_harness.send_many(fleet)
        assert {one.status for one in answers} == {200}
        assert evacuation_harness.arrivals(fleet) == before
        evacuation_harness.restore(fleet)
        await evacuation_harness.wait_until_in_force(fleet, is_evacuated=False)
        await evacuation_harness.send_many(fleet)
        assert evacuation_harness.arrivals(fleet) > before

    evacuation_harness.run(test, nodes=3, engines_away=4)


def test_a_removed_unknown_name_changes_nothing():
    async def test(fleet):
        fleet.store.put(evacuation_harness.KIND, 'zone-9', {})
        await anyio.sleep(0.3)
        fleet.store.remove(evacuation_harness.KIND, 'zone-9')
        fleet.store.remove(evacuation_harness.KIND, 'zone-9')
        await anyio.sleep(0.3)
        assert len(evacuation_harness.plain_targets(fleet.nodes[0])) == 4

    evacuation_harness.run(test, engines=0)


@pytest.mark.parametrize('spec', [None, 'text', [], {'zone': 3}])
def test_an_entry_counts_whatever_its_spec_is(spec):
    async def test(fleet):
        fleet.store.put(evacuation_harness.KIND, evacuation_harness.AWAY, spec)
        await evacuation_harness.wait_until_in_force(fleet)
        assert len(evacuation_harness.plain_targets(fleet.nodes[0])) == 2

    evacuation_harness.run(test, engines=0)


def test_objects_without_a_name_hide_no_evacuation():
    """The listing of such objects must not stop the watch or the relays."""

    async def test(fleet):
        objects = fleet.store.objects.setdefault(evacuation_harness.KIND, {})
        objects['x'] = {'metadata': None, 'spec': {}}
        objects['y'] = 'text'
        evacuation_harness.evacuate(fleet)
        fleet.store.drop_history()
        await evacuation_harness.wait_until_in_force(fleet)
        fleet.store.drop_history()
        await anyio.sleep(0.5)
        evacuation_harness.restore(fleet)
        await evacuation_harness.wait_until_in_force(fleet, is_evacuated=False)

    evacuation_harness.run(test, engines=0)


def test_nothing_is_watched_without_the_setting():
    async def test(fleet):
        evacuation_harness.evacuate(fleet)
        await anyio.sleep(0.5)
        (node,) = fleet.nodes
        assert len(evacuation_harness.plain_targets(node)) == 4
        assert evacuation_harness.KIND not in {
            watch.kind for watch in node.watches
        }

    evacuation_harness.run(test, bounds=fleet_harness.BOUNDS, engines=0)


def test_a_running_stream_continues():
    """Only what is new goes elsewhere."""

    async def test(fleet):
        for endpoint in fleet.endpoints.values():
            endpoint.events_per_response = 50
        caller = fleet.caller()
        reader = await caller.start_stream()
        await fleet.wait_until(lambda: b'id: 3' in reader.body)
        evacuation_harness.evacuate(fleet)
        await evacuation_harness.wait_until_in_force(fleet)
        assert not fleet.targets()
        with anyio.fail_after(4):
            assert await reader.done == 'whole'
        assert reader.body.count(b'id: ') == 50
        assert evacuation_harness.arrivals(fleet) == 1

    evacuation_harness.run(
        test, plain=0, engines=0, plain_away=0, engines_away=2
    )


def test_a_silent_stream_is_not_resumed_in_an_evacuated_data_centre():
    async def test(fleet):
        for endpoint in fleet.endpoints.values():
            endpoint.events_per_response = 30
        evacuation_harness.evacuate(fleet)
        await evacuation_harness.wait_until_in_force(fleet)
        reader = await fleet.caller().start_stream()
        await fleet.wait_until(lambda: b'id: 3' in reader.body)
        (head,) = [
            endpoint
            for endpoint in evacuation_harness.endpoints_of(fleet, 'zone-1')
            if endpoint.runs
        ]
        head.faults.is_stalled = True
        with anyio.fail_after(4):
            assert await reader.done == 'whole'
        assert reader.body.count(b'id: ') == 30
        assert not evacuation_harness.arrivals(fleet)

    evacuation_harness.run(test, plain=0, plain_away=0, engines_away=8)


@pytest.mark.parametrize(
    'path', [evacuation_harness.PLAIN, evacuation_harness.ONCE]
)
def test_a_request_with_a_slot_is_not_written_after_the_evacuation(
    path, monkeypatch
):
    """It gets another slot, for none of its attempts and no retry.

    Its connection is opened while the evacuation begins.
    """

    async def test(fleet):
        (node,) = fleet.nodes
        connect = node.state.connections.connect
        away = {
            endpoint.address
            for endpoint in evacuation_harness.endpoints_of(
                fleet, evacuation_harness.AWAY
            )
        }
        held_back = []

        async def connect_late(address):
            if ':'.join(map(str, address)) in away:
                held_back.append(address)
                if not fleet.store.objects.get(evacuation_harness.KIND):
                    evacuation_harness.evacuate(fleet)
                await evacuation_harness.wait_until_in_force(fleet)
            return await connect(address)

        node.state.connections.connect = connect_late
        released = []
        release = held_slots.HeldSlots.release

        def record(slots, message):
            released.append(message)
            release(slots, message)

        monkeypatch.setattr(held_slots.HeldSlots, 'release', record)
        budget = evacuation_harness.retries()
        answers = []

        async def ask():
            answers.append(await fleet.caller().ask(path))

        async with anyio.create_task_group() as group:
            for _ in range(8):
                group.start_soon(ask)
        assert held_back
        assert {one.status for one in answers} == {200}
        assert not evacuation_harness.arrivals(fleet)
        assert evacuation_harness.retries() == budget
        # Nothing counts as a failure of the endpoints that were left.
        assert {one.leaving for one in released} == {
            reservations.ReleaseState.FREE
        }
        assert {one.result for one in released} == {
            reservations.EndpointResult.SUCCESS,
            reservations.EndpointResult.UNKNOWN,
        }

    evacuation_harness.run(test, engines=0)


@pytest.mark.parametrize('is_large', [False, True])
def test_everything_evacuated_refuses_at_once(is_large, request):
    if is_large:
        request.getfixturevalue('large')

    async def test(fleet):
        evacuation_harness.evacuate(fleet, 'zone-1')
        evacuation_harness.evacuate(fleet, evacuation_harness.AWAY)
        await evacuation_harness.wait_until_in_force(fleet, 'zone-1')
        await evacuation_harness.wait_until_in_force(
            fleet, evacuation_harness.AWAY
        )
        before = evacuation_harness.arrivals(
            fleet, 'zone-1'
        ) + evacuation_harness.arrivals(fleet)
        took_s = await evacuation_harness.refuse_all(
            fleet, 3 * [evacuation_harness.PLAIN, evacuation_harness.ONCE, '']
        )
        assert max(took_s) < evacuation_harness.REFUSED_S
        assert (
            evacuation_harness.arrivals(fleet, 'zone-1')
            + evacuation_harness.arrivals(fleet)
            == before
        )

    evacuation_harness.run(test, nodes=3, engines_away=2, data_centres=2)


@pytest.mark.parametrize('is_large', [False, True])
def test_queued_requests_are_refused_when_no_endpoint_is_left(
    is_large, request
):
    """They wait for slots whose endpoints may no longer get them."""
    if is_large:
        request.getfixturevalue('large')

    async def test(fleet):
        for endpoint in fleet.endpoints.values():
            endpoint.events_per_response = 100
        running = [await fleet.caller().start_stream() for _ in range(4)]
        await fleet.wait_until(lambda: all(one.body for one in running))
        waiting = [await fleet.caller(1).start_stream() for _ in range(2)]
        await fleet.wait_until(
            lambda: any(
                node.state.waiting_requests(
                    fleet_harness.ENGINE_SERVICE, fleet_harness.SMALL_MODEL
                )
                for node in fleet.nodes
            )
        )
        evacuation_harness.evacuate(fleet)
        await evacuation_harness.wait_until_in_force(fleet)
        with anyio.fail_after(evacuation_harness.REFUSED_S):
            for reader in waiting:
                await reader.done
        assert {reader.head.status for reader in waiting} == {503}
        with anyio.fail_after(5):
            for reader in running:
                assert await reader.done == 'whole'

    evacuation_harness.run(
        test,
        nodes=3,
        plain=0,
        engines=0,
        plain_away=0,
        engines_away=2,
        version=evacuation_harness.patient_configuration,
    )


def test_requests_queued_for_an_evacuated_pool_are_served_elsewhere(large):
    """In a large fleet each data centre has a queue of its own."""

    async def test(fleet):
        for endpoint in evacuation_harness.endpoints_of(
            fleet, evacuation_harness.AWAY
        ):
            endpoint.events_per_response = 110
        for endpoint in evacuation_harness.endpoints_of(fleet, 'zone-1'):
            endpoint.events_per_response = 40
        running = [await fleet.caller().start_stream() for _ in range(8)]
        await fleet.wait_until(lambda: all(one.body for one in running))
        waiting = [
            await fleet.caller(number % 3).start_stream() for number in range(3)
        ]
        await anyio.sleep(0.5)
        before = evacuation_harness.arrivals(fleet)
        evacuation_harness.evacuate(fleet)
        with anyio.fail_after(9):
            for reader in (*waiting, *running):
                assert await reader.done == 'whole'
        assert {reader.head.status for reader in waiting} == {200}
        assert evacuation_harness.arrivals(fleet) == before

    evacuation_harness.run(
        test,
        nodes=3,
        plain=0,
        engines=2,
        plain_away=0,
        engines_away=2,
        data_centres=2,
        version=evacuation_harness.patient_configuration,
    )


@pytest.mark.parametrize('is_large', [False, True])
def test_a_node_without_the_store_learns_of_the_begin_and_of_the_end(
    is_large, request
):
    """It reaches neither the store nor a relay, but other nodes."""
    if is_large:
        request.getfixturevalue('large')

    async def test(fleet):
        await anyio.sleep(0.5)
        for node in fleet.nodes[2:]:
            evacuation_harness.cut_off_from_store(node)
        await anyio.sleep(3)
        evacuation_harness.evacuate(fleet)
        await evacuation_harness.wait_until_in_force(fleet)
        before = evacuation_harness.arrivals(fleet)
        await evacuation_harness.send_many(fleet)
        assert evacuation_harness.arrivals(fleet) == before
        evacuation_harness.restore(fleet)
        await evacuation_harness.wait_until_in_force(fleet, is_evacuated=False)

    evacuation_harness.run(test, nodes=6, engines=0)
