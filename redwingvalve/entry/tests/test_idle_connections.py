"""Requests that reach an entry while its process stands still."""

import asyncio
import socket
import time

import anyio
import pytest

from redwingvalve.entry import uvicorn_protocol
from redwingvalve.entry.tests import callers
from redwingvalve.http1 import connection_limit

LIMIT_S = 0.3


class ShortProtocol(uvicorn_protocol.CallerProtocol):
    def __init__(self, *args, **named):
        super().__init__(*args, **named)
        self.timeout_keep_alive = LIMIT_S


async def answer(scope, receive, send):
    await send(callers.START)
    await send(callers.part(b'', more=False))


async def pause(send, duration_s):
    """Call send, and stand still in the loop's I/O phase."""
    loop = asyncio.get_running_loop()
    reader, writer = socket.socketpair()

    def stand_still():
        loop.remove_reader(reader)
        send()
        time.sleep(duration_s)

    loop.add_reader(reader, stand_still)
    writer.send(b'x')
    await anyio.sleep(0.1)
    reader.close()
    writer.close()


@pytest.mark.parametrize('is_new', [True, False])
def test_a_request_that_came_during_a_pause_is_answered(is_new):
    """Its connection was closed unread, as its idle limit had ended."""

    async def main():
        async with callers.served(
            answer, head_timeout_s=LIMIT_S, protocol=ShortProtocol
        ) as (port, stop, _):
            loop = asyncio.get_running_loop()
            caller = socket.create_connection(('127.0.0.1', port))
            caller.setblocking(False)
            if not is_new:
                caller.send(callers.GET)
                assert await loop.sock_recv(caller, 4096)
            await anyio.sleep(LIMIT_S / 2)
            await pause(lambda: caller.send(callers.GET), 2 * LIMIT_S)
            assert b' 200 ' in await loop.sock_recv(caller, 4096)
            caller.close()
            stop.set()

    anyio.run(main, backend_options={'use_uvloop': True})


def test_a_connection_over_the_limit_takes_the_place_of_an_idle_one():
    """Idle connections held all descriptors of an entry."""

    async def main():
        released = anyio.Event()

        async def answer_later(scope, receive, send):
            await released.wait()
            await answer(scope, receive, send)

        async with (
            callers.served(answer_later, max_connections=2) as (port, *_),
            await anyio.connect_tcp('127.0.0.1', port) as busy,
            await anyio.connect_tcp('127.0.0.1', port) as idle,
        ):
            await busy.send(callers.GET)
            await anyio.sleep(connection_limit.MIN_FREE_S + 0.1)
            async with await anyio.connect_tcp('127.0.0.1', port) as new:
                assert await callers.read_all(idle) == b''
                await new.send(callers.GET)
                released.set()
                assert b' 200 ' in await busy.receive()
                assert b' 200 ' in await new.receive()

    anyio.run(main)
