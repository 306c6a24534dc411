"""The server of callers' traffic over real loopback sockets."""

import contextlib
import json

import anyio
import pytest

from redwingvalve.entry import (
    app,
    serving,
    upstream,
    uvicorn_protocol,
    uvicorn_server,
)
from redwingvalve.entry.tests import fakes
from redwingvalve.settings import schema

GUARD_S = 30
PATIENCE_S = 20
START = {'type': 'http.response.start', 'status': 200, 'headers': []}
GET = b'GET / HTTP/1.1\r\nhost: x\r\n\r\n'
LAST_CHUNK = b'0\r\n\r\n'
ASK = json.dumps(
    {'model': 'quotes', 'messages': [{'role': 'user'}], 'stream': True}
).encode()


def part(body, more=True):
    return {'type': 'http.response.body', 'body': body, 'more_body': more}


async def hello(scope, receive, send):
    await receive()
    await send(START)
    await send(part(b'hello', more=False))


@contextlib.asynccontextmanager
async def served(application, timeout_s=PATIENCE_S, head_timeout_s=PATIENCE_S):
    """Serve; give the port, the stop event and the event of the end."""

    class Protocol(uvicorn_protocol.CallerProtocol):
        pass

    Protocol.head_timeout_s = head_timeout_s
    listener = serving.bind_socket('127.0.0.1')
    port = listener.getsockname()[1]
    stop, ended = anyio.Event(), anyio.Event()

    async def run():
        server = uvicorn_server.make_uvicorn_server(Protocol)
        bind = f'fd://{listener.detach()}'
        await serving.serve(application, bind, timeout_s, stop.wait, server)
        ended.set()

    with anyio.fail_after(GUARD_S):
        async with anyio.create_task_group() as group:
            group.start_soon(run)
            yield port, stop, ended
            stop.set()


async def read_all(stream):
    """Read to the end; a reset counts as one."""
    parts = []
    with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
        while True:
            parts.append(await stream.receive())
    return b''.join(parts)


async def read_until(stream, mark):
    received = b''
    while mark not in received:
        received += await stream.receive()
    return received


async def exchange(port, request):
    async with await anyio.connect_tcp('127.0.0.1', port) as stream:
        await stream.send(request)
        return await read_all(stream)


def test_a_stop_lets_a_stream_end_whole():
    """The caller has half its stream when the entry is told to stop.

    The port closes at once, the stream goes on to its end with the chunk that
    says so, and only then does the server return.
    """
    go_on = anyio.Event()

    async def halfway(scope, receive, send):
        await send(START)
        await send(part(b'first'))
        await go_on.wait()
        await send(part(b'last', more=False))

    async def scenario():
        async with served(halfway) as (port, stop, ended):
            async with await anyio.connect_tcp('127.0.0.1', port) as stream:
                await stream.send(GET)
                begun = await read_until(stream, b'first')
                stop.set()
                with contextlib.suppress(OSError):
                    while True:
                        async with await anyio.connect_tcp('127.0.0.1', port):
                            await anyio.sleep(0.01)
                early = ended.is_set()
                go_on.set()
                rest = await read_all(stream)
            await ended.wait()
            return begun + rest, early

    answer, early = anyio.run(scenario)
    assert b'last' in answer and answer.endswith(LAST_CHUNK)
    assert not early


def test_a_stop_cuts_off_what_outlives_its_time():
    """A request hangs for ever; the stop ends it and shows a broken body."""
    seen = []

    async def hang(scope, receive, send):
        await send(START)
        await send(part(b'first'))
        try:
            await anyio.sleep_forever()
        finally:
            seen.append('cancelled')

    async def scenario():
        async with (
            served(hang, timeout_s=0.2) as (port, stop, ended),
            await anyio.connect_tcp('127.0.0.1', port) as stream,
        ):
            await stream.send(GET)
            await read_until(stream, b'first')
            stop.set()
            rest = await read_all(stream)
            await ended.wait()
            return rest

    assert not anyio.run(scenario).endswith(LAST_CHUNK)
    assert seen == ['cancelled']


