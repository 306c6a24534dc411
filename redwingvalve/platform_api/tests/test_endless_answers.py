"""Platform services that send bytes without end, in place of an answer."""

import gzip
import time
import tracemalloc

import anyio
import pytest

from redwingvalve.http1 import response_limits
from redwingvalve.platform_api import (
    http_engine_orders,
    http_object_api,
    http_vm_list,
    http_weight_store,
    limited_clients,
)

LETTERS = b'x' * 65_536
FED_BYTES = 64 * 1024 * 1024
BODY_BYTES = response_limits.DEFAULT.body_bytes
# What the operating system holds of a connection on both sides.
IN_TRANSIT_BYTES = 8 * 1024 * 1024
TIMEOUT_S = 10.0
OK = b'HTTP/1.1 200 OK\r\n'
# A body without a length, to the end of the connection.
BODY = (OK + b'\r\n', LETTERS)
PACKED = gzip.compress(bytes(FED_BYTES))
GZIP = OK + b'content-encoding: gzip\r\ncontent-length: %d\r\n\r\n' % len(
    PACKED
)


class Endpoint:
    """Sends one answer without end to each connection."""

    def __init__(self, first, repeated):
        self.first = first
        self.repeated = repeated
        self.sent_bytes = 0

    async def answer(self, stream):
        try:
            async with stream:
                await stream.receive()
                await stream.send(self.first or self.repeated)
                while self.repeated and self.sent_bytes < FED_BYTES:
                    await stream.send(self.repeated)
                    self.sent_bytes += len(self.repeated)
        except (anyio.BrokenResourceError, anyio.EndOfStream):
            return


async def read_state(address):
    client = http_engine_orders.make_http_engine_orders()
    found = await client.read_state(address, TIMEOUT_S)
    await client.aclose()
    return found


async def list_objects(address):
    client = http_object_api.make_http_object_api(
        f'http://{address}', TIMEOUT_S
    )
    found = await client.list('replicas')
    await client.aclose()
    return found


async def create_object(address):
    client = http_object_api.make_http_object_api(
        f'http://{address}', TIMEOUT_S
    )
    found = await client.create('replicas', 'r1', {})
    await client.aclose()
    assert found.error.maybe_applied
    return found


async def watch_objects(address):
    client = http_object_api.make_http_object_api(
        f'http://{address}', TIMEOUT_S
    )
    found = [event async for event in client.watch('replicas', '1')]
    await client.aclose()
    return found[-1]


async def read_vms(address):
    client = http_vm_list.make_http_vm_list(f'http://{address}', TIMEOUT_S)
    return await client.read()


async def reserve_load(address):
    client = http_weight_store.make_http_weight_store(
        f'http://{address}', TIMEOUT_S
    )
    return await client.reserve_load('m', '1')


async def play(endpoint, call):
    """Return what a call came to."""
    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, endpoint.answer)
        found = await call(f'127.0.0.1:{port}')
        group.cancel_scope.cancel()
    return found


CALLS = (list_objects, create_object, watch_objects, read_vms, reserve_load)


@pytest.mark.parametrize(
    ('call', 'max_bytes'),
    [
        (read_state, http_engine_orders.MAX_STATE_BYTES),
        *((call, BODY_BYTES) for call in CALLS),
    ],
)
def test_a_body_without_end_is_no_answer(call, max_bytes):
    """All that a service sent was kept until the connection ended."""
    endpoint = Endpoint(*BODY)
    assert anyio.run(play, endpoint, call).is_error()
    assert endpoint.sent_bytes < max_bytes + IN_TRANSIT_BYTES


@pytest.mark.parametrize('call', CALLS)
def test_a_compressed_body_is_no_answer(call):
    """Guards against a few bytes that unpack to more than the memory."""
    endpoint = Endpoint(GZIP + PACKED, b'')
    tracemalloc.start()
    found = anyio.run(play, endpoint, call)
    peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert found.is_error()
    assert peak_bytes < FED_BYTES / 8


def test_interim_heads_without_end_are_no_answer():
    """Each of them began the timeout anew, so that a read never ended."""

    class Interim(Endpoint):
        async def answer(self, stream):
            async with stream:
                await stream.receive()
                for _ in range(100):
                    await stream.send(b'HTTP/1.1 102 Processing\r\n\r\n')
                    await anyio.sleep(0.1)

    async def read(address):
        client = http_vm_list.make_http_vm_list(f'http://{address}', 0.2)
        return await client.read()

    started_s = time.monotonic()
    assert anyio.run(play, Interim(b'', b''), read).is_error()
    assert time.monotonic() - started_s < 5


@pytest.mark.parametrize('size', [1, 3, 7])
def test_lines_are_counted_one_by_one(size):
    """Guards against a watch that ends because it has lasted for long."""
    text = b'abc\nabcd\n\nab\n' * 5

    def is_exceeded(max_bytes, each_line):
        meter = limited_clients.LineMeter(max_bytes, each_line=each_line)
        return any(
            meter.is_exceeded(text[start : start + size])
            for start in range(0, len(text), size)
        )

    assert not is_exceeded(4, each_line=True)
    assert is_exceeded(len(text) - 1, each_line=False)
    assert not is_exceeded(len(text), each_line=False)
