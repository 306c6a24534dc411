"""JSON answers without end, of endpoints and of the store, over loopback."""

import asyncio
import contextlib
import json
import time
import tracemalloc
import zlib

import anyio
import pytest

from redwingvalve.fleet import endpoints
from redwingvalve.http1 import pool
from redwingvalve.observability import node_metrics
from redwingvalve.platform import endpoint_orders, json_answers, settings, store

MEGABYTE = 1_048_576
OK = b'HTTP/1.1 200 OK\r\n'
DEFLATED = b'content-encoding: deflate\r\n'
# Compressed, 64 MB of spaces take 64 kB.
BOMB = zlib.compress(b'[' + b' ' * (64 * MEGABYTE) + b']')
BOMB_ANSWER = b'%b%bcontent-length: %d\r\n\r\n%b' % (
    OK,
    DEFLATED,
    len(BOMB),
    BOMB,
)
BEGINNINGS = {
    'body': OK + b'\r\n{"staged": "',
    'framing': OK + b'transfer-encoding: chunked\r\n\r\n4;',
    'head': OK + b'a-header: ',
    'interim heads': b'HTTP/1.1 102 Processing\r\n\r\n' * 99 + OK + b'name: ',
}


@pytest.fixture(autouse=True)
def patient(monkeypatch):
    """Let only the limits end a call, however busy the machine is."""
    monkeypatch.setattr(endpoint_orders, 'REPORT_TIMEOUT_S', 10)
    monkeypatch.setattr(endpoint_orders, 'ORDER_TIMEOUT_S', 10)
    monkeypatch.setattr(store, 'CALL_TIMEOUT_S', 10)


class Peer:
    """Answers each request with a beginning and then bytes without end."""

    def __init__(self, beginning, repeated):
        self.beginning = beginning
        self.repeated = repeated
        self.sent_bytes = 0
        self.closed = 0

    async def serve(self, reader, writer):
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await self._answer(reader, writer)
            self.closed += 1
        finally:
            # Also if the test's loop ends first.
            writer.close()

    async def _answer(self, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(self.beginning)
        while self.repeated:
            writer.write(self.repeated)
            await writer.drain()
            self.sent_bytes += len(self.repeated)
        await reader.read()


@contextlib.asynccontextmanager
async def listening(beginning, repeated=b''):
    peer = Peer(beginning, repeated)
    server = await asyncio.start_server(peer.serve, '127.0.0.1', 0)
    yield peer, server.sockets[0].getsockname()[1]
    server.close()


def make_endpoint(port):
    return endpoints.Endpoint(
        endpoint_id='e',
        born_ms=1,
        service='s',
        host='127.0.0.1',
        port=port,
        data_centre='zone-1',
        slots=1,
        draining=False,
    )


def counted(limit):
    return node_metrics.METRICS.value(
        'redwingvalve_answers_over_limit', limit=limit
    )


CALLS = {
    'report': endpoint_orders.EndpointClient.report,
    'order': lambda client, endpoint: client.stage(endpoint, 'model'),
    'check': endpoint_orders.EndpointClient.check_liveness,
}
FAILURES = {
    'report': None,
    'order': endpoint_orders.OrderResult.UNKNOWN,
    'check': endpoint_orders.Liveness.UNKNOWN,
}


def call_endpoint(beginning, repeated, call='report'):
    """Return the result, the peer, and the peak of the memory held."""

    async def main():
        async with listening(beginning, repeated) as (peer, port):
            client = endpoint_orders.EndpointClient(
                store.JsonClient(pool.Pool())
            )
            tracemalloc.start()
            result = await CALLS[call](client, make_endpoint(port))
            _, peak_bytes = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            with anyio.fail_after(5):
                while not peer.closed:
                    await anyio.sleep(0.01)
            return result, peer, peak_bytes

    return anyio.run(main)


@pytest.mark.parametrize('call', CALLS)
@pytest.mark.parametrize('limit', BEGINNINGS)
def test_answers_of_an_endpoint_without_end_are_broken_off(limit, call):
    """It was gathered until the time-out, at whatever rate it came."""
    before = counted(limit)
    result, peer, peak_bytes = call_endpoint(
        BEGINNINGS[limit], b'x' * 16_384, call
    )
    assert result is FAILURES[call]
    assert counted(limit) == before + 1
    assert peer.sent_bytes < 12 * MEGABYTE
    assert peak_bytes < 12 * MEGABYTE


def test_a_report_that_inflates_without_end_is_not_inflated():
    """64 kB filled 64 MB, and the connection was used again."""
    before = counted('inflated body')
    report, _, peak_bytes = call_endpoint(BOMB_ANSWER, b'')
    assert report is None
    assert counted('inflated body') == before + 1
    assert peak_bytes < 12 * MEGABYTE


def test_a_store_whose_pages_have_no_end_is_an_error():
    async def main():
        async with listening(BOMB_ANSWER) as (_, port):
            client = store.StoreClient(
                settings.SocketAddress('127.0.0.1', port),
                store.JsonClient(pool.Pool()),
            )
            with pytest.raises(store.StoreError, match='inflated body over'):
                await client.list_kind('servers')
        async with listening(OK + b'content-length: 99000000\r\n\r\n') as (
            _,
            port,
        ):
            client = store.StoreClient(
                settings.SocketAddress('127.0.0.1', port),
                store.JsonClient(pool.Pool()),
            )
            with pytest.raises(store.StoreError, match='body over 33554432'):
                await client.list_kind('servers')

    anyio.run(main)


@pytest.mark.parametrize('is_deflated', [False, True])
def test_large_sound_bodies_are_read(is_deflated):
    """A relay sends all objects of a kind in one page."""
    objects = [{'metadata': {'name': f'{one}'}} for one in range(100_000)]
    page = {'items': objects, 'has_more': False, 'store_revision': 7}
    body = json.dumps({**page, 'note': 'n' * MEGABYTE}).encode()

    async def main():
        answer = json_answers.make_page_answer()
        answer._is_deflated = is_deflated
        answer.body_received(zlib.compress(body) if is_deflated else body)
        answer.completed()
        assert (await answer.parse())['items'] == objects

    anyio.run(main)


def test_a_truncated_compressed_body_is_no_json():
    async def main():
        answer = json_answers.make_page_answer()
        answer._is_deflated = True
        answer.body_received(zlib.compress(b'{"items": []}')[:-6])
        answer.completed()
        assert await answer.parse() is None

    anyio.run(main)


def test_a_report_that_is_no_json_takes_no_time_to_read():
    """It was searched for objects of the store for seconds."""

    async def main():
        answer = json_answers.make_report_answer()
        answer.body_received(b'{"items":[{x' + b'},{"metadata":' * 18_000)
        answer.completed()
        began_s = time.process_time()
        assert await answer.parse() is None
        assert time.process_time() - began_s < 0.1

    anyio.run(main)


def test_a_report_with_a_number_beyond_all_is_none():
    """The error ended the task that had asked for the report."""
    body = b'{"born": 1e999}'
    answer = OK + b'content-length: %d\r\nconnection: close\r\n\r\n' % len(body)
    assert call_endpoint(answer + body, b'')[0] is None
