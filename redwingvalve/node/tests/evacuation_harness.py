"""Fleets with a data centre that is evacuated."""

import time

import anyio

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


def patient_configuration(version=1):
    """Return a configuration whose requests wait for seconds."""
    found = fleet_harness.configuration(version)
    for route in found['routes']:
        route.update(timeout_ms=9000, goal_ms=6000)
    return found
