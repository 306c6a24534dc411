"""Streams of the soak's callers, and the check that they arrive in order."""

import asyncio
import random
import socket

import anyio
import attrs

from redwingvalve.http1 import answer_room, client
from redwingvalve.platform.standins import endpoint_answers
from redwingvalve.platform.tests import fleet_harness

MAX_EVENTS = 60
USUAL_EVENTS = 6
# The longer ones fill what the system buffers for a slow caller.
EVENT_BYTES = (0, 0, 2000, 12_000)
SLOW_PART = 0.2
SLOW_BUFFER_BYTES = 4096
MAX_PAUSES = 5
TIMEOUT_S = 8
READER = answer_room.PauseReason.READER


@attrs.frozen
class Stream:
    """What a caller asks for, and how it reads the answer."""

    events: int
    event_bytes: int = 0
    # One pause after each, while nothing is read.
    pauses_s: tuple = ()

    @property
    def headers(self):
        return [
            (b'X-Model', fleet_harness.SMALL_MODEL.encode()),
            (b'X-Token-Counts', b'100,%d' % self.events),
            (endpoint_answers.EVENTS, b'%d' % self.events),
            (endpoint_answers.EVENT_BYTES, b'%d' % self.event_bytes),
        ]

    @property
    def body(self):
        """Return what one run sends, which is also all that may arrive."""
        padding = b'x' * self.event_bytes
        numbers = range(1, self.events + 1)
        return b''.join(
            endpoint_answers.make_event(number, padding) for number in numbers
        )


def draw(rng: random.Random | None):
    if rng is None:
        return Stream(USUAL_EVENTS)
    pauses = rng.randint(1, MAX_PAUSES) if rng.random() < SLOW_PART else 0
    return Stream(
        rng.randint(1, MAX_EVENTS),
        rng.choice(EVENT_BYTES),
        tuple(rng.uniform(0.02, 0.3) for _ in range(pauses)),
    )


def find_breach(stream, response):
    """Return how an answer breaks the order of its stream, '' if it doesn't.

    It is the start of what one run sends, and all of it if it ended as whole.
    """
    if response.status != 200:
        return ''
    body, expected = response.body, stream.body
    if response.ending == 'whole' and len(body) < len(expected):
        problem = 'is complete too early'
    elif expected.startswith(body):
        return ''
    else:
        problem = 'has wrong pieces'
    return (
        f'{problem}: {len(body)} of {len(expected)} bytes, {response.ending},'
        f' events {response.events} of {stream.events}'
    )


async def ask(caller, stream):
    """Return the response to a stream, also one that doesn't end in time."""
    if stream.pauses_s and not (
        caller.connection and caller.connection.is_open
    ):
        await _connect_with_small_buffer(caller)
    reader = await caller.start_request(
        '/draft/1', b'prompt', headers=stream.headers
    )
    ending = 'not ended in time'
    with anyio.move_on_after(TIMEOUT_S):
        await _read_slowly(caller.connection, reader, stream.pauses_s)
        ending = await reader.done
    if not reader.done.done() or reader.done.cancelled():
        caller.disconnect()
    status = reader.head.status if reader.head else 0
    return fleet_harness.Response(status, {}, reader.body, ending)


async def _read_slowly(connection, reader, pauses_s):
    for pause_s in pauses_s:
        await asyncio.wait([reader.done], timeout=pause_s)
        if reader.done.done():
            return
        connection.pause(READER)
        await anyio.sleep(pause_s)
        connection.resume(READER)


async def _connect_with_small_buffer(caller):
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES)
    sock.setblocking(False)
    try:
        await loop.sock_connect(sock, caller.address)
        _, caller.connection = await loop.create_connection(
            client.Connection, sock=sock
        )
    except BaseException:
        sock.close()
        raise
