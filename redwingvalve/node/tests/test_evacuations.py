"""Nothing new reaches the endpoints of an evacuated data centre."""

import time

import anyio
import pytest

from redwingvalve.allocation import held_slots
from redwingvalve.ingress import reservations
from redwingvalve.node import peers
from redwingvalve.node.tests import endpoint_cuts
from redwingvalve.observability import node_metrics
from redwingvalve.platform import names, store
from redwingvalve.platform.tests import fleet_harness

KIND = names.EVACUATION_KIND
AWAY = 'zone-2'
BOUND_S = 2.0
BOUNDS = {**fleet_harness.BOUNDS, 'evacuate_ms': BOUND_S * 1000}
# Limit for refusing a request that can't be served.
REFUSED_S = 0.3
PLAIN = '/card/1'
ONCE = '/quote/1'
REPLICAS_HERE = 2


@pytest.fixture
def large(monkeypatch):
    monkeypatch.setattr(peers, 'LARGE_FLEET_NODES', 3)


def run(test, *, bounds=BOUNDS, plain_away=2, engines_away=0, **shape):
    """Run a test with endpoints in two data centres."""

    async def with_endpoints(fleet):
        for number in range(plain_away):
            await fleet.add_endpoint(
                f'a{number}', fleet_harness.PLAIN_SERVICE, '', AWAY
            )
        for number in range(engines_away):
            await fleet.add_endpoint(
                f'b{number}', fleet_harness.ENGINE_SERVICE, 'domain-2', AWAY
            )
        replicas = (shape.get('engines', 4) + engines_away) // 2
        await fleet.wait_until(
            lambda: all(
                len(plain_targets(node)) == shape.get('plain', 2) + plain_away
                and len(fleet.targets(index)) == replicas
                for index, node in enumerate(fleet.nodes)
            )
        )
        await test(fleet)

    fleet_harness.run(with_endpoints, bounds=bounds, **shape)


def plain_targets(node):
    return node.table.find_targets(fleet_harness.PLAIN_SERVICE, '')


def endpoints_of(fleet, data_centre):
    return [
        endpoint
        for endpoint in fleet.endpoints.values()
        if endpoint._data_centre == data_centre
    ]


def evacuate(fleet, data_centre=AWAY):
    fleet.store.put(KIND, data_centre, {})


def restore(fleet, data_centre=AWAY):
    fleet.store.remove(KIND, data_centre)


async def wait_until_in_force(fleet, data_centre=AWAY, *, is_evacuated=True):
    await fleet.wait_until(
        lambda: all(
            node.table.evacuations.is_evacuated(data_centre) == is_evacuated
            for node in fleet.nodes
        ),
        BOUND_S,
    )


def arrivals(fleet, data_centre=AWAY):
    return sum(
        len(endpoint.arrivals.times_s)
        for endpoint in endpoints_of(fleet, data_centre)
    )


def retries():
    counts = node_metrics.METRICS._counts
    return sum(
        count
        for (name, _), count in counts.items()
        if name == 'redwingvalve_retries'
    )


def cut_off_from_store(node, kinds=None):
    """Let the node's calls to the store and to relays fail."""
    call = node.json_client.call

    async def call_unless_cut(address, start, *arguments, **options):
        path = start.partition(' ')[2].partition('?')[0]
        if path.startswith(names.OBJECTS_PATH):
            kind = path.removeprefix(names.OBJECTS_PATH).partition('/')[0]
            if kinds is None or kind in kinds:
                raise store.StoreError('cut off')
        return await call(address, start, *arguments, **options)

    node.json_client.call = call_unless_cut

    def heal():
        node.json_client.call = call

    return heal


