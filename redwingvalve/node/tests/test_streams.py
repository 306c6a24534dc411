"""Streams that callers get from a node, over real connections."""

import anyio

from redwingvalve.platform.tests import fleet_harness


def test_a_stream_arrives_complete_and_in_order():
    async def test(fleet):
        response = await fleet.caller().stream()
        assert response.status == 200 and response.ending == 'whole'
        assert response.events == [1, 2, 3, 4, 5, 6]
        assert (
            response.headers[b'x-server-seal']
            == (fleet.targets()[0].endpoint_id.encode())
            or len(fleet.targets()) > 1
        )

    fleet_harness.run(test)


def test_a_stream_that_breaks_inside_an_event_is_resumed_elsewhere():
    """The caller sees each event once, in order, and a complete stream.

    The head resets its connection in the middle of the third event; another
    replica resumes the stream after the second.
    """

    async def test(fleet):
        for target in fleet.targets():
            head = fleet.endpoints[target.endpoint_id]
            head.faults.aborts_at_event = 3
        responses = []

        async def ask():
            responses.append(await fleet.caller().stream())

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
        assert responses[0].events == [1, 2, 3, 4, 5, 6]
        assert responses[0].ending == 'whole'
        resumed = [run.last_event for head in heads for run in head.runs]
        assert sorted(resumed, key=str) == [2, None]

    fleet_harness.run(test)


def test_a_stream_of_a_stalled_head_is_resumed_elsewhere_soon():
    """The caller sees a single pause of less than half a second.

    A member of the replica is lost: its head stalls and sends nothing for
    seconds, with the connection open.
    """

    async def test(fleet):
        heads = [
            fleet.endpoints[target.endpoint_id] for target in fleet.targets()
        ]
        caller = fleet.caller()
        reader = await caller.start_request(
            '/draft/1',
            b'prompt',
            headers=[
                (b'X-Model', fleet_harness.SMALL_MODEL.encode()),
                (b'X-Token-Counts', b'100,20'),
            ],
        )
        await fleet.wait_until(lambda: reader.body.count(b'id: ') >= 2)
        (first,) = [head for head in heads if head.runs]
        (second,) = [head for head in heads if not head.runs]
        first.faults.is_stalled = True
        await fleet.wait_until(lambda: bool(second.runs), 0.5)
        await fleet.wait_until(reader.done.done, 1)
        assert reader.done.result() == 'whole'
        assert reader.body.count(b'id: ') == 6
        await fleet.wait_until(lambda: bool(first.cancelled_attempts), 0.5)

    fleet_harness.run(test)


def test_a_caller_that_disconnects_frees_its_replica():
    async def test(fleet):
        heads = [
            fleet.endpoints[target.endpoint_id] for target in fleet.targets()
        ]
        for head in heads:
            head.events_per_response = 200
        caller = fleet.caller()
        reader = await caller.start_stream()
        await fleet.wait_until(lambda: b'id: ' in reader.body)
        caller.disconnect()
        await fleet.wait_until(
            lambda: any(head.cancelled_attempts for head in heads), 0.5
        )
        assert not fleet.nodes[0].state.loads.by_endpoint

    fleet_harness.run(test)


def test_a_stalled_stream_is_kept_when_no_retry_is_left():
    """The caller gets its complete stream late, instead of a failure.

    The head stalls for half a second, and this node has used up its share of
    the retry budget: cancelling the upstream request would end the stream.
    """

    async def test(fleet):
        retry_budget = fleet.nodes[0].state.retry_budget(
            fleet_harness.ENGINE_SERVICE
        )
        retry_budget.try_spend = lambda now_s: False
        heads = [
            fleet.endpoints[target.endpoint_id] for target in fleet.targets()
        ]
        caller = fleet.caller()
        reader = await caller.start_stream()
        await fleet.wait_until(lambda: reader.body.count(b'id: ') >= 2)
        for head in heads:
            head.faults.is_stalled = True
        await anyio.sleep(0.6)
        for head in heads:
            head.faults.is_stalled = False
        await fleet.wait_until(reader.done.done, 2)
        assert reader.done.result() == 'whole'
        assert reader.body.count(b'id: ') == 6
        assert sum(len(head.runs) for head in heads) == 1

    fleet_harness.run(test)


def test_a_stream_that_reaches_its_deadline_is_logged_with_its_endpoint(caplog):
    """The log line of an aborted stream names the endpoint it waited for.

    The head stalls after two events, and no retry is left. At the caller's
    deadline the stream is aborted; its status has already been sent.
    """

    async def test(fleet):
        retry_budget = fleet.nodes[0].state.retry_budget(
            fleet_harness.ENGINE_SERVICE
        )
        retry_budget.try_spend = lambda now_s: False
        caller = fleet.caller()
        reader = await caller.start_stream()
        await fleet.wait_until(lambda: reader.body.count(b'id: ') >= 2)
        for target in fleet.targets():
            head = fleet.endpoints[target.endpoint_id]
            head.faults.is_stalled = True
        await fleet.wait_until(reader.done.done, 5)
        assert reader.done.result() != 'whole'

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