def test_a_cancelled_server_breaks_what_is_open():
    """A fault elsewhere ends the process; no caller waits for ever."""
    answers = []

    async def hang(scope, receive, send):
        await send(START)
        await send(part(b'first'))
        await anyio.sleep_forever()

    async def scenario():
        listener = serving.bind_socket('127.0.0.1')
        port = listener.getsockname()[1]
        async with anyio.create_task_group() as group:
            group.start_soon(
                serving.serve,
                hang,
                f'fd://{listener.detach()}',
                PATIENCE_S,
                anyio.sleep_forever,
            )
            async with await anyio.connect_tcp('127.0.0.1', port) as stream:
                await stream.send(GET)
                await read_until(stream, b'first')
                group.cancel_scope.cancel()
                with anyio.CancelScope(shield=True), anyio.fail_after(GUARD_S):
                    answers.append(await read_all(stream))

    anyio.run(scenario)
    assert len(answers) == 1 and not answers[0].endswith(LAST_CHUNK)


def test_a_caller_that_hangs_up_frees_its_tokens():
    """The caller leaves in the middle; the engine is told to stop."""
    engines = fakes.Engines()

    async def one_token(request):
        async def chunks():
            yield fakes.event(request.request_id, ' t1')
            await anyio.sleep_forever()

        return upstream.UpstreamAnswer(
            200, (('x-request-id', request.request_id),), chunks()
        )

    entry = make_entry(engines, one_token)

    async def scenario():
        async with served(entry) as (port, _, _):
            async with await anyio.connect_tcp('127.0.0.1', port) as stream:
                await stream.send(ask())
                await read_until(stream, b't1')
            while not engines.cancelled:
                await anyio.sleep(0.01)

    anyio.run(scenario)
    assert engines.cancelled == [engines.sent[0].request_id]


def make_entry(engines, script, **settings):
    replica = fakes.replica('r1')
    engines.scripts[replica.members[0].address] = script
    return app.make_entry_app(
        fakes.make_parts(
            engines,
            source=fakes.Source(fakes.make_snapshot(replicas=(replica,))),
            settings=schema.RequestSettings(**settings),
        )
    )


def ask(body=ASK, extra=''):
    length = f'content-length: {len(body)}\r\n'
    head = (
        'POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n'
        f'authorization: Bearer {fakes.CREDENTIAL}\r\n{extra or length}\r\n'
    )
    return head.encode() + body


def test_a_slow_reader_holds_its_own_stream_back():
    """The caller reads nothing while the engine could send 256 MB.

    Without a bound the entry would hold all of it. It writes until the
    socket's buffers are full, and goes on as the caller reads.
    """
    written = []

    async def flood(scope, receive, send):
        await send(START)
        for _ in range(4096):
            await send(part(bytes(65536)))
            written.append(65536)
        await send(part(b'', more=False))

    async def scenario():
        async with (
            served(flood) as (port, _, _),
            await anyio.connect_tcp('127.0.0.1', port) as stream,
        ):
            await stream.send(GET)
            before = -1
            while before != len(written):
                before = len(written)
                await anyio.sleep(0.3)
            held = before
            size = 0
            while len(written) < 4096:
                size += len(await stream.receive())
            size += len(await read_until(stream, LAST_CHUNK))
            return held, size

    held, size = anyio.run(scenario)
    assert 0 < held < 1024
    assert size > 4096 * 65536


