"""An engine that streams tokens at a steady pace, in a thread of its own.

Each token carries the time at which it was sent, from which callers get its
delay.
"""

import asyncio
import contextlib
import json
import threading
import time
from collections import abc as collections_abc

import uvloop

CHUNKED_HEAD = (
    'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n'
    'transfer-encoding: chunked\r\nx-request-id: {}\r\n\r\n'
)
WHOLE_HEAD = (
    'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n'
    'x-request-id: {}\r\ncontent-length: {}\r\n\r\n'
)
NOT_STREAMED = b'"stream": false'


class EngineThread:
    """Streams tokens over plain asyncio streams; not part of the product."""

    def __init__(self, tokens: int, gap_s: float) -> None:
        """Answer with tokens, one each gap_s."""
        self._tokens = tokens
        self._gap_s = gap_s
        self.port = 0

    async def serve(self, ready: threading.Event, stop: asyncio.Event) -> None:
        """Listen on a free port until stop is set."""
        server = await asyncio.start_server(self._answer, '127.0.0.1', 0)
        self.port = server.sockets[0].getsockname()[1]
        ready.set()
        await stop.wait()
        server.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(
            asyncio.IncompleteReadError,
            ConnectionError,
            # Kept connections end with the run; asyncio would log each.
            asyncio.CancelledError,
        ):
            while True:
                await self._answer_one(reader, writer)
        writer.close()

    async def _answer_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
        fields = dict(
            line.split(': ', 1) for line in head.splitlines()[1:] if line
        )
        body = await reader.readexactly(int(fields['content-length']))
        request_id = fields['x-request-id']
        if NOT_STREAMED in body:
            whole = _chunk(request_id, 0).encode()
            writer.write(WHOLE_HEAD.format(request_id, len(whole)).encode())
            writer.write(whole)
            return
        writer.write(CHUNKED_HEAD.format(request_id).encode())
        for number in range(self._tokens):
            await asyncio.sleep(self._gap_s)
            _write_chunk(writer, _event(request_id, number))
        _write_chunk(writer, b'data: [DONE]\n\n')
        writer.write(b'0\r\n\r\n')
        await writer.drain()


def _chunk(request_id: str, number: int) -> str:
    chunk = {
        'id': f'chatcmpl-{request_id}',
        'object': 'chat.completion.chunk',
        'model': 'm',
        'choices': [
            {
                'index': 0,
                'finish_reason': None,
                'delta': {'content': f' t{number}@{time.perf_counter():.6f}@'},
            }
        ],
    }
    return json.dumps(chunk)


def _event(request_id: str, number: int) -> bytes:
    return f'data: {_chunk(request_id, number)}\n\n'.encode()


def _write_chunk(writer: asyncio.StreamWriter, body: bytes) -> None:
    writer.write(b'%x\r\n%b\r\n' % (len(body), body))


@contextlib.contextmanager
def running(tokens: int, gap_s: float) -> collections_abc.Iterator[int]:
    """Yield the port of an engine in a thread of its own."""
    engine = EngineThread(tokens, gap_s)
    ready = threading.Event()
    loops: list[tuple[asyncio.AbstractEventLoop, asyncio.Event]] = []

    async def main() -> None:
        stop = asyncio.Event()
        loops.append((asyncio.get_running_loop(), stop))
        await engine.serve(ready, stop)

    thread = threading.Thread(target=uvloop.run, args=(main(),))
    thread.start()
    ready.wait()
    try:
        yield engine.port
    finally:
        loop, stop = loops[0]
        loop.call_soon_threadsafe(stop.set)
        thread.join()
