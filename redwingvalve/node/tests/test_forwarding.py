"""Requests that a node without endpoints in reach forwards to another."""

import contextlib

import anyio
import pytest

from redwingvalve.node.tests import endpoint_cuts
from redwingvalve.platform.tests import fleet_harness

RESET = endpoint_cuts.CutMode.RESET


@contextlib.asynccontextmanager
async def first_node_cut_off(fleet):
    """Yield a caller of a node that knows that it is cut off."""
    links = endpoint_cuts.NodeLinks(fleet.nodes[0], fleet.endpoints)
    links.cut(RESET)
    fleet.nodes[0].reach.request_check()
    await fleet.wait_until(lambda: fleet.nodes[0].reach.is_cut_off)
    yield fleet.caller(0)


def run(test, **shape):
    fleet_harness.run(test, nodes=2, **shape)


def all_runs(fleet):
    return [run for one in fleet.endpoints.values() for run in one.runs]


def test_a_forwarded_request_that_may_run_once_is_not_repeated():
    """The endpoint's answer is lost behind the other node."""

    async def test(fleet):
        for endpoint in fleet.endpoints.values():
            endpoint.faults.resets_answers = True
        async with first_node_cut_off(fleet) as caller:
            response = await caller.ask('/quote/1')
        assert response.status == 502
        assert len(all_runs(fleet)) == 1

    run(test, engines=0, plain=2)


def test_a_forwarded_request_makes_no_more_attempts_than_its_route_allows():
    async def test(fleet):
        for endpoint in fleet.endpoints.values():
            endpoint.faults.returns_server_error = True
        async with first_node_cut_off(fleet) as caller:
            response = await caller.ask('/card/1')
        assert response.status == 500
        assert b'x-server-seal' in response.headers
        assert len(all_runs(fleet)) == 2

    run(test, engines=0, plain=4)


def test_only_the_node_that_the_caller_chose_counts_for_the_retry_budget():
    async def test(fleet):
        async with first_node_cut_off(fleet) as caller:
            for _ in range(5):
                assert (await caller.ask('/card/1')).status == 200
        counts = [
            node.state.retry_budget(fleet_harness.PLAIN_SERVICE)
            .use(anyio.current_time())
            .requests
            for node in fleet.nodes
        ]
        assert counts == [5, 0]

    run(test, engines=0, plain=2)


def test_an_endpoint_stops_when_the_caller_of_a_forwarded_stream_leaves():
    async def test(fleet):
        for endpoint in fleet.endpoints.values():
            endpoint.events_per_response = 500
        async with first_node_cut_off(fleet) as caller:
            reader = await caller.start_stream()
            await fleet.wait_until(lambda: reader.body.count(b'id: ') >= 2)
            caller.disconnect()
            await fleet.wait_until(
                lambda: any(
                    one.cancelled_attempts for one in fleet.endpoints.values()
                ),
                0.5,
            )

    run(test, engines=4, plain=0)


def test_a_refusal_of_the_other_node_reaches_the_caller():
    """It promises that the request has not run, and says when to return."""

    async def test(fleet):
        for endpoint in fleet.endpoints.values():
            endpoint.faults.rejects_requests = True
        async with first_node_cut_off(fleet) as caller:
            response = await caller.ask('/quote/1')
        assert response.status == 503
        assert b'retry-after' in response.headers
        assert not all_runs(fleet)

    run(test, engines=0, plain=2)


@pytest.mark.parametrize('attempts', [b'9', b'0'])
def test_a_caller_cannot_pass_for_a_node(attempts):
    """The headers of nodes count only at the address for nodes."""

    async def test(fleet):
        headers = [(b'X-Redwingvalve-Attempts', attempts)]
        response = await fleet.caller().ask('/card/1', headers=headers)
        assert response.status == 200
        names = {name for one in all_runs(fleet) for name, _ in one.headers}
        assert b'x-redwingvalve-attempts' not in names

    run(test, engines=0, plain=2)
