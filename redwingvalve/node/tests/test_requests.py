"""Responses that callers get from a node, over real connections."""

import anyio
import pytest

from redwingvalve.allocation import messages
from redwingvalve.observability import node_metrics
from redwingvalve.platform.tests import fleet_harness


def test_a_body_is_forwarded_unchanged_and_the_api_key_is_removed():
    async def test(fleet):
        response = await fleet.caller().ask(
            '/quote/seat?x=%20y', b'\0\xffbytes'
        )
        assert response.status == 200
        (received,) = [
            run for name in ('p0', 'p1') for run in fleet.endpoints[name].runs
        ]
        sent = dict(received.headers)
        assert received.target == b'/quote/seat?x=%20y'
        assert sent[b'x-tenant'] == b'workshop'
        assert b'api-key' not in sent
        assert 0 < int(sent[b'x-deadline-ms']) <= 3000
        assert response.body == b'body of %b' % received.attempt_id

    fleet_harness.run(test, engines=0)


@pytest.mark.parametrize(
    ('path', 'key', 'status'),
    [
        ('/none/1', fleet_harness.API_KEY, 404),
        ('/card/1', 'unknown', 401),
        ('/card/1', '', 401),
        ('/open/1', '', 200),
        ('/open/1', 'unknown', 200),
    ],
)
def test_routes_and_api_keys_decide_whether_a_request_is_served(
    path, key, status
):
    async def test(fleet):
        response = await fleet.caller().ask(path, key=key)
        assert response.status == status

    fleet_harness.run(test, engines=0)


def test_a_caller_cannot_choose_its_account():
    async def test(fleet):
        await fleet.caller().ask('/card/1', headers=[(b'X-Tenant', b'another')])
        (received,) = [
            run for name in ('p0', 'p1') for run in fleet.endpoints[name].runs
        ]
        accounts = [
            content for name, content in received.headers if name == b'x-tenant'
        ]
        assert accounts == [b'workshop']

    fleet_harness.run(test, engines=0)


def test_requests_are_rejected_as_not_run_without_a_configuration():
    async def test(fleet):
        await fleet.wait_until(lambda: fleet.nodes[0].is_listening)
        await anyio.sleep(0.1)
        response = await fleet.caller().ask('/card/1')
        assert (
            response.status == 503
            and float(response.headers[b'retry-after']) > 0
        )

    fleet_harness.run(test, engines=0, version=None)


def test_a_revoked_api_key_is_rejected_within_a_second():
    async def test(fleet):
        caller = fleet.caller()
        assert (await caller.ask('/card/1')).status == 200
        fleet.store.put(
            'config', 'main', fleet_harness.configuration(version=2, tenants=[])
        )
        await fleet.wait_until(
            lambda: fleet.nodes[0].state.configuration.version == 2, 1
        )
        assert (await caller.ask('/card/1')).status == 401

    fleet_harness.run(test, engines=0)


def test_an_invalid_configuration_is_ignored():
    async def test(fleet):
        fleet.store.put('config', 'main', {'version': 2, 'routes': 'none'})
        await anyio.sleep(0.2)
        assert fleet.nodes[0].state.configuration.version == 1
        assert (await fleet.caller().ask('/card/1')).status == 200

    fleet_harness.run(test, engines=0)


def test_a_rejected_non_idempotent_request_is_not_retried():
    """The caller is told that the request did not run, and it never does.

    Both endpoints reject the request; the route allows only one attempt.
    """

    async def test(fleet):
        for name in ('p0', 'p1'):
            fleet.endpoints[name].faults.rejects_requests = True
        response = await fleet.caller().ask('/quote/1')
        assert response.status == 503 and b'retry-after' in response.headers
        assert not fleet.endpoints['p0'].runs + fleet.endpoints['p1'].runs

    fleet_harness.run(test, engines=0)


def test_a_request_that_may_have_run_is_not_reported_as_not_run():
    """The endpoint crashes while it runs a non-idempotent request.

    A 503 would promise that it never ran, and the caller would send it again.
    """

    async def test(fleet):
        caller = fleet.caller()
        reader = await caller.start_request('/quote/1')
        ran = []

        def has_run():
            for name in ('p0', 'p1'):
                if fleet.endpoints[name].runs:
                    ran.append(name)
            return bool(ran)

        await fleet.wait_until(has_run)
        fleet.endpoints[ran[0]].crash()
        await fleet.wait_until(reader.done.done)
        assert reader.head.status == 502
        total = sum(len(fleet.endpoints[name].runs) for name in ('p0', 'p1'))
        assert total == 1

    fleet_harness.run(test, engines=0)


