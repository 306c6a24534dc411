"""Requests at an entry that was told to stop."""

import anyio
import attrs
import pytest

from redwingvalve.core import outcomes
from redwingvalve.entry import caller_request, planned_stop, upstream
from redwingvalve.entry.tests import callers, fakes

NOW_S = 100.0
HEAD = caller_request.RequestHead(
    'POST', '/', '', {}, 'r', 'c', deadline_s=20.0, arrived_s=NOW_S
)
KIND = planned_stop.AnswerKind('model quotes', 100)


@pytest.mark.parametrize(
    ('left_s', 'deadline_s', 'answers', 'is_refused'),
    [
        # The deadline decides if no answer is known.
        (19, 20, (), True),
        (20, 20, (), False),
        # The slowest recent answer of the kind, and a margin.
        (3, 20, ((100, 1, 2), (80, 2, 5)), True),
        (4, 20, ((100, 1, 2), (80, 2, 5)), False),
        # Answers of other sizes, or of long ago, tell nothing.
        (4, 20, ((10, 0.1, 1),), True),
        (4, 20, ((100, 1, 40),), True),
        (4, 3, ((100, 30, 1),), False),
    ],
)
def test_requests_that_would_outlast_the_entry_are_refused(
    left_s, deadline_s, answers, is_refused
):
    """Guards against requests that are passed on and then cut."""
    stop = planned_stop.PlannedStop()
    for size, took_s, ago_s in sorted(answers, key=lambda one: -one[2]):
        kind = attrs.evolve(KIND, size=size)
        stop.observe(kind, took_s, NOW_S - ago_s)
    head = attrs.evolve(HEAD, deadline_s=deadline_s)
    assert stop.refuse_late(KIND, head, NOW_S) is None
    stop.ends_s = NOW_S + left_s
    refusal = stop.refuse_late(KIND, head, NOW_S)
    assert bool(refusal) == is_refused
    if refusal:
        assert refusal.outcome == outcomes.Outcome.NOT_RUN


def test_kept_connections_are_served_once_more_while_others_drain():
    """Guards against connections that a stop closes under a request."""
    go_on = anyio.Event()

    async def answer(scope, receive, send):
        await send(callers.START)
        if scope['path'] == '/long':
            await go_on.wait()
        await send(callers.part(b'hello', more=False))

    async def scenario():
        async with callers.served(answer) as (port, stop, server_stopped):
            idle = await anyio.connect_tcp('127.0.0.1', port)
            busy = await anyio.connect_tcp('127.0.0.1', port)
            await idle.send(callers.GET)
            await callers.read_until(idle, callers.LAST_CHUNK)
            await busy.send(callers.GET.replace(b'/ ', b'/long ', 1))
            await callers.read_until(busy, b'200')
            stop.set()
            await anyio.sleep(0.3)
            await idle.send(callers.GET)
            served = await callers.read_all(idle)
            go_on.set()
            await callers.read_until(busy, callers.LAST_CHUNK)
            await busy.send(callers.GET)
            last = await callers.read_all(busy)
            await server_stopped.wait()
            return served, last

    for response in anyio.run(scenario):
        assert response.endswith(callers.LAST_CHUNK)
        assert b'connection: close' in response


def test_requests_left_at_the_end_of_a_stop_get_a_true_answer():
    """Guards against streams that a stop closes without a word."""

    async def one_token(request):
        async def chunks():
            yield fakes.event(request.request_id, ' t1')
            await anyio.sleep_forever()

        return upstream.UpstreamResponse(
            200, (('x-request-id', request.request_id),), chunks()
        )

    entry = callers.make_entry(fakes.Engines(), one_token)

    async def scenario():
        async with callers.connected(entry) as (stream, _, _):
            await stream.send(callers.ask())
            await callers.read_until(stream, b't1')
            await entry.running.give_up_all()
            return await callers.read_all(stream)

    rest = anyio.run(scenario)
    assert b'event: error' in rest
    assert b'"outcome": "unknown"' in rest
    assert not rest.endswith(callers.LAST_CHUNK)
