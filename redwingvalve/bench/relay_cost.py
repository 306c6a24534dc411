"""Processor time of an entry for each relayed token.

An engine, the relay and the callers run in three threads with a loop each, so
that the relay's own processor time can be read from its thread's clock. The
engine sends one token as one HTTP chunk every TOKEN_GAP_S on each stream; each
token carries the time at which it was sent, from which callers get its delay.
"""

import asyncio
import contextlib
import json
import statistics
import threading
import time
import types
import typing
from collections import abc as collections_abc

import anyio
import attrs
import httpx

from redwingvalve.bench import aiohttp_server, relay_engine, relay_parts
from redwingvalve.entry import (
    aiohttp_upstream,
    app,
    caller_server,
    httpx_upstream,
    hypercorn_server,
    serving,
    upstream,
    uvicorn_server,
)

TOKEN_GAP_S = 0.03
STREAMS = 60
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 5.0
SETTLE_S = 0.2
TOKENS = 150
ENGINE_PATH = '/v1/chat/completions'
# What reads engines and what serves callers.
PLAIN = 'plainest (httpx, hypercorn)'
OURS_HTTPX = 'entry (httpx, hypercorn)'
OURS_HYPERCORN = 'entry (aiohttp, hypercorn)'
OURS_AIOHTTP_WEB = 'entry (aiohttp, aiohttp.web)'
OURS_HTTPX_UVICORN = 'entry (httpx, uvicorn)'
OURS = 'entry (aiohttp, uvicorn)'
# What the libraries alone take: no check, no admission, no count.
BARE = 'plainest (aiohttp, uvicorn)'
US_PER_S = 1_000_000
MS_PER_S = 1000
END_MARK = b'data: [DONE]'
Application = collections_abc.Callable[..., collections_abc.Awaitable[None]]


@attrs.frozen
class RelayCost:
    """What one relay cost; delays are from the engine to the caller."""

    name: str
    tokens: int
    processor_us_per_token: float
    delay_p50_ms: float
    delay_p95_ms: float


class _Callers:
    """Reads all streams and notes the delay of each token."""

    def __init__(self, streams: int) -> None:
        self._streams = streams
        self.delays_s: list[float] = []
        self.whole = 0

    async def run(self, port: int) -> None:
        async with anyio.create_task_group() as group:
            for _ in range(self._streams):
                group.start_soon(self._call, port)
                await anyio.sleep(TOKEN_GAP_S / self._streams)

    async def _call(self, port: int) -> None:
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        body = json.dumps(
            {'model': 'm', 'messages': [{'role': 'user'}], 'stream': True}
        )
        writer.write(
            f'POST {ENGINE_PATH} HTTP/1.1\r\nhost: x\r\n'
            f'authorization: Bearer {relay_parts.CREDENTIAL}\r\n'
            f'content-length: {len(body)}\r\n\r\n{body}'.encode()
        )
        while part := await reader.read(65536):
            now_s = time.perf_counter()
            self.delays_s.extend(
                now_s - float(piece) for piece in part.decode().split('@')[1::2]
            )
            if END_MARK in part:
                self.whole += 1
                break
        writer.close()


