"""Answers without end of the fake endpoint, until the other side closes."""

import asyncio
import enum

import attrs

from redwingvalve.http1 import messages, server

_PIECE_BYTES = 16_384
# While the write buffer is full.
_PAUSE_S = 0.001
_LETTERS = b'x' * _PIECE_BYTES
_OK = b'HTTP/1.1 200 OK'
_INTERIM = b'HTTP/1.1 102 Processing\r\n\r\n'
_CHUNKED = (b'transfer-encoding', b'chunked')


class Endless(enum.Enum):
    """What has no end."""

    HEAD = 'head'
    LINE = 'line'
    INTERIM = 'interim heads'
    EXTENSION = 'chunk extension'
    # Of another answer, whose id is not that of the request.
    STRAY = 'stray body'
    # Of the answer; an event of a stream, or a report.
    BODY = 'body'


@attrs.define
class EndlessFaults:
    """Answers without end that are currently injected into an endpoint."""

    answers: Endless | None = None
    # Also to orders.
    reports: Endless | None = None
    # Answers that were begun and those that the other side has ended.
    begun: int = 0
    ended: int = 0
    # The most that was sent of one.
    max_sent_bytes: int = 0


async def send(
    faults: EndlessFaults,
    endless: Endless,
    responder: server.Responder,
    headers: messages.Headers,
) -> None:
    """Send bytes until the other side closes the connection."""
    faults.begun += 1
    start, repeated = _parts(endless, headers)
    connection = responder.connection
    connection.write(start)
    sent_bytes = len(start)
    while not connection.is_closed:
        if connection.reader.is_paused:
            await asyncio.sleep(_PAUSE_S)
            continue
        connection.write(repeated)
        sent_bytes += len(repeated)
        await asyncio.sleep(0)
    faults.ended += 1
    faults.max_sent_bytes = max(faults.max_sent_bytes, sent_bytes)


def _parts(endless: Endless, headers: messages.Headers) -> tuple[bytes, bytes]:
    """Return the beginning, and what is repeated."""
    open_head = messages.render_head(_OK, headers).removesuffix(b'\r\n')
    chunked = messages.render_head(_OK, [*headers, _CHUNKED])
    parts = {
        Endless.HEAD: (open_head, b'name: value\r\n' * 1260),
        Endless.LINE: (b'%bname: ' % open_head, _LETTERS),
        Endless.INTERIM: (b'', _INTERIM * 600),
        Endless.EXTENSION: (b'%b1;' % chunked, _LETTERS),
        Endless.STRAY: (messages.render_head(_OK, []), _LETTERS),
        Endless.BODY: (messages.render_head(_OK, headers), _LETTERS),
    }
    return parts[endless]
