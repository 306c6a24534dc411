"""Endpoints that send an entry bytes without end, in place of an answer."""

import functools
import time
import tracemalloc

import anyio
import hypothesis
import pytest
from hypothesis import strategies

from redwingvalve.core import invariants
from redwingvalve.entry import app, response_check, upstream
from redwingvalve.entry.tests import fakes
from redwingvalve.http1 import byte_account

PIECE = b'x' * 16_384
FED_BYTES = 64 * 1024 * 1024
BODY_BYTES = 16 * 1024 * 1024
EVENT_BYTES = 1024 * 1024
# What is held beside a body: joined once, and the requests of the test.
SLACK_BYTES = 4 * 1024 * 1024
PLAIN = {'body': {'model': 'quotes', 'messages': [{'role': 'user'}]}}
ONCE = {'headers': {'x-redwingvalve-idempotent': 'false'}}
# The request, the status that the endpoint begins with, what it may send, and
# how many endpoints are asked.
ENDLESS = {
    'a body': (PLAIN, 200, BODY_BYTES, 2),
    'a body of a request that runs once': (
        {**PLAIN, **ONCE},
        200,
        BODY_BYTES,
        1,
    ),
    'a refusal': (PLAIN, 503, BODY_BYTES, 2),
    'an event': ({}, 200, EVENT_BYTES, 2),
    'an answer of a service': ({'path': '/parts/1'}, 200, BODY_BYTES, 1),
}


class Faulty:
    """An endpoint that sends pieces until its answer is released."""

    def __init__(self, status=200, wait_s=0):
        self.status = status
        self.wait_s = wait_s
        self.sent_bytes = 0
        self.released = 0

    async def __call__(self, request):
        headers = (
            ('x-request-id', request.request_id),
            ('transfer-encoding', 'chunked'),
        )
        return upstream.UpstreamResponse(self.status, headers, self.chunks())

    async def chunks(self):
        sent_bytes = 0
        try:
            while sent_bytes < FED_BYTES:
                await anyio.sleep(self.wait_s)
                sent_bytes += len(PIECE)
                self.sent_bytes += len(PIECE)
                # A new object each time, as if read from a connection.
                yield bytes(bytearray(PIECE))
        finally:
            self.released += 1


def first_then(first, second):
    """Return engines of which the one that is asked first is faulty."""
    scripts = [first]

    async def script(request):
        return await (scripts.pop() if scripts else second)(request)

    return fakes.Engines(
        dict.fromkeys(('r1:1', 'r2:1', 's1:1', 's2:1'), script)
    )


def measured(action):
    """Return the result and the largest growth of memory meanwhile."""
    tracemalloc.start()
    try:
        found = action()
        return found, tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize('case', ENDLESS)
def test_an_answer_without_end_is_a_broken_one(case):
    """An entry kept all that a faulty replica sent, until its memory ended."""
    request, status, max_bytes, sends = ENDLESS[case]
    faulty = Faulty(status)
    engines = first_then(faulty, fakes.answering(418))
    (got,), peak_bytes = measured(lambda: fakes.run(engines, request))
    assert faulty.sent_bytes <= max_bytes + len(PIECE)
    assert faulty.released == 1
    assert peak_bytes < max_bytes + SLACK_BYTES
    assert len(engines.sent) == sends
    if sends == 1:
        assert got.status == 502
        assert got.headers['x-redwingvalve-outcome'] == 'unknown'


def test_many_answers_without_end_share_the_room_of_the_process():
    """Each answer had its limit, and many together filled the memory."""
    account = byte_account.make_account(64)
    faulty = Faulty()

    async def scenario():
        engines = fakes.Engines({'r1:1': faulty, 'r2:1': faulty})
        made = fakes.make_dependencies(engines, account=account)
        application = app.make_entry_app(made)
        call = functools.partial(fakes.call, application, **PLAIN)
        with anyio.move_on_after(2):
            async with anyio.create_task_group() as group:
                for _ in range(8):
                    group.start_soon(call)
                await anyio.sleep_forever()

    _, peak_bytes = measured(lambda: anyio.run(scenario))
    assert peak_bytes < BODY_BYTES + SLACK_BYTES
    assert account.held_bytes(byte_account.Part.LONG_ANSWERS) == 0


def validator():
    return response_check.StreamValidator(
        response_check.ResponseIdentity('id', 'mine'),
        invariants.SafeguardSwitches(),
    )


@pytest.mark.parametrize('piece', [b'x', b'\r', b'x\n', b'data:'])
def test_work_is_linear_in_the_bytes_of_an_event_without_end(piece):
    """All that had arrived of an event was copied anew for each chunk."""
    fed = validator()
    started_s = time.process_time()
    for _ in range(200_000):
        assert not fed.feed(piece)
    assert time.process_time() - started_s < 1


@hypothesis.given(
    strategies.lists(
        strategies.sampled_from(
            [b'\r', b'\n', b'x', b'\n\n', b'\r\n\r\n', fakes.event('id', 'a')]
        )
    ),
    strategies.integers(1, 9),
)
def test_streams_are_split_the_same_way_however_they_are_cut(pieces, size):
    """Guards against events that are lost or joined at the end of a chunk."""
    text = b''.join(pieces)
    fed = validator()
    found = []
    for start in range(0, len(text), size):
        found.extend(fed.feed(text[start : start + size]))
    assert found == validator().feed(text)