def _plain_relay(engine_port: int) -> Application:
    """One read and one send for each token, and nothing else."""
    client = httpx.AsyncClient(trust_env=False, timeout=60)

    async def application(
        scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        if scope['type'] != 'http':
            return
        message = await receive()
        async with client.stream(
            'POST',
            f'http://127.0.0.1:{engine_port}{ENGINE_PATH}',
            content=message['body'],
            headers={'x-request-id': 'plain'},
        ) as answer:
            await send(
                {'type': 'http.response.start', 'status': 200, 'headers': []}
            )
            async for chunk in answer.aiter_raw():
                await send(
                    {
                        'type': 'http.response.body',
                        'body': chunk,
                        'more_body': True,
                    }
                )
        await send({'type': 'http.response.body'})

    return application


@attrs.frozen
class _Relay:
    """What a relay is made of."""

    make_sender: collections_abc.Callable[[], upstream.Upstream]
    make_server: collections_abc.Callable[[], caller_server.CallerServer]
    entry: bool = True


# The first is the baseline.
RELAYS: collections_abc.Mapping[str, _Relay] = types.MappingProxyType(
    {
        PLAIN: _Relay(
            httpx_upstream.make_httpx_upstream,
            hypercorn_server.make_hypercorn_server,
            entry=False,
        ),
        OURS_HTTPX: _Relay(
            httpx_upstream.make_httpx_upstream,
            hypercorn_server.make_hypercorn_server,
        ),
        OURS_HTTPX_UVICORN: _Relay(
            httpx_upstream.make_httpx_upstream,
            uvicorn_server.make_uvicorn_server,
        ),
        OURS_HYPERCORN: _Relay(
            aiohttp_upstream.make_aiohttp_upstream,
            hypercorn_server.make_hypercorn_server,
        ),
        OURS_AIOHTTP_WEB: _Relay(
            aiohttp_upstream.make_aiohttp_upstream,
            aiohttp_server.make_aiohttp_server,
        ),
        OURS: _Relay(
            aiohttp_upstream.make_aiohttp_upstream,
            uvicorn_server.make_uvicorn_server,
        ),
        BARE: _Relay(
            aiohttp_upstream.make_aiohttp_upstream,
            uvicorn_server.make_uvicorn_server,
            entry=False,
        ),
    }
)


def _bare_relay(engine_port: int, sender: upstream.Upstream) -> Application:
    """Do as the plainest relay does, but with what the entry reads with."""

    async def application(
        scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        message = await receive()
        answer = await sender.send(
            upstream.UpstreamRequest(
                address=f'127.0.0.1:{engine_port}',
                method='POST',
                path=ENGINE_PATH,
                headers=(('x-request-id', 'plain'),),
                body=message['body'],
                request_id='plain',
                timeout_s=60,
            )
        )
        await send(
            {'type': 'http.response.start', 'status': 200, 'headers': []}
        )
        async for chunk in answer.chunks:
            await send(
                {'type': 'http.response.body', 'body': chunk, 'more_body': True}
            )
        await sender.release(answer)
        await send({'type': 'http.response.body'})

    return application


def _make_application(
    relay: _Relay, sender: upstream.Upstream, engine_port: int
) -> Application:
    if relay is RELAYS[PLAIN]:
        return _plain_relay(engine_port)
    if not relay.entry:
        return _bare_relay(engine_port, sender)
    return app.make_entry_app(relay_parts.make_parts(sender, engine_port))


class OpenRelay:
    """One relay in a thread of its own, before an engine.

    port is known inside the block of open_relay, processor_s after it.
    """

    def __init__(self, name: str, engine_port: int) -> None:
        """Start nothing yet."""
        self.port = 0
        self.processor_s = 0.0
        self._relay = RELAYS[name]
        self._engine_port = engine_port
        self._ready = threading.Event()
        self._called = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Return once it serves; RuntimeError when it does not."""
        self._thread.start()
        if not self._ready.wait(START_TIMEOUT_S):
            raise RuntimeError('the relay did not start')

    def end(self) -> None:
        """Return once it has ended and its cost is known."""
        self._called.set()
        self._thread.join()

    def _run(self) -> None:
        anyio.run(self._serve, backend_options={'use_uvloop': True})

    async def _serve(self) -> None:
        listener = serving.bind_socket('127.0.0.1')
        self.port = listener.getsockname()[1]
        stop = anyio.Event()
        sender = self._relay.make_sender()
        async with anyio.create_task_group() as group:
            group.start_soon(
                serving.serve,
                _make_application(self._relay, sender, self._engine_port),
                f'fd://{listener.detach()}',
                STOP_TIMEOUT_S,
                stop.wait,
                self._relay.make_server(),
            )
            await self._measure()
            stop.set()
        await sender.aclose()

    async def _measure(self) -> None:
        await anyio.sleep(SETTLE_S)
        began_s = time.thread_time()
        self._ready.set()
        while not self._called.is_set():
            await anyio.sleep(0.05)
        self.processor_s = time.thread_time() - began_s


@contextlib.contextmanager
def open_relay(
    name: str, tokens: int, gap_s: float
) -> collections_abc.Iterator[OpenRelay]:
    """Serve one relay before an engine of so many tokens a stream."""
    with relay_engine.running(tokens, gap_s) as engine_port:
        relay = OpenRelay(name, engine_port)
        relay.start()
        try:
            yield relay
        finally:
            relay.end()


def measure(name: str, streams: int, tokens: int, gap_s: float) -> RelayCost:
    """Relay streams times tokens through one relay and return its cost."""
    callers = _Callers(streams)
    with open_relay(name, tokens, gap_s) as relay:
        anyio.run(callers.run, relay.port, backend_options={'use_uvloop': True})
        relay.end()
        if callers.whole != streams:
            raise RuntimeError(
                f'{name}: {callers.whole} of {streams} were whole'
            )
        relayed = len(callers.delays_s)
        percentiles = statistics.quantiles(callers.delays_s, n=20)
        return RelayCost(
            name=name,
            tokens=relayed,
            processor_us_per_token=relay.processor_s / relayed * US_PER_S,
            delay_p50_ms=statistics.median(callers.delays_s) * MS_PER_S,
            delay_p95_ms=percentiles[-1] * MS_PER_S,
        )


def measure_all(
    streams: int = STREAMS,
    tokens: int = TOKENS,
    gap_s: float = TOKEN_GAP_S,
) -> tuple[RelayCost, ...]:
    """Measure each relay in turn; the first is the baseline."""
    return tuple(measure(name, streams, tokens, gap_s) for name in RELAYS)