def test_a_failed_idempotent_request_is_retried_elsewhere():
    async def test(fleet):
        fleet.endpoints['p0'].faults.returns_server_error = True
        caller = fleet.caller()
        for _ in range(6):
            response = await caller.ask('/card/1')
            assert response.status == 200

    fleet_harness.run(test, engines=0)


def test_a_duplicated_response_reaches_no_other_caller():
    """Each caller gets its own complete response.

    The endpoint sends each response twice; the second copy remains on a
    connection that would be reused for the next request.
    """

    async def test(fleet):
        for name in ('p0', 'p1'):
            fleet.endpoints[name].faults.duplicates_response = True
        caller = fleet.caller()
        for _ in range(8):
            response = await caller.ask('/card/1')
            ran = fleet.endpoints['p0'].runs + fleet.endpoints['p1'].runs
            assert response.status == 200
            assert response.body in {
                b'body of %b' % run.attempt_id for run in ran
            }
            expected = caller.attempt_id(caller.number)
            assert response.body == b'body of ' + expected

    fleet_harness.run(test, engines=0)


def test_a_slot_of_a_failed_endpoint_is_not_granted_to_waiting_requests():
    """A waiting request isn't lost at the endpoint that has just failed.

    The slot is granted neither at once nor during the time in which the next
    connection shows whether the endpoint is still alive.
    """

    async def test(fleet):
        reader = await fleet.caller().start_request('/quote/1')
        names = ('p0', 'p1')
        await fleet.wait_until(
            lambda: any(fleet.endpoints[name].runs for name in names)
        )
        ran, idle = sorted(
            names, key=lambda name: not fleet.endpoints[name].runs
        )
        # The nodes learn of the crash by the broken connection alone.
        fleet.store.remove = lambda kind, name: None
        fleet.endpoints[ran].crash()
        await fleet.wait_until(reader.done.done)
        pool = messages.Pool(fleet_harness.PLAIN_SERVICE, '', '')
        slot_pool = fleet.nodes[0].allocation.allocator.pool(pool)
        (target,) = [
            one
            for one in fleet.nodes[0].table.find_targets(
                fleet_harness.PLAIN_SERVICE, ''
            )
            if one.endpoint_id == idle
        ]
        assert slot_pool.free_slots() == 2 * target.slots - 1

    fleet_harness.run(test, engines=0)


def test_a_request_with_an_oversized_head_or_body_is_rejected():
    async def test(fleet):
        long_head = [(b'X-Long', b'x' * 20000)]
        response = await fleet.caller().ask('/card/1', headers=long_head)
        assert response.status == 431
        response = await fleet.caller().ask('/card/1', b'x' * 100001)
        assert response.status == 413
        response = await fleet.caller().ask('/card/1', b'x' * 100000)
        assert response.status == 200

    fleet_harness.run(test, engines=0)


def test_metrics_are_served_at_their_own_address():
    async def test(fleet):
        await fleet.caller().ask('/card/1')
        settings = fleet.nodes[0].settings
        scraper = fleet_harness.Caller((settings.ip, settings.metrics_port))
        response = await scraper.ask('/metrics')
        assert response.status == 200
        assert b'redwingvalve_sends_total{outcome="answered"' in response.body
        assert b'redwingvalve_calls_total' in response.body

    fleet_harness.run(test, engines=0)


def test_names_of_unknown_models_leave_nothing_behind():
    """Each of them was kept for good, until the process ran out of memory."""

    async def test(fleet):
        caller = fleet.caller()
        for number in range(20):
            headers = [(b'X-Model', b'unknown-%d' % number)]
            response = await caller.ask('/draft/1', headers=headers)
            assert (response.status, response.ending) == (503, 'whole')
            assert b'retry-after' in response.headers
        assert b'unknown-' not in node_metrics.METRICS.render()
        state = fleet.nodes[0].state
        kept = [*state._prompt_read_times, *state._first_event_estimates]
        assert 'unknown-' not in str(kept)

    fleet_harness.run(test, nodes=1, engines=4, plain=0)
