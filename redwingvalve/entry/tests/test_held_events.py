"""Unfinished events of many streams at once."""

import anyio
import pytest

from redwingvalve.entry import app, upstream
from redwingvalve.entry.tests import fakes
from redwingvalve.http1 import byte_account

PIECE = b'x' * 65_536
# Just below the longest event that is allowed.
PIECES = 15
MEMORY_MB = 64
STREAMS = 40
LONG_ANSWERS = byte_account.Part.LONG_ANSWERS


class Holding:
    """An endpoint that begins an event and waits before it goes on."""

    def __init__(self, rest=b''):
        self.rest = rest
        self.go_on = anyio.Event()
        self.sent_bytes = 0

    async def __call__(self, request):
        head = (('x-request-id', request.request_id),)
        return upstream.UpstreamResponse(200, head, self.chunks(request))

    async def chunks(self, request):
        yield fakes.event(request.request_id, 'a')
        yield b': '
        for _ in range(PIECES):
            await anyio.lowlevel.checkpoint()
            self.sent_bytes += len(PIECE)
            yield PIECE
        await self.go_on.wait()
        yield self.rest
        if not self.rest:
            await anyio.sleep_forever()
        yield fakes.event(request.request_id, 'b')
        yield b'data: [DONE]\n\n'


async def play(endpoint, streams, go_on_s):
    """Return what callers got, the account, and what it held before."""
    account = byte_account.make_account(MEMORY_MB)
    engines = fakes.Engines(dict.fromkeys(('r1:1', 'r2:1'), endpoint))
    made = fakes.make_dependencies(engines, account=account)
    application = app.make_entry_app(made)
    got = [fakes.Received() for _ in range(streams)]

    async def call(received):
        await fakes.call(application, received=received)

    with anyio.move_on_after(go_on_s + 2):
        async with anyio.create_task_group() as group:
            for received in got:
                group.start_soon(call, received)
            await anyio.sleep(go_on_s)
            held_bytes = account.held_bytes(LONG_ANSWERS)
            endpoint.go_on.set()
    return got, account, held_bytes


def test_unfinished_events_share_the_room_of_the_process():
    """Each event was within its limit, and many filled the memory."""

    async def scenario():
        endpoint = Holding()
        got, account, held_bytes = await play(endpoint, STREAMS, 0.5)
        room_bytes = LONG_ANSWERS.value * MEMORY_MB * 2**20 / 4
        assert room_bytes / 2 < held_bytes <= room_bytes
        # Beside the room each stream has the piece that it waits with.
        begun = [one for one in got if one.tokens == ['a']]
        assert endpoint.sent_bytes <= room_bytes + len(begun) * 2 * len(PIECE)
        assert account.held_bytes(LONG_ANSWERS) == 0

    anyio.run(scenario)


@pytest.mark.parametrize('streams', [1, 4])
def test_long_events_that_end_are_waited_for(streams):
    """Guards against streams that break off as their events are long."""

    async def scenario():
        got, account, _ = await play(Holding(b'\n\n'), streams, 0.3)
        assert [one.tokens for one in got] == [['a', 'b']] * streams
        assert all(one.ended for one in got)
        assert account.held_bytes(LONG_ANSWERS) == 0

    anyio.run(scenario)