async def send_many(fleet, count=30):
    """Send requests of all kinds to all nodes; return the answers."""
    answers = []

    async def ask(number):
        caller = fleet.caller(number % len(fleet.nodes))
        if number % 3 == 0:
            answers.append(await caller.stream())
        else:
            path = PLAIN if number % 3 == 1 else ONCE
            answers.append(await caller.ask(path))

    async with anyio.create_task_group() as group:
        for number in range(count):
            group.start_soon(ask, number)
            await anyio.sleep(0.02)
    return answers


def test_requests_go_elsewhere_from_the_evacuation_to_its_end():
    async def test(fleet):
        await send_many(fleet)
        assert arrivals(fleet)
        evacuate(fleet)
        await wait_until_in_force(fleet)
        assert len(plain_targets(fleet.nodes[0])) == 2
        assert len(fleet.targets()) == 2
        before = arrivals(fleet)
        answers = await send_many(fleet)
        assert {one.status for one in answers} == {200}
        assert arrivals(fleet) == before
        restore(fleet)
        await wait_until_in_force(fleet, is_evacuated=False)
        await send_many(fleet)
        assert arrivals(fleet) > before

    run(test, nodes=3, engines_away=4)


def test_a_removed_unknown_name_changes_nothing():
    async def test(fleet):
        fleet.store.put(KIND, 'zone-9', {})
        await anyio.sleep(0.3)
        fleet.store.remove(KIND, 'zone-9')
        fleet.store.remove(KIND, 'zone-9')
        await anyio.sleep(0.3)
        assert len(plain_targets(fleet.nodes[0])) == 4

    run(test, engines=0)


@pytest.mark.parametrize('spec', [None, 'text', [], {'zone': 3}])
def test_an_entry_counts_whatever_its_spec_is(spec):
    async def test(fleet):
        fleet.store.put(KIND, AWAY, spec)
        await wait_until_in_force(fleet)
        assert len(plain_targets(fleet.nodes[0])) == 2

    run(test, engines=0)


def test_objects_without_a_name_hide_no_evacuation():
    """The listing of such objects must not stop the watch or the relays."""

    async def test(fleet):
        objects = fleet.store.objects.setdefault(KIND, {})
        objects['x'] = {'metadata': None, 'spec': {}}
        objects['y'] = 'text'
        evacuate(fleet)
        fleet.store.drop_history()
        await wait_until_in_force(fleet)
        fleet.store.drop_history()
        await anyio.sleep(0.5)
        restore(fleet)
        await wait_until_in_force(fleet, is_evacuated=False)

    run(test, engines=0)


def test_nothing_is_watched_without_the_setting():
    async def test(fleet):
        evacuate(fleet)
        await anyio.sleep(0.5)
        (node,) = fleet.nodes
        assert len(plain_targets(node)) == 4
        assert KIND not in {watch.kind for watch in node.watches}

    run(test, bounds=fleet_harness.BOUNDS, engines=0)


def test_a_running_stream_continues():
    """Only what is new goes elsewhere."""

    async def test(fleet):
        for endpoint in fleet.endpoints.values():
            endpoint.events_per_response = 50
        caller = fleet.caller()
        reader = await caller.start_stream()
        await fleet.wait_until(lambda: b'id: 3' in reader.body)
        evacuate(fleet)
        await wait_until_in_force(fleet)
        assert not fleet.targets()
        with anyio.fail_after(4):
            assert await reader.done == 'whole'
        assert reader.body.count(b'id: ') == 50
        assert arrivals(fleet) == 1

    run(test, plain=0, engines=0, plain_away=0, engines_away=2)


def test_a_silent_stream_is_not_resumed_in_an_evacuated_data_centre():
    async def test(fleet):
        for endpoint in fleet.endpoints.values():
            endpoint.events_per_response = 30
        evacuate(fleet)
        await wait_until_in_force(fleet)
        reader = await fleet.caller().start_stream()
        await fleet.wait_until(lambda: b'id: 3' in reader.body)
        (head,) = [
            endpoint
            for endpoint in endpoints_of(fleet, 'zone-1')
            if endpoint.runs
        ]
        head.faults.is_stalled = True
        with anyio.fail_after(4):
            assert await reader.done == 'whole'
        assert reader.body.count(b'id: ') == 30
        assert not arrivals(fleet)

    run(test, plain=0, plain_away=0, engines_away=8)


