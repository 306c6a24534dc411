"""Runs the caller-facing server and talks to it through plain sockets."""

import contextlib
import json
import math

import anyio

from redwingvalve.entry import (
    app,
    serving,
    uvicorn_protocol,
    uvicorn_server,
)
from redwingvalve.entry.tests import fakes
from redwingvalve.settings import schema

TEST_TIMEOUT_S = 30
DEFAULT_TIMEOUT_S = 20
START = {'type': 'http.response.start', 'status': 200, 'headers': []}
GET = b'GET / HTTP/1.1\r\nhost: x\r\n\r\n'
POST = b'POST / HTTP/1.1\r\nhost: x\r\n'
CHUNKED = b'transfer-encoding: chunked\r\n\r\n'
LAST_CHUNK = b'0\r\n\r\n'
REQUEST_BODY = json.dumps(
    {'model': 'quotes', 'messages': [{'role': 'user'}], 'stream': True}
).encode()


def part(body, more=True):
    return {'type': 'http.response.body', 'body': body, 'more_body': more}


async def hello(scope, receive, send):
    await receive()
    await send(START)
    await send(part(b'hello', more=False))


@contextlib.asynccontextmanager
async def served(
    application,
    timeout_s=DEFAULT_TIMEOUT_S,
    head_timeout_s=DEFAULT_TIMEOUT_S,
    protocol=uvicorn_protocol.CallerProtocol,
    max_connections=math.inf,
):
    """Serve; yield the port, the stop event and the server-stopped event."""

    class Protocol(protocol):
        pass

    Protocol.head_timeout_s = head_timeout_s
    listener = serving.bind_socket('127.0.0.1')
    port = listener.getsockname()[1]
    stop, server_stopped = anyio.Event(), anyio.Event()

    async def run():
        server = uvicorn_server.make_uvicorn_server(max_connections, Protocol)
        bind = f'fd://{listener.detach()}'
        await serving.serve(application, bind, timeout_s, stop.wait, server)
        server_stopped.set()

    with anyio.fail_after(TEST_TIMEOUT_S):
        async with anyio.create_task_group() as group:
            group.start_soon(run)
            yield port, stop, server_stopped
            stop.set()


@contextlib.asynccontextmanager
async def connected(application, **options):
    """Like served, but yield one connection in place of the port."""
    async with (
        served(application, **options) as (port, stop, server_stopped),
        await anyio.connect_tcp('127.0.0.1', port) as stream,
    ):
        yield stream, stop, server_stopped


async def read_all(stream):
    """Read to the end of the connection or a reset."""
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


def make_entry(engines, script, traced=None, **settings):
    replica = fakes.replica('r1')
    changes = {} if traced is None else {'tracing': traced}
    engines.scripts[replica.members[0].address] = script
    return app.make_entry_app(
        fakes.make_dependencies(
            engines,
            source=fakes.Source(fakes.make_snapshot(replicas=(replica,))),
            settings=schema.RequestSettings(**settings),
            **changes,
        )
    )


def ask(body=REQUEST_BODY, extra=''):
    length = f'content-length: {len(body)}\r\n'
    head = (
        'POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n'
        f'authorization: Bearer {fakes.CREDENTIAL}\r\n{extra or length}\r\n'
    )
    return head.encode() + body
