"""The records of delivered events, which streams are resumed from."""

import math
import random

import anyio

from redwingvalve.entry import app, delivered_events, upstream
from redwingvalve.entry.tests import fakes

KB = 1024
ROOM_BYTES = 256 * KB


def make_record(room):
    return delivered_events.DeliveredEvents(recorded=True, room=room)


def test_a_stream_without_end_gives_its_record_up_first():
    """One stream of a faulty replica filled the memory with its record."""
    room = delivered_events.RecordRoom(ROOM_BYTES)
    ordinary = [make_record(room) for _ in range(20)]
    endless = make_record(room)
    for one in ordinary:
        one.add([fakes.event('id', 'a')])
    for _ in range(1000):
        endless.add([b'x' * KB])
        assert room.held_bytes <= ROOM_BYTES
    assert not endless.recorded
    assert endless.count == 1000
    assert [one.parse().tokens for one in ordinary] == [('a',)] * 20


def test_drawn_records_keep_to_the_room():
    """Guards against bytes that are counted twice or never given back."""
    rng = random.Random(1)
    room = delivered_events.RecordRoom(ROOM_BYTES)
    records = [make_record(room) for _ in range(30)]
    for _ in range(5000):
        record = rng.choice(records)
        record.add([b'x' * rng.randrange(4 * KB)])
        if rng.random() < 0.05:
            record.close()
        held_bytes = sum(one.recorded_bytes() for one in records)
        assert room.held_bytes == held_bytes <= ROOM_BYTES
    for record in records:
        record.close()
    assert not room.held_bytes


def endless(events):
    """Return an engine that sends many events, then breaks off."""

    async def script(request):
        chunks = [fakes.event(request.request_id, 'x' * KB)] * events
        head = (('x-request-id', request.request_id),)
        return upstream.UpstreamResponse(
            200, head, fakes.chunks_of(chunks, fakes.broken())
        )

    return script


def ask(max_bytes):
    """Return what a caller got, the sends and the room afterwards."""
    room = delivered_events.RecordRoom(max_bytes)
    engines = fakes.Engines(dict.fromkeys(('r1:1', 'r2:1'), endless(300)))

    async def scenario():
        made = fakes.make_dependencies(engines, records=room)
        return await fakes.call(app.make_entry_app(made))

    return anyio.run(scenario), len(engines.sent), room


def test_a_stream_whose_record_was_dropped_is_not_resumed():
    """A stream that began anew would send its caller the same tokens twice."""
    got, sends, room = ask(ROOM_BYTES)
    assert sends == 1
    assert len(got.body.split(b'chatcmpl-')) == 301
    assert b'event: error' in got.body
    assert not got.ended
    assert not room.held_bytes
    _, sends, room = ask(math.inf)
    assert sends == 2
    assert not room.held_bytes
