"""What callers get from a node, over real connections."""

import logging

import anyio
import pytest

from redwingvalve.allocation import messages
from redwingvalve.platform.tests import fleet_harness


def test_a_stream_arrives_whole_and_in_order():
    async def test(fleet):
        got = await fleet.caller().stream()
        assert got.status == 200 and got.ending == 'whole'
        assert got.events == [1, 2, 3, 4, 5, 6]
        assert (
            got.headers[b'x-server-seal']
            == (fleet.targets()[0].endpoint_id.encode())
            or len(fleet.targets()) > 1
        )

    fleet_harness.run(test)


def test_a_body_is_passed_unchanged_and_the_key_is_not():
    async def test(fleet):
        got = await fleet.caller().ask('/quote/seat?x=%20y', b'\0\xffbytes')
        assert got.status == 200
        (ran,) = [
            run for name in ('p0', 'p1') for run in fleet.endpoints[name].runs
        ]
        sent = dict(ran.headers)
        assert ran.target == b'/quote/seat?x=%20y'
        assert sent[b'x-tenant'] == b'workshop'
        assert b'api-key' not in sent
        assert 0 < int(sent[b'x-deadline-ms']) <= 3000
        assert got.body == b'body of %b' % ran.attempt_id

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
def test_routes_and_keys_decide_who_is_served(path, key, status):
    async def test(fleet):
        got = await fleet.caller().ask(path, key=key)
        assert got.status == status

    fleet_harness.run(test, engines=0)


def test_a_caller_cannot_choose_its_account():
    async def test(fleet):
        await fleet.caller().ask('/card/1', headers=[(b'X-Tenant', b'another')])
        (ran,) = [
            run for name in ('p0', 'p1') for run in fleet.endpoints[name].runs
        ]
        accounts = [
            content for name, content in ran.headers if name == b'x-tenant'
        ]
        assert accounts == [b'workshop']

    fleet_harness.run(test, engines=0)


def test_without_a_configuration_requests_are_refused_as_not_run():
    async def test(fleet):
        await fleet.wait_until(lambda: fleet.nodes[0].is_listening)
        await anyio.sleep(0.1)
        got = await fleet.caller().ask('/card/1')
        assert got.status == 503 and float(got.headers[b'retry-after']) > 0

    fleet_harness.run(test, engines=0, version=None)


def test_a_key_that_is_taken_away_is_refused_within_a_second():
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


def test_an_unusable_configuration_changes_nothing():
    async def test(fleet):
        fleet.store.put('config', 'main', {'version': 2, 'routes': 'none'})
        await anyio.sleep(0.2)
        assert fleet.nodes[0].state.configuration.version == 1
        assert (await fleet.caller().ask('/card/1')).status == 200

    fleet_harness.run(test, engines=0)


def test_a_refused_request_that_may_not_repeat_is_not_sent_again():
    """The caller is told that nothing ran, and nothing ever does.

    Both endpoints refuse; the route allows one send.
    """

    async def test(fleet):
        for name in ('p0', 'p1'):
            fleet.endpoints[name].faults.rejects_requests = True
        got = await fleet.caller().ask('/quote/1')
        assert got.status == 503 and b'retry-after' in got.headers
        assert not fleet.endpoints['p0'].runs + fleet.endpoints['p1'].runs

    fleet_harness.run(test, engines=0)


def test_a_request_of_unknown_fate_is_not_called_not_run():
    """The endpoint dies while it runs a request that must not repeat.

    503 would promise that it never ran, and the caller would send it again.
    """

    async def test(fleet):
        caller = fleet.caller()
        taker = await caller.start_request('/quote/1')
        ran = []

        def has_run():
            for name in ('p0', 'p1'):
                if fleet.endpoints[name].runs:
                    ran.append(name)
            return bool(ran)

        await fleet.wait_until(has_run)
        fleet.endpoints[ran[0]].crash()
        await fleet.wait_until(taker.done.done)
        assert taker.head.status == 502
        total = sum(len(fleet.endpoints[name].runs) for name in ('p0', 'p1'))
        assert total == 1

    fleet_harness.run(test, engines=0)


