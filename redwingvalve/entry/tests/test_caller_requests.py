"""How the caller-facing server handles invalid, slow and large requests."""

import json

import anyio
import pytest

from redwingvalve.entry.tests import callers, fakes


@pytest.mark.parametrize(
    'request_bytes',
    [
        callers.ask(callers.REQUEST_BODY + bytes(2000)),
        callers.ask(
            b'%x\r\n%b\r\n0\r\n\r\n' % (2000, bytes(2000)),
            'transfer-encoding: chunked\r\n',
        ),
    ],
    ids=['announced', 'chunked'],
)
def test_too_large_body_is_refused(request_bytes):
    entry = callers.make_entry(fakes.Engines(), None, max_body_bytes=1000)

    async def scenario():
        async with callers.connected(entry) as (stream, _, _):
            await stream.send(request_bytes)
            return await callers.read_until(stream, b'}}')

    answer = anyio.run(scenario)
    assert answer.startswith(b'HTTP/1.1 413 ')
    assert b'x-redwingvalve-outcome: not-run' in answer


@pytest.mark.parametrize(
    'request_bytes',
    [
        b'hello there\r\n\r\n',
        b'\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03',
        b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n',
        b'CONNECT x:1 HTTP/1.1\r\nhost: x\r\n\r\n',
        b'GET /\xff HTTP/1.1\r\nhost: x\r\n\r\n',
        b'GET / HTTP/1.1\r\nhost x\r\n\r\n',
        b'GET / HTTP/1.1\r\nhost: x\r\ncontent-length: -1\r\n\r\n',
        callers.POST
        + b'content-length: 2\r\n'
        + callers.CHUNKED
        + b'0\r\n\r\n',
        callers.POST + callers.CHUNKED + b'zz\r\n',
    ],
)
def test_invalid_http_gets_an_error(request_bytes):
    """Invalid requests get a JSON error with 400; the next one is served."""

    async def scenario():
        async with callers.served(callers.hello) as (port, _, _):
            refused = await callers.exchange(port, request_bytes)
            after = await callers.exchange(
                port, b'GET / HTTP/1.1\r\nconnection: close\r\n\r\n'
            )
            return refused, after

    refused, after = anyio.run(scenario)
    head, _, body = refused.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 400 ')
    assert b'x-redwingvalve-outcome: not-run' in head
    error = json.loads(body)['error']
    assert (error['code'], error['outcome']) == ('malformed-request', 'not-run')
    assert b'hello' in after


def test_invalid_bytes_during_a_response_close_the_connection():
    """The caller sends invalid bytes while its response is streamed.

    An error written then would be read as part of the body. The connection is
    closed without the end of the body instead.
    """

    async def halfway(scope, receive, send):
        await send(callers.START)
        await send(callers.part(b'first'))
        await anyio.sleep_forever()

    async def scenario():
        async with callers.connected(halfway, timeout_s=0.2) as (stream, _, _):
            await stream.send(callers.GET)
            begun = await callers.read_until(stream, b'first')
            await stream.send(b'\x00 nonsense\r\n\r\n')
            return begun + await callers.read_all(stream)

    answer = anyio.run(scenario)
    assert answer.count(b'HTTP/1.1') == 1
    assert answer.endswith(b'first\r\n')


@pytest.mark.parametrize('dribble', [b'', b'GET / HTTP/1.1\r\nx-slow: '])
def test_idle_and_slow_heads_are_closed(dribble):
    """Connections that send nothing or half a head are closed."""

    async def scenario():
        async with callers.connected(callers.hello, head_timeout_s=0.1) as (
            stream,
            _,
            _,
        ):
            if dribble:
                await stream.send(dribble)
            return await callers.read_all(stream)

    assert anyio.run(scenario) == b''


def test_head_timeout_does_not_apply_to_the_response():
    """The head timer stops at the end of the head, before the response."""

    async def slow_hello(scope, receive, send):
        await receive()
        await anyio.sleep(0.5)
        await send(callers.START)
        await send(callers.part(b'hello', more=False))

    async def scenario():
        async with callers.connected(slow_hello, head_timeout_s=0.1) as (
            stream,
            _,
            _,
        ):
            await stream.send(callers.GET)
            return await callers.read_until(stream, callers.LAST_CHUNK)

    assert b'hello' in anyio.run(scenario)


def test_too_large_head_is_refused():
    async def scenario():
        async with callers.connected(callers.hello) as (stream, _, _):
            await stream.send(b'GET / HTTP/1.1\r\nx-long: ')
            for _ in range(3):
                await stream.send(b'x' * 8192)
                await anyio.sleep(0.01)
            return await callers.read_until(stream, b'}}')

    assert anyio.run(scenario).startswith(b'HTTP/1.1 431 ')


def test_connection_is_reused():
    """The second request arrives in pieces and after empty lines."""

    async def scenario():
        async with callers.connected(callers.hello) as (stream, _, _):
            answers = []
            for pieces in (
                [callers.GET],
                [b'\r\n', callers.GET[:9], callers.GET[9:]],
            ):
                for piece in pieces:
                    await stream.send(piece)
                    await anyio.sleep(0.01)
                answers.append(
                    await callers.read_until(stream, callers.LAST_CHUNK)
                )
            return answers

    answers = anyio.run(scenario)
    assert [answer.count(b'hello') for answer in answers] == [1, 1]


def test_upgrade_request_gets_a_normal_response():
    """The parser stops after an upgrade request, so the connection closes."""
    request = (
        b'GET / HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\n'
        b'upgrade: websocket\r\n\r\n'
    )

    async def scenario():
        async with callers.served(callers.hello) as (port, _, _):
            return await callers.exchange(port, request)

    answer = anyio.run(scenario)
    assert answer.startswith(b'HTTP/1.1 200 ')
    assert answer.endswith(callers.LAST_CHUNK)
