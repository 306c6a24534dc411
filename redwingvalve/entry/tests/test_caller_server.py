"""The server of callers' traffic: stops, streams and callers that leave."""

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


def test_a_stop_lets_a_stream_end_whole():
    """The caller has half its stream when the entry is told to stop.

    The port closes at once, the stream goes on to its end with the chunk that
    says so, and only then does the server return.
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
def test_a_stop_cuts_off_what_outlives_its_time(begun):
    """A request hangs for ever when the entry is told to stop.

    It is cancelled after its time. Its caller sees a connection that broke,
    and no answer that the server made up without an outcome.
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


def test_a_cancelled_server_breaks_what_is_open():
    """A fault elsewhere ends the process; no caller waits for ever."""
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


def test_a_caller_that_hangs_up_frees_its_tokens():
    """The caller leaves in the middle; the engine is told to stop."""
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


def test_the_end_of_an_answer_is_not_a_caller_that_hung_up():
    """The server says disconnect after each answer, also when it is whole."""
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


def test_a_slow_reader_holds_its_own_stream_back():
    """The caller reads nothing while the engine could send 256 MB.

    Without a bound the entry would hold all of it. It writes until the
    socket's buffers are full, and goes on as the caller reads.
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