@pytest.mark.parametrize(
    'request_bytes',
    [
        ask(ASK + bytes(2000)),
        ask(
            b'%x\r\n%b\r\n0\r\n\r\n' % (2000, bytes(2000)),
            'transfer-encoding: chunked\r\n',
        ),
    ],
    ids=['announced', 'chunked'],
)
def test_a_body_above_its_bound_is_refused(request_bytes):
    entry = make_entry(fakes.Engines(), None, max_body_bytes=1000)

    async def scenario():
        async with (
            served(entry) as (port, _, _),
            await anyio.connect_tcp('127.0.0.1', port) as stream,
        ):
            await stream.send(request_bytes)
            return await read_until(stream, b'}}')

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
        (
            b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n'
            b'transfer-encoding: chunked\r\n\r\n0\r\n\r\n'
        ),
        (
            b'POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n'
            b'zz\r\n'
        ),
    ],
)
def test_bytes_that_are_no_request_get_an_error(request_bytes):
    """Each gets 400 in the JSON shape of all errors, and the next is served."""

    async def scenario():
        async with served(hello) as (port, _, _):
            refused = await exchange(port, request_bytes)
            after = await exchange(
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


def test_garbage_behind_a_request_does_not_enter_its_answer():
    """Half a stream is out when its caller sends nonsense.

    An error written then would look like a part of the body. The connection
    is cut instead, without the body's end.
    """

    async def halfway(scope, receive, send):
        await send(START)
        await send(part(b'first'))
        await anyio.sleep_forever()

    async def scenario():
        async with (
            served(halfway, timeout_s=0.2) as (port, _, _),
            await anyio.connect_tcp('127.0.0.1', port) as stream,
        ):
            await stream.send(GET)
            begun = await read_until(stream, b'first')
            await stream.send(b'\x00 nonsense\r\n\r\n')
            return begun + await read_all(stream)

    answer = anyio.run(scenario)
    assert answer.count(b'HTTP/1.1') == 1
    assert answer.endswith(b'first\r\n')


@pytest.mark.parametrize('dribble', [b'', b'GET / HTTP/1.1\r\nx-slow: '])
def test_a_head_that_does_not_come_is_not_waited_for(dribble):
    """Callers connect and say nothing, or half a head; both are closed."""

    async def scenario():
        async with (
            served(hello, head_timeout_s=0.1) as (port, _, _),
            await anyio.connect_tcp('127.0.0.1', port) as stream,
        ):
            if dribble:
                await stream.send(dribble)
            return await read_all(stream)

    assert anyio.run(scenario) == b''


def test_a_slow_answer_is_not_taken_for_a_slow_head():
    """The head's time ends with the head, however long the answer takes."""

    async def slow_hello(scope, receive, send):
        await receive()
        await anyio.sleep(0.5)
        await send(START)
        await send(part(b'hello', more=False))

    async def scenario():
        async with (
            served(slow_hello, head_timeout_s=0.1) as (port, _, _),
            await anyio.connect_tcp('127.0.0.1', port) as stream,
        ):
            await stream.send(GET)
            return await read_until(stream, LAST_CHUNK)

    assert b'hello' in anyio.run(scenario)


def test_a_head_above_its_bound_is_refused():
    async def scenario():
        async with (
            served(hello) as (port, _, _),
            await anyio.connect_tcp('127.0.0.1', port) as stream,
        ):
            await stream.send(b'GET / HTTP/1.1\r\nx-long: ')
            for _ in range(3):
                await stream.send(b'x' * 8192)
                await anyio.sleep(0.01)
            return await read_until(stream, b'}}')

    assert anyio.run(scenario).startswith(b'HTTP/1.1 431 ')


def test_a_connection_serves_one_request_after_the_other():
    """Also when the second one comes in pieces, after empty lines."""

    async def scenario():
        async with (
            served(hello) as (port, _, _),
            await anyio.connect_tcp('127.0.0.1', port) as stream,
        ):
            answers = []
            for pieces in ([GET], [b'\r\n', GET[:9], GET[9:]]):
                for piece in pieces:
                    await stream.send(piece)
                    await anyio.sleep(0.01)
                answers.append(await read_until(stream, LAST_CHUNK))
            return answers

    answers = anyio.run(scenario)
    assert [answer.count(b'hello') for answer in answers] == [1, 1]


def test_an_upgrade_is_answered_plainly_and_closes():
    """The parser stops after it; a kept connection would never answer."""
    request = (
        b'GET / HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\n'
        b'upgrade: websocket\r\n\r\n'
    )

    async def scenario():
        async with served(hello) as (port, _, _):
            return await exchange(port, request)

    answer = anyio.run(scenario)
    assert answer.startswith(b'HTTP/1.1 200 ')
    assert answer.endswith(LAST_CHUNK)
