"""The caller-facing server: stopping, streaming and disconnects."""

import contextlib

import anyio
import pytest
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export
from opentelemetry.sdk.trace.export import in_memory_span_exporter

from redwingvalve.entry import (
    serving,
    upstream,
)
from redwingvalve.entry.tests import callers, fakes
from redwingvalve.observability import tracing


def test_stop_lets_streams_complete():
    """The entry is stopped in the middle of a stream.

    The port closes at once, the stream continues to its last chunk, and only
    then does the server return.
    """
    go_on = anyio.Event()

    async def halfway(scope, receive, send):
        await send(callers.START)
        await send(callers.part(b'first'))
        await go_on.wait()
        await send(callers.part(b'last', more=False))

    async def scenario():
        async with callers.served(halfway) as (port, stop, server_stopped):
            async with await anyio.connect_tcp('127.0.0.1', port) as stream:
                await stream.send(callers.GET)
                begun = await callers.read_until(stream, b'first')
                stop.set()
                with contextlib.suppress(OSError):
                    while True:
                        async with await anyio.connect_tcp('127.0.0.1', port):
                            await anyio.sleep(0.01)
                early = server_stopped.is_set()
                go_on.set()
                rest = await callers.read_all(stream)
            await server_stopped.wait()
            return begun + rest, early

    answer, early = anyio.run(scenario)
    assert b'last' in answer and answer.endswith(callers.LAST_CHUNK)
    assert not early


@pytest.mark.parametrize('begun', [b'', b'first'])
def test_stop_cancels_requests_after_the_graceful_timeout(begun):
    """The entry is stopped while a request hangs.

    It is cancelled after the graceful timeout. Its caller gets a broken
    connection and no response made up by the server, which has no outcome.
    """
    started, seen = anyio.Event(), []

    async def hang(scope, receive, send):
        if begun:
            await send(callers.START)
            await send(callers.part(begun))
        started.set()
        try:
            await anyio.sleep_forever()
        finally:
            seen.append('cancelled')

    async def scenario():
        async with callers.connected(hang, timeout_s=0.2) as (
            stream,
            stop,
            server_stopped,
        ):
            await stream.send(callers.GET)
            await started.wait()
            stop.set()
            answer = await callers.read_all(stream)
            await server_stopped.wait()
            return answer

    answer = anyio.run(scenario)
    assert seen == ['cancelled']
    assert not answer.endswith(callers.LAST_CHUNK)
    assert answer.count(b'HTTP/1.1') == len(begun[:1])


def test_cancelled_server_aborts_open_connections():
    """The server is cancelled by an error elsewhere; no caller may hang."""
    answers = []

    async def hang(scope, receive, send):
        await send(callers.START)
        await send(callers.part(b'first'))
        await anyio.sleep_forever()

    async def scenario():
        listener = serving.bind_socket('127.0.0.1')
        port = listener.getsockname()[1]
        async with anyio.create_task_group() as group:
            group.start_soon(
                serving.serve,
                hang,
                f'fd://{listener.detach()}',
                callers.DEFAULT_TIMEOUT_S,
                anyio.sleep_forever,
            )
            async with await anyio.connect_tcp('127.0.0.1', port) as stream:
                await stream.send(callers.GET)
                await callers.read_until(stream, b'first')
                group.cancel_scope.cancel()
                with (
                    anyio.CancelScope(shield=True),
                    anyio.fail_after(callers.TEST_TIMEOUT_S),
                ):
                    answers.append(await callers.read_all(stream))

    anyio.run(scenario)
    assert len(answers) == 1 and not answers[0].endswith(callers.LAST_CHUNK)


def test_caller_disconnect_cancels_the_upstream_request():
    """The caller disconnects in mid-stream; the engine gets a cancellation."""
    engines = fakes.Engines()

    async def one_token(request):
        async def chunks():
            yield fakes.event(request.request_id, ' t1')
            await anyio.sleep_forever()

        return upstream.UpstreamResponse(
            200, (('x-request-id', request.request_id),), chunks()
        )

    entry = callers.make_entry(engines, one_token)

    async def scenario():
        async with callers.served(entry) as (port, _, _):
            async with await anyio.connect_tcp('127.0.0.1', port) as stream:
                await stream.send(callers.ask())
                await callers.read_until(stream, b't1')
            while not engines.cancelled:
                await anyio.sleep(0.01)

    anyio.run(scenario)
    assert engines.cancelled == [engines.sent[0].request_id]


def test_disconnect_after_a_complete_response_is_ignored():
    """ASGI servers send a disconnect after each complete response too."""
    exporter = in_memory_span_exporter.InMemorySpanExporter()
    provider = sdk_trace.TracerProvider()
    provider.add_span_processor(export.SimpleSpanProcessor(exporter))
    entry = callers.make_entry(
        fakes.Engines(), fakes.streaming(), traced=tracing.Tracing(provider)
    )

    async def scenario():
        async with callers.connected(entry) as (stream, _, _):
            for _ in range(5):
                await stream.send(callers.ask())
                await callers.read_until(stream, callers.LAST_CHUNK)

    anyio.run(scenario)
    entry_spans = [
        span
        for span in exporter.get_finished_spans()
        if span.name == 'entry request'
    ]
    assert len(entry_spans) == 5
    event_names = [event.name for span in entry_spans for event in span.events]
    assert 'caller gone' not in event_names


def test_slow_reader_causes_backpressure():
    """The caller reads nothing while the engine could send 256 MB.

    Without backpressure the entry would buffer all of it. It must write until
    the socket buffers are full and continue as the caller reads.
    """
    written = []

    async def flood(scope, receive, send):
        await send(callers.START)
        for _ in range(4096):
            await send(callers.part(bytes(65536)))
            written.append(65536)
        await send(callers.part(b'', more=False))

    async def scenario():
        async with callers.connected(flood) as (stream, _, _):
            await stream.send(callers.GET)
            before = -1
            while before != len(written):
                before = len(written)
                await anyio.sleep(0.3)
            held = before
            size = 0
            while len(written) < 4096:
                size += len(await stream.receive())
            size += len(await callers.read_until(stream, callers.LAST_CHUNK))
            return held, size

    held, size = anyio.run(scenario)
    assert 0 < held < 1024
    assert size > 4096 * 65536
