"""Endpoints that state in their answers what they take."""

import time

import anyio

from redwingvalve.platform.tests import fleet_harness

CALLS_PER_S = 25
# A stated limit binds after this time.
GRACE_S = 3.0
WINDOW_S = 4.0
REST_S = 3.0
# Requests that reach an endpoint so soon after it asked for rest do not count.
REST_GRACE_S = 0.5
# Time in which all nodes learn that an endpoint leaves.
LEAVING_SPREAD_S = 0.2


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
            at_s
            for at_s in limited.arrivals.times_s
            if at_s > started_s + GRACE_S
        ]
        allowed = 1.5 * WINDOW_S * limited.faults.stated_requests_per_s + 5
        assert 1 <= most_in_window(arrivals_s, WINDOW_S) <= allowed

    fleet_harness.run(test, nodes=3, engines=0)


def test_endpoints_that_asked_a_node_for_rest_get_it():
    """Two requests may still be on their way when they have asked for it."""

    async def test(fleet):
        for endpoint in fleet.endpoints.values():
            endpoint.faults.rejects_every_other_request = True
            endpoint.faults.stated_rest_s = REST_S
        statuses = await call_in_turn(fleet, '/card/1', 2 * REST_S)
        assert set(statuses) <= {200, 503}
        arrived_while_resting = [
            sum(
                asked_s + REST_GRACE_S < at_s < asked_s + REST_S
                for at_s in endpoint.arrivals.times_s
            )
            for endpoint in fleet.endpoints.values()
            for asked_s in endpoint.rejections_s
        ]
        assert max(arrived_while_resting) <= 2

    fleet_harness.run(test, engines=0, plain=4)


def test_a_caller_is_told_when_all_endpoints_have_rested():
    """It is refused at once, as nothing may be sent for it before."""

    async def test(fleet):
        for name in ('p0', 'p1'):
            fleet.endpoints[name].faults.rejects_requests = True
            fleet.endpoints[name].faults.stated_rest_s = REST_S
        caller = fleet.caller()
        assert (await caller.ask('/card/1')).status == 503
        asked_s = time.monotonic()
        response = await caller.ask('/card/1')
        assert time.monotonic() - asked_s < 0.2
        assert response.status == 503
        assert float(response.headers[b'retry-after']) >= REST_S - 0.5
        assert [
            len(fleet.endpoints[name].arrivals.times_s) for name in ('p0', 'p1')
        ] == [1, 1]

    fleet_harness.run(test, engines=0)


def test_an_endpoint_that_says_that_it_leaves_gets_no_new_requests():
    """Its entry in the store still says that it is ready."""

    async def test(fleet):
        leaving = fleet.endpoints['p0']
        leaving.faults.states_leaving = True
        # One node is told; the other one has to learn it.
        while not leaving.arrivals.times_s:
            await fleet.caller().ask('/card/1')
        await anyio.sleep(LEAVING_SPREAD_S)
        before = len(leaving.arrivals.times_s)
        statuses = await call_in_turn(fleet, '/card/1', 1.0)
        assert set(statuses) == {200}
        assert len(leaving.arrivals.times_s) == before

    fleet_harness.run(test, nodes=2, engines=0)


def test_a_head_that_says_that_it_leaves_gets_no_new_streams():
    async def test(fleet):
        leaving = fleet.head()
        leaving.faults.states_leaving = True
        caller = fleet.caller()
        while not leaving.arrivals.times_s:
            await caller.stream()
        before = len(leaving.arrivals.times_s)
        for _ in range(6):
            assert (await caller.stream()).status == 200
        assert len(leaving.arrivals.times_s) == before

    fleet_harness.run(test)


def test_a_head_that_blames_a_member_goes_out_of_use_if_the_member_is_lost():
    """The member's entry is still there; only the head has noticed."""

    async def test(fleet):
        head = fleet.head()
        member = fleet.endpoints[head.members[1]]
        member.faults.is_unresponsive = True
        head.faults.rejects_requests = True
        head.faults.stated_at_fault = member.address
        caller = fleet.caller()
        while not head.arrivals.times_s:
            assert (await caller.stream()).status == 200
        await fleet.wait_until(lambda: len(fleet.targets()) == 1, 1.0)

    fleet_harness.run(test)


def test_a_full_head_that_blames_itself_stays_in_use():
    async def test(fleet):
        head = fleet.head()
        head.faults.rejects_requests = True
        head.faults.stated_at_fault = head.address
        caller = fleet.caller()
        while not head.arrivals.times_s:
            assert (await caller.stream()).status == 200
        await anyio.sleep(0.5)
        assert len(fleet.targets()) == 2

    fleet_harness.run(test)


def test_an_endpoint_that_leaves_stays_out_of_use_when_its_entry_returns():
    """Entries expire while the store is down and come back after it."""

    async def test(fleet):
        table = fleet.nodes[0].table

        def targets():
            return table.find_targets(fleet_harness.PLAIN_SERVICE, '')

        entry = fleet.store.objects['servers']['p0']['spec']
        fleet.store.remove('servers', 'p0')
        await fleet.wait_until(lambda: len(targets()) == 1)
        table.mark_leaving('p0')
        fleet.store.put('servers', 'p0', entry)
        await anyio.sleep(0.3)
        assert len(targets()) == 1

    fleet_harness.run(test, engines=0)