def test_a_failed_request_that_may_repeat_is_sent_elsewhere():
    async def test(fleet):
        fleet.endpoints['p0'].faults.returns_server_error = True
        caller = fleet.caller()
        for _ in range(6):
            got = await caller.ask('/card/1')
            assert got.status == 200

    fleet_harness.run(test, engines=0)


def test_an_answer_that_comes_twice_reaches_nobody_else():
    """Each caller gets the whole of its own answer.

    The endpoint sends each answer twice; the second one lies on a connection
    that would be used for the next request.
    """

    async def test(fleet):
        for name in ('p0', 'p1'):
            fleet.endpoints[name].faults.duplicates_response = True
        caller = fleet.caller()
        for _ in range(8):
            got = await caller.ask('/card/1')
            ran = fleet.endpoints['p0'].runs + fleet.endpoints['p1'].runs
            assert got.status == 200
            assert got.body in {b'body of %b' % run.attempt_id for run in ran}
            expected = caller.attempt_id(caller.number)
            assert got.body == b'body of ' + expected

    fleet_harness.run(test, engines=0)


def test_a_stream_that_breaks_inside_an_event_goes_on_elsewhere():
    """The caller sees each event once, in order, and a whole stream.

    The head resets its connection in the middle of the third event; another
    replica goes on after the second.
    """

    async def test(fleet):
        for target in fleet.targets():
            head = fleet.endpoints[target.endpoint_id]
            head.faults.aborts_at_event = 3
        got_task = []

        async def ask():
            got_task.append(await fleet.caller().stream())

        async with anyio.create_task_group() as group:
            group.start_soon(ask)
            heads = [
                fleet.endpoints[target.endpoint_id]
                for target in fleet.targets()
            ]
            await fleet.wait_until(lambda: any(head.runs for head in heads))
            for head in heads:
                if not head.runs:
                    head.faults.aborts_at_event = None
        assert got_task[0].events == [1, 2, 3, 4, 5, 6]
        assert got_task[0].ending == 'whole'
        resumed = [run.last_event for head in heads for run in head.runs]
        assert sorted(resumed, key=str) == [2, None]

    fleet_harness.run(test)


def test_an_endpoint_that_broke_off_is_not_granted_to_those_that_wait():
    """A request that waits isn't lost at the endpoint that has just failed.

    It gets the place neither at once nor in the moment in which the next
    connection shows what has become of the endpoint.
    """

    async def test(fleet):
        taker = await fleet.caller().start_request('/quote/1')
        names = ('p0', 'p1')
        await fleet.wait_until(
            lambda: any(fleet.endpoints[name].runs for name in names)
        )
        ran, idle = sorted(
            names, key=lambda name: not fleet.endpoints[name].runs
        )
        fleet.endpoints[ran].crash()
        await fleet.wait_until(taker.done.done)
        pool = messages.Pool(fleet_harness.PLAIN_SERVICE, '', '')
        places = fleet.nodes[0].allocation.allocator.pool(pool)
        (target,) = [
            one
            for one in fleet.nodes[0].table.find_targets(
                fleet_harness.PLAIN_SERVICE, ''
            )
            if one.endpoint_id == idle
        ]
        assert places.free_slots() == 2 * target.slots - 1

    fleet_harness.run(test, engines=0)


def test_a_stream_of_a_silent_head_goes_on_elsewhere_soon():
    """The caller sees one pause of less than half a second.

    A member of the replica is lost: its head stands still, with the
    connection open, and says nothing for seconds.
    """

    async def test(fleet):
        heads = [
            fleet.endpoints[target.endpoint_id] for target in fleet.targets()
        ]
        caller = fleet.caller()
        taker = await caller.start_request(
            '/draft/1',
            b'prompt',
            headers=[
                (b'X-Model', fleet_harness.SMALL_MODEL.encode()),
                (b'X-Token-Counts', b'100,20'),
            ],
        )
        await fleet.wait_until(lambda: taker.body.count(b'id: ') >= 2)
        (first,) = [head for head in heads if head.runs]
        (second,) = [head for head in heads if not head.runs]
        first.faults.is_stalled = True
        await fleet.wait_until(lambda: bool(second.runs), 0.5)
        await fleet.wait_until(taker.done.done, 1)
        assert taker.done.result() == 'whole'
        assert taker.body.count(b'id: ') == 6
        await fleet.wait_until(lambda: bool(first.cancelled_attempts), 0.5)

    fleet_harness.run(test)


