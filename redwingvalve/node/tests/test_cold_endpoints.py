"""Nodes and endpoints that are cold, on one event loop."""

import time

import anyio

from redwingvalve.allocation.tests import cold_simulation
from redwingvalve.platform.tests import fleet_harness

COLD_PER_S = 4
# cold_per_s * cold_excess + cold_slack
ALLOWED = 11
LOAD_S = 4.0
CALLS_PER_S = 60


def configuration(version=1):
    made = fleet_harness.configuration(version)
    made['services'][0] |= {'cold_s': 20, 'cold_per_s': COLD_PER_S}
    return made


async def call_all_nodes(fleet, duration_s):
    statuses = []

    async def call(caller):
        statuses.append((await caller.ask('/card/1')).status)

    until_s = time.monotonic() + duration_s
    async with anyio.create_task_group() as group:
        while time.monotonic() < until_s:
            for index in range(len(fleet.nodes)):
                group.start_soon(call, fleet.caller(index))
                await anyio.sleep(1 / CALLS_PER_S)
    return statuses


def cold_at(node):
    return node.allocation.cold_endpoints.cold_ids()


def arrivals_since(endpoint, since_s):
    return [at_s for at_s in endpoint.arrivals.times_s if at_s >= since_s]


def test_an_endpoint_that_returns_cold_gets_no_more_than_it_tolerates():
    """Its entry comes late, and all nodes send to it."""

    async def test(fleet):
        await call_all_nodes(fleet, 1.5)
        restarted = fleet.endpoints['p0']
        restarted.faults.is_cut_off_from_store = True
        restarted.crash_and_restart()
        since_s = time.monotonic()
        async with anyio.create_task_group() as group:
            group.start_soon(call_all_nodes, fleet, LOAD_S)
            await anyio.sleep(0.8)
            restarted.faults.is_cut_off_from_store = False
            restarted.faults.entry_cold_left_ms = 15_000
            restarted.write_entry()
            await fleet.wait_until(
                lambda: all(cold_at(node) == ['p0'] for node in fleet.nodes)
            )
        arrivals_s = arrivals_since(restarted, since_s)
        assert len(arrivals_s) >= LOAD_S
        assert cold_simulation.most_in_a_second(arrivals_s) <= ALLOWED

    fleet_harness.run(test, nodes=3, engines=0, plain=3, version=configuration)


def test_nodes_learn_from_answers_that_an_endpoint_is_cold():
    """Its entry in the store never says so."""

    async def test(fleet):
        cold = fleet.endpoints['p0']
        cold.faults.stated_cold_ms = 15_000
        await call_all_nodes(fleet, LOAD_S)
        assert all(cold_at(node) == ['p0'] for node in fleet.nodes)
        arrivals_s = arrivals_since(cold, 0)
        assert len(arrivals_s) >= LOAD_S
        assert cold_simulation.most_in_a_second(arrivals_s) <= ALLOWED

    fleet_harness.run(test, nodes=3, engines=0, plain=3, version=configuration)