@pytest.mark.parametrize('path', [PLAIN, ONCE])
def test_a_request_with_a_slot_is_not_written_after_the_evacuation(
    path, monkeypatch
):
    """It gets another slot, for none of its attempts and no retry.

    Its connection is opened while the evacuation begins.
    """

    async def test(fleet):
        (node,) = fleet.nodes
        connect = node.state.connections.connect
        away = {endpoint.address for endpoint in endpoints_of(fleet, AWAY)}
        held_back = []

        async def connect_late(address):
            if ':'.join(map(str, address)) in away:
                held_back.append(address)
                if not fleet.store.objects.get(KIND):
                    evacuate(fleet)
                await wait_until_in_force(fleet)
            return await connect(address)

        node.state.connections.connect = connect_late
        released = []
        release = held_slots.HeldSlots.release

        def record(slots, message):
            released.append(message)
            release(slots, message)

        monkeypatch.setattr(held_slots.HeldSlots, 'release', record)
        budget = retries()
        answers = []

        async def ask():
            answers.append(await fleet.caller().ask(path))

        async with anyio.create_task_group() as group:
            for _ in range(8):
                group.start_soon(ask)
        assert held_back
        assert {one.status for one in answers} == {200}
        assert not arrivals(fleet)
        assert retries() == budget
        # Nothing counts as a failure of the endpoints that were left.
        assert {one.leaving for one in released} == {
            reservations.ReleaseState.FREE
        }
        assert {one.result for one in released} == {
            reservations.EndpointResult.SUCCESS,
            reservations.EndpointResult.UNKNOWN,
        }

    run(test, engines=0)


async def refuse_all(fleet, paths):
    """Return how long the refusals took."""
    took_s = []
    for index, path in enumerate(paths):
        caller = fleet.caller(index % len(fleet.nodes))
        began_s = time.monotonic()
        answer = await (caller.ask(path) if path else caller.stream())
        took_s.append(time.monotonic() - began_s)
        assert answer.status == 503
        assert b'retry-after' in answer.headers
    return took_s


@pytest.mark.parametrize('is_large', [False, True])
def test_everything_evacuated_refuses_at_once(is_large, request):
    if is_large:
        request.getfixturevalue('large')

    async def test(fleet):
        evacuate(fleet, 'zone-1')
        evacuate(fleet, AWAY)
        await wait_until_in_force(fleet, 'zone-1')
        await wait_until_in_force(fleet, AWAY)
        before = arrivals(fleet, 'zone-1') + arrivals(fleet)
        took_s = await refuse_all(fleet, 3 * [PLAIN, ONCE, ''])
        assert max(took_s) < REFUSED_S
        assert arrivals(fleet, 'zone-1') + arrivals(fleet) == before

    run(test, nodes=3, engines_away=2, data_centres=2)


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
        evacuate(fleet)
        await wait_until_in_force(fleet)
        with anyio.fail_after(REFUSED_S):
            for reader in waiting:
                await reader.done
        assert {reader.head.status for reader in waiting} == {503}
        with anyio.fail_after(5):
            for reader in running:
                assert await reader.done == 'whole'

    run(
        test,
        nodes=3,
        plain=0,
        engines=0,
        plain_away=0,
        engines_away=2,
        version=patient_configuration,
    )


def patient_configuration(version=1):
    """Return a configuration whose requests wait for seconds."""
    found = fleet_harness.configuration(version)
    for route in found['routes']:
        route.update(timeout_ms=9000, goal_ms=6000)
    return found


