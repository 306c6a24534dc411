"""Kept connections whose limits end, over loopback with uvloop."""

import asyncio
import contextlib
import socket
import time

import anyio
import attrs
import pytest

from redwingvalve.http1 import request_parser, server

REQUEST = b'GET /card HTTP/1.1\r\nhost: h\r\n\r\n'
BODY_HEAD = b'POST /card HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\n'
LIMITS = request_parser.ServerLimits(1000, 1000, 0.3, 0.3)


class Application(server.Application):
    """Answers each request at once; the limits can be changed."""

    def __init__(self):
        self.current = LIMITS

    def limits(self):
        return self.current

    def is_closing(self):
        return False

    def serve(self, request, responder):
        responder.send_response(200, [], b'')


@contextlib.asynccontextmanager
async def connected():
    """Yield an application and a blocking socket connected to it."""
    application = Application()
    loop = asyncio.get_running_loop()
    listening = await loop.create_server(
        lambda: server.ServerConnection(application), '127.0.0.1', 0
    )
    caller = socket.create_connection(listening.sockets[0].getsockname())
    caller.setblocking(False)
    yield application, caller
    caller.close()
    listening.close()


async def read_status(caller):
    """Return the status of the next answer, b'' if there is none."""
    loop = asyncio.get_running_loop()
    with anyio.fail_after(2):
        try:
            answer = await loop.sock_recv(caller, 4096)
        except ConnectionResetError:
            return b''
    return answer.partition(b' ')[2][:3]


async def pause(send, duration_s):
    """Call send, and stand still in the loop's I/O phase.

    Timers are the next to run after it.
    """
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


def run(main):
    anyio.run(main, backend_options={'use_uvloop': True})


async def keep(caller):
    """Let the connection be answered once, and become idle."""
    caller.send(REQUEST)
    assert await read_status(caller) == b'200'


def test_a_raised_idle_limit_holds_for_connections_that_are_idle():
    """They were closed at the limit of the moment they became idle."""

    async def main():
        async with connected() as (application, caller):
            await keep(caller)
            application.current = attrs.evolve(LIMITS, idle_timeout_s=5)
            await anyio.sleep(0.6)
            caller.send(REQUEST)
            assert await read_status(caller) == b'200'

    run(main)


@pytest.mark.parametrize('parts', [(REQUEST,), (BODY_HEAD, b'body')])
@pytest.mark.parametrize('is_new', [True, False])
def test_a_request_that_came_during_a_pause_is_answered(parts, is_new):
    """The timer ran before the bytes that had arrived were read."""

    async def main():
        async with connected() as (_, caller):
            if not is_new:
                await keep(caller)
            await anyio.sleep(0.15)
            for part in parts[:-1]:
                caller.send(part)
            await anyio.sleep(0.02)
            await pause(lambda: caller.send(parts[-1]), 0.5)
            assert await read_status(caller) == b'200'

    run(main)


def test_a_body_that_arrives_steadily_is_read_to_its_end():
    """Guards against 408 for a body that takes longer than the idle limit."""

    async def main():
        async with connected() as (_, caller):
            caller.send(BODY_HEAD)
            for _ in range(4):
                await anyio.sleep(0.15)
                caller.send(b'x')
            assert await read_status(caller) == b'200'

    run(main)


@pytest.mark.parametrize('sent', [b'', REQUEST])
def test_a_connection_that_stays_idle_is_closed(sent):
    """Guards against idle connections that are kept for good."""

    async def main():
        async with connected() as (_, caller):
            if sent:
                await keep(caller)
            assert await read_status(caller) == b''

    run(main)


@pytest.mark.parametrize('sent', [REQUEST[:20], BODY_HEAD + b'x'])
def test_a_request_that_stops_arriving_is_refused(sent):
    """Guards against incomplete requests that are kept for good."""

    async def main():
        async with connected() as (_, caller):
            caller.send(sent)
            assert await read_status(caller) == b'408'

    run(main)


class LargeApplication(Application):
    """Answers with more than the kernel keeps for a caller."""

    def serve(self, request, responder):
        responder.send_response(200, [], b'x' * 20_000_000)


@pytest.mark.parametrize('behind', [2 * REQUEST, b'malformed\r\n\r\n'])
def test_a_caller_that_reads_nothing_is_disconnected(behind):
    """Its pipelined requests, and the unread answer, were kept for good."""

    async def main():
        application = LargeApplication()
        loop = asyncio.get_running_loop()
        made = []

        def make():
            made.append(server.ServerConnection(application))
            return made[-1]

        listening = await loop.create_server(make, '127.0.0.1', 0)
        address = listening.sockets[0].getsockname()
        with socket.create_connection(address) as caller:
            caller.sendall(REQUEST + behind)
            with anyio.fail_after(3):
                while not (made and made[0].is_closed):
                    await anyio.sleep(0.02)
        listening.close()

    run(main)
