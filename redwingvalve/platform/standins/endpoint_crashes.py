"""Crashes of the fake endpoint under what it answers, and what callers see."""

import asyncio
import enum
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.http1 import messages, server

_PREFIX_HEADER: typing.Final = b'x-prompt-prefix'
_EVENT: typing.Final = b'id: %d\ndata: %d\n\n'
_HALF_EVENT: typing.Final = b'id: %d\ndata: ha'


class AnswerStart(enum.Enum):
    """What an endpoint has sent of its answer when it crashes."""

    NOTHING = 'nothing'
    # A head that states a length, and half of the body.
    LENGTH = 'length'
    # A head that announces chunks, and one of them.
    CHUNKS = 'chunks'
    # A head with neither, and half of the body or a whole event. The connection
    # is closed, not reset.
    NEITHER = 'neither'
    # The same, in the middle of an event.
    HALF_EVENT = 'half event'


@attrs.define
class CrashFaults:
    """Crashes that are currently injected into an endpoint."""

    # Ids of parts of a prompt; the last part never crashes an endpoint.
    parts: frozenset[bytes] = frozenset()
    answer_start: AnswerStart = AnswerStart.NOTHING
    # From the start of the answer to the crash.
    delay_s: float = 0.05
    # From the end of an answer that ends with its connection to the crash.
    outlives_answer_s: float = 0
    # Connections that are newer than this live on, and are answered.
    spares_newer_s: float = 0
    # From the crash to the return under the same id, None to stay away.
    return_delay_s: float | None = None
    # All crashes of the endpoint, by the monotonic clock.
    crashes_s: list[float] = attrs.field(factory=list)


def has_crashing_part(faults: CrashFaults, request: messages.Request) -> bool:
    """Return whether a request crashes the endpoint that answers it."""
    stated = request.header(_PREFIX_HEADER)
    if not faults.parts or stated is None:
        return False
    ids = [entry.partition(b':')[0] for entry in stated.split(b',')]
    return not faults.parts.isdisjoint(ids[:-1])


async def answer_until_crash(
    faults: CrashFaults,
    request: messages.Request,
    responder: server.Responder,
    headers: messages.Headers,
) -> None:
    """Answer a request until the endpoint has to crash."""
    _start_answer(faults, request, responder, headers)
    await asyncio.sleep(faults.delay_s)
    _end_answer(faults, responder)
    # The end of the connection leaves before those of the others.
    await asyncio.sleep(faults.outlives_answer_s)


def _start_answer(
    faults: CrashFaults,
    request: messages.Request,
    responder: server.Responder,
    headers: messages.Headers,
) -> None:
    """Send what the caller gets of an answer before the crash."""
    start = faults.answer_start
    if start is AnswerStart.NOTHING:
        return
    piece = _piece(start, request)
    if start is AnswerStart.CHUNKS:
        responder.start(200, headers)
        responder.write(piece)
        return
    stated = headers.copy()
    if request.header(b'x-model') is not None:
        stated.append((b'content-type', b'text/event-stream'))
    if start is AnswerStart.LENGTH:
        stated.append((b'content-length', b'%d' % (2 * len(piece))))
    else:
        stated.append((b'connection', b'close'))
    head = messages.render_head(b'HTTP/1.1 200 OK', stated)
    responder.connection.write(head + piece)


async def answer_until_closed(
    responder: server.Responder,
    headers: messages.Headers,
    pieces: collections_abc.Sequence[bytes],
    wait: collections_abc.Callable[[], collections_abc.Awaitable[None]],
    is_cut_off: collections_abc.Callable[[], bool],
) -> None:
    """Send an answer whose end is that of its connection.

    wait returns once the next piece is due.
    """
    head = messages.render_head(b'HTTP/1.1 200 OK', headers)
    responder.connection.write(head)
    for piece in pieces:
        await wait()
        if is_cut_off():
            break
        responder.connection.write(piece)
    responder.connection.response_completed(keep=False)


def _end_answer(faults: CrashFaults, responder: server.Responder) -> None:
    """Close the connection if its end is that of the answer."""
    if faults.answer_start in {AnswerStart.NEITHER, AnswerStart.HALF_EVENT}:
        responder.connection.response_completed(keep=False)


def _piece(start: AnswerStart, request: messages.Request) -> bytes:
    if request.header(b'x-model') is None:
        return b'half'
    number = int(request.header(b'last-event-id') or 0) + 1
    if start is AnswerStart.HALF_EVENT:
        return _EVENT % (number, number) + _HALF_EVENT % (number + 1)
    return _EVENT % (number, number)
