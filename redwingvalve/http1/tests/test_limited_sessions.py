"""Answers without end on connections of aiohttp."""

import aiohttp
import anyio
import pytest

from redwingvalve.http1 import limited_sessions

PIECE_BYTES = 16_384
FED_BYTES = 32 * 1024 * 1024
# What the operating system holds of a connection on both sides.
IN_TRANSIT_BYTES = 8 * 1024 * 1024
OK = b'HTTP/1.1 200 OK\r\n'
CHUNKED = OK + b'transfer-encoding: chunked\r\n\r\n'
WHOLE = OK + b'content-length: 2\r\n\r\nok'
LINES = b'name: value\r\n' * (PIECE_BYTES // 13)
LETTERS = b'x' * PIECE_BYTES
# Of fewer and shorter fields than aiohttp allows.
LONG_HEAD = OK + b'name: %b\r\n' % (b'x' * 8000) * 100
# What an endpoint sends first, and what it repeats.
ENDLESS = {
    'fields of a head': (LONG_HEAD, b''),
    'lines of a head': (OK, LINES),
    'one line of a head': (OK + b'name: ', LETTERS),
    'a status line': (b'HTTP/1.1 200 ', LETTERS),
    'interim heads': (b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 600),
    'trailers': (CHUNKED + b'0\r\n', LINES),
    'a chunk extension': (CHUNKED + b'1;', LETTERS),
    'extensions of small chunks': (
        CHUNKED,
        b'1;%b\r\nx\r\n' % (b'e' * 400) * 40,
    ),
    'further answers': (WHOLE, WHOLE * 400),
}


class Endpoint:
    """Sends one answer without end to each connection."""

    def __init__(self, first, repeated):
        self.first = first
        self.repeated = repeated
        self.sent_bytes = 0
        self.closed = anyio.Event()

    async def answer(self, stream):
        try:
            await self.send(stream)
        except (anyio.BrokenResourceError, anyio.EndOfStream):
            self.closed.set()

    async def send(self, stream):
        async with stream:
            await stream.receive()
            await stream.send(self.first)
            while self.repeated and self.sent_bytes < FED_BYTES:
                await stream.send(self.repeated)
                self.sent_bytes += len(self.repeated)
            await stream.receive()


async def ask(endpoint, requests):
    """Return what the requests came to."""
    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    found = []
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, endpoint.answer)
        async with aiohttp.ClientSession(
            connector=limited_sessions.make_connector()
        ) as session:
            for _ in range(requests):
                try:
                    async with session.get(f'http://127.0.0.1:{port}/') as got:
                        found.append(await got.read())
                except aiohttp.ClientError as error:
                    found.append(error)
            with anyio.move_on_after(10):
                await endpoint.closed.wait()
        group.cancel_scope.cancel()
    return found


@pytest.mark.parametrize('case', ENDLESS)
def test_what_has_no_end_ends_its_connection(case):
    """aiohttp read on until the deadline, and kept some of it."""
    endpoint = Endpoint(*ENDLESS[case])

    async def main():
        with anyio.fail_after(30):
            return await ask(endpoint, 1)

    (found,) = anyio.run(main)
    assert endpoint.closed.is_set()
    assert endpoint.sent_bytes < IN_TRANSIT_BYTES
    if case != 'further answers':
        assert isinstance(found, aiohttp.ClientError)


def test_long_bodies_in_small_chunks_are_whole():
    """Guards against a limit that counts the framing of ordinary answers."""
    body = b'x' * 200_000
    chunks = b'1\r\nx\r\n' * len(body) + b'0\r\n\r\n'

    class Chunked(Endpoint):
        async def send(self, stream):
            async with stream:
                for _ in range(2):
                    await stream.receive()
                    await stream.send(CHUNKED + chunks)
                self.closed.set()
                await stream.receive()

    async def main():
        with anyio.fail_after(30):
            return await ask(Chunked(b'', b''), 2)

    assert anyio.run(main) == [body, body]
