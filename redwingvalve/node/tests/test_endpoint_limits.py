"""Endpoints that state in their answers what they take."""

import time

import anyio

from redwingvalve.platform.tests import fleet_harness

CALLS_PER_S = 25
# A stated limit binds after this time.
GRACE_S = 3.0
WINDOW_S = 4.0


def most_in_window(timestamps_s, window_s):
    return max(
        (
            sum(from_s <= at_s < from_s + window_s for at_s in timestamps_s)
            for from_s in timestamps_s
        ),
        default=0,
    )


async def call_in_turn(fleet, path, duration_s):
    """Call all nodes in turn and return the statuses of the responses."""
    statuses = []

    async def call(caller):
        statuses.append((await caller.ask(path)).status)

    until_s = time.monotonic() + duration_s
    async with anyio.create_task_group() as group:
        while time.monotonic() < until_s:
            for index in range(len(fleet.nodes)):
                group.start_soon(call, fleet.caller(index))
                await anyio.sleep(1 / CALLS_PER_S)
    return statuses


def test_an_endpoint_gets_no_more_requests_than_its_stated_rate_limit():
    """The limit holds for the sum of what all nodes send."""

    async def test(fleet):
        limited = fleet.endpoints['p0']
        limited.faults.stated_requests_per_s = 1.0
        started_s = time.monotonic()
        statuses = await call_in_turn(fleet, '/card/1', GRACE_S + WINDOW_S)
        assert set(statuses) == {200}
        arrivals_s = [
            at_s for at_s in limited.arrivals_s if at_s > started_s + GRACE_S
        ]
        allowed = 1.5 * WINDOW_S * limited.faults.stated_requests_per_s + 5
        assert 1 <= most_in_window(arrivals_s, WINDOW_S) <= allowed

    fleet_harness.run(test, nodes=3, engines=0)