def test_a_caller_that_leaves_frees_its_replica():
    async def test(fleet):
        heads = [
            fleet.endpoints[target.endpoint_id] for target in fleet.targets()
        ]
        for head in heads:
            head.events_per_response = 200
        caller = fleet.caller()
        taker = await caller.start_stream()
        await fleet.wait_until(lambda: b'id: ' in taker.body)
        caller.disconnect()
        await fleet.wait_until(
            lambda: any(head.cancelled_attempts for head in heads), 0.5
        )
        assert not fleet.nodes[0].state.loads.by_endpoint

    fleet_harness.run(test)


def test_a_request_with_a_long_head_or_body_is_refused():
    async def test(fleet):
        long_head = [(b'X-Long', b'x' * 20000)]
        got = await fleet.caller().ask('/card/1', headers=long_head)
        assert got.status == 431
        got = await fleet.caller().ask('/card/1', b'x' * 100001)
        assert got.status == 413
        got = await fleet.caller().ask('/card/1', b'x' * 100000)
        assert got.status == 200

    fleet_harness.run(test, engines=0)


def test_metrics_are_read_at_their_own_address():
    async def test(fleet):
        await fleet.caller().ask('/card/1')
        settings = fleet.nodes[0].settings
        reader = fleet_harness.Caller((settings.ip, settings.metrics_port))
        got = await reader.ask('/metrics')
        assert got.status == 200
        assert b'redwingvalve_sends_total{outcome="answered"' in got.body
        assert b'redwingvalve_calls_total' in got.body

    fleet_harness.run(test, engines=0)


def test_a_slow_stream_is_waited_for_when_no_retry_is_left():
    """The caller gets its whole stream, late, and no failure.

    The head stands still for half a second, and this node has used its share
    of the retries: ending the send would end the stream for good.
    """

    async def test(fleet):
        window = fleet.nodes[0].state.retry_budget(fleet_harness.ENGINE_SERVICE)
        window.try_spend = lambda now_s, nodes: False
        heads = [
            fleet.endpoints[target.endpoint_id] for target in fleet.targets()
        ]
        caller = fleet.caller()
        taker = await caller.start_stream()
        await fleet.wait_until(lambda: taker.body.count(b'id: ') >= 2)
        for head in heads:
            head.faults.is_stalled = True
        await anyio.sleep(0.6)
        for head in heads:
            head.faults.is_stalled = False
        await fleet.wait_until(taker.done.done, 2)
        assert taker.done.result() == 'whole'
        assert taker.body.count(b'id: ') == 6
        assert sum(len(head.runs) for head in heads) == 1

    fleet_harness.run(test)


def test_a_stream_that_reaches_its_time_is_found_in_the_logs(caplog):
    """On-call engineers find the endpoint that a cut stream waited for.

    The head stands still after two events, and no retry is left. At the
    caller's deadline the stream breaks off; it has had its status already.
    """

    async def test(fleet):
        logging.getLogger('redwingvalve').propagate = True
        window = fleet.nodes[0].state.retry_budget(fleet_harness.ENGINE_SERVICE)
        window.try_spend = lambda now_s, nodes: False
        caller = fleet.caller()
        taker = await caller.start_stream()
        await fleet.wait_until(lambda: taker.body.count(b'id: ') >= 2)
        for target in fleet.targets():
            head = fleet.endpoints[target.endpoint_id]
            head.faults.is_stalled = True
        await fleet.wait_until(taker.done.done, 5)
        assert taker.done.result() != 'whole'

    with caplog.at_level('INFO', logger='redwingvalve'):
        fleet_harness.run(test)
    found = [
        line
        for line in caplog.records
        if line.getMessage() == 'ingress: given up: timeout'
    ]
    assert [line.sends for line in found] == [1]
    assert found[0].last_event >= 2
    assert found[0].endpoint