def test_requests_queued_for_an_evacuated_pool_are_served_elsewhere(large):
    """In a large fleet each data centre has a queue of its own."""

    async def test(fleet):
        for endpoint in endpoints_of(fleet, AWAY):
            endpoint.events_per_response = 110
        for endpoint in endpoints_of(fleet, 'zone-1'):
            endpoint.events_per_response = 40
        running = [await fleet.caller().start_stream() for _ in range(8)]
        await fleet.wait_until(lambda: all(one.body for one in running))
        waiting = [
            await fleet.caller(number % 3).start_stream() for number in range(3)
        ]
        await anyio.sleep(0.5)
        before = arrivals(fleet)
        evacuate(fleet)
        with anyio.fail_after(9):
            for reader in (*waiting, *running):
                assert await reader.done == 'whole'
        assert {reader.head.status for reader in waiting} == {200}
        assert arrivals(fleet) == before

    run(
        test,
        nodes=3,
        plain=0,
        engines=2,
        plain_away=0,
        engines_away=2,
        data_centres=2,
        version=patient_configuration,
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
            cut_off_from_store(node)
        await anyio.sleep(3)
        evacuate(fleet)
        await wait_until_in_force(fleet)
        before = arrivals(fleet)
        await send_many(fleet)
        assert arrivals(fleet) == before
        restore(fleet)
        await wait_until_in_force(fleet, is_evacuated=False)

    run(test, nodes=6, engines=0)


def test_a_node_that_was_cut_off_learns_of_what_it_missed():
    """The evacuation ends and another one begins while it hears nobody."""

    async def test(fleet):
        node = fleet.nodes[-1]
        evacuate(fleet)
        await wait_until_in_force(fleet)
        heal = cut_off_from_store(node)
        receive = node.peers.datagram_received
        node.peers.datagram_received = lambda packed, address: None
        restore(fleet)
        evacuate(fleet, 'zone-3')
        await anyio.sleep(2 * BOUND_S)
        # The safe side.
        assert node.table.evacuations.is_evacuated(AWAY)
        heal()
        await fleet.wait_until(
            lambda: node.table.evacuations.names() == {'zone-3'}, BOUND_S
        )
        node.peers.datagram_received = receive

    run(test, nodes=3, engines=0)


def test_the_last_known_state_stays_in_force_without_the_store():
    async def test(fleet):
        evacuate(fleet)
        await wait_until_in_force(fleet)
        before = arrivals(fleet)
        fleet.store.faults.error_status = 503
        await anyio.sleep(BOUND_S + 1)
        answers = await send_many(fleet, 20)
        assert {one.status for one in answers} == {200}
        assert arrivals(fleet) == before

    run(test, nodes=2)


def test_an_evacuation_ends_though_the_store_lost_its_history():
    """The kind is listed again, and the entry is missing."""

    async def test(fleet):
        evacuate(fleet)
        await wait_until_in_force(fleet)
        fleet.store.faults.error_status = 503
        await anyio.sleep(1)
        restore(fleet)
        fleet.store.drop_history()
        fleet.store.faults.error_status = 0
        await wait_until_in_force(fleet, is_evacuated=False)

    run(test, nodes=2, engines=0)


@pytest.mark.parametrize('knows_nothing', [False, True])
def test_a_new_node_sends_nothing_to_an_evacuated_data_centre(knows_nothing):
    """It reads the kind before it accepts callers, or waits for other nodes.

    knows_nothing: the store answers it about all kinds but this one, and at
    first it hears no other node.
    """

    async def test(fleet):
        evacuate(fleet)
        await wait_until_in_force(fleet)
        node = fleet_harness.daemon.make_node(
            fleet_harness.node_settings('node-9', fleet.store_address, BOUNDS)
        )
        receive = node.peers.datagram_received
        if knows_nothing:
            cut_off_from_store(node, (KIND,))
            node.peers.datagram_received = lambda packed, address: None
        async with anyio.create_task_group() as group:
            group.start_soon(node.run, anyio.Event())
            await fleet.wait_until(lambda: node.is_listening)
            await fleet.wait_until(lambda: node.registry.is_synced)
            fleet.nodes.append(node)
            statuses = {
                (await fleet.caller(-1).ask(PLAIN)).status for _ in range(20)
            }
            assert statuses == {503 if knows_nothing else 200}
            node.peers.datagram_received = receive
            await fleet.wait_until(lambda: len(plain_targets(node)) == 2)
            statuses = {
                (await fleet.caller(-1).ask(PLAIN)).status for _ in range(20)
            }
            assert statuses == {200}
            assert not arrivals(fleet)
            fleet.nodes.remove(node)
            group.cancel_scope.cancel()

    run(test, nodes=2, engines=0)


def test_a_node_that_was_stopped_sends_nothing_before_it_knows_the_state():
    """Callers' requests waited in its sockets, and so did old answers."""

    async def test(fleet):
        node = fleet.nodes[0]
        evacuations = node.table.evacuations
        await fleet.wait_until(lambda: evacuations.is_synced)
        heal = cut_off_from_store(node)
        receive = node.peers.datagram_received
        node.peers.datagram_received = lambda packed, address: None
        evacuate(fleet)
        clock = evacuations._clock
        evacuations._clock = lambda: clock() + BOUND_S
        took_s = await refuse_all(fleet, [PLAIN])
        assert max(took_s) < REFUSED_S
        heal()
        node.peers.datagram_received = receive
        await fleet.wait_until(lambda: plain_targets(node), BOUND_S)
        answers = await send_many(fleet, 20)
        assert {one.status for one in answers} == {200}
        assert not arrivals(fleet)

    run(test, nodes=2)


def test_requests_handed_to_another_node_stay_out():
    """A node without links to endpoints hands its requests over."""

    async def test(fleet):
        links = endpoint_cuts.NodeLinks(fleet.nodes[0], fleet.endpoints)
        links.cut(endpoint_cuts.CutMode.RESET)
        await anyio.sleep(0.5)
        evacuate(fleet)
        await wait_until_in_force(fleet)
        before = arrivals(fleet)
        answers = [await fleet.caller(0).ask(PLAIN) for _ in range(30)]
        assert {one.status for one in answers[1:]} == {200}
        assert arrivals(fleet) == before
        evacuate(fleet, 'zone-1')
        await wait_until_in_force(fleet, 'zone-1')
        took_s = await refuse_all(fleet, [PLAIN, ONCE])
        assert max(took_s) < REFUSED_S

    run(test, nodes=3, engines=0)


def test_a_node_that_reaches_evacuated_endpoints_only_hands_requests_over():
    """Its links to all other endpoints are cut: it serves nobody itself."""

    async def test(fleet):
        here = {
            endpoint.endpoint_id: endpoint
            for endpoint in endpoints_of(fleet, 'zone-1')
        }
        evacuate(fleet)
        await wait_until_in_force(fleet)
        links = endpoint_cuts.NodeLinks(fleet.nodes[0], here)
        links.cut(endpoint_cuts.CutMode.RESET)
        await send_many(fleet)
        answers = [await fleet.caller(0).ask(PLAIN) for _ in range(20)]
        assert {one.status for one in answers} == {200}
        assert not arrivals(fleet)

    run(test, nodes=3)


def test_an_ejected_endpoint_is_not_probed_with_requests():
    """Its evacuation begins while it is out of use for its failures."""

    async def test(fleet):
        for endpoint in endpoints_of(fleet, AWAY):
            endpoint.faults.returns_server_error = True
        for _ in range(4):
            await send_many(fleet)
        evacuate(fleet)
        await wait_until_in_force(fleet)
        before = arrivals(fleet)
        for _ in range(4):
            await send_many(fleet)
        assert arrivals(fleet) == before

    run(test, nodes=2, plain_away=1)
