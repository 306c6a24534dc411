"""What the fake endpoint answers to a request that it runs."""

import asyncio
import typing

from redwingvalve.http1 import messages, server
from redwingvalve.platform.standins import (
    endpoint_crashes,
    endpoint_endless,
    endpoint_faults,
)

# From the head of an answer to the crash of its endpoint.
CRASH_DELAY_S = 0.1
# Headers by which a test chooses the events of a stream and their size, and how
# long another answer takes and how long it is.
EVENTS = b'x-events'
EVENT_BYTES = b'x-event-bytes'
DURATION_S = b'x-duration-s'
ANSWER_BYTES = b'x-answer-bytes'


class AnsweringEndpoint(typing.Protocol):
    """What an answer depends on."""

    faults: endpoint_faults.EndpointFaults
    events_per_response: int

    def crash(self) -> None:
        """Abort all connections and stop listening."""


async def answer(
    endpoint: AnsweringEndpoint,
    request: messages.Request,
    responder: server.Responder,
    headers: messages.Headers,
) -> None:
    """Answer a request, or fail, as the endpoint's faults say."""
    if not await _fails(endpoint, request, responder, headers):
        await _reply(endpoint, request, responder, headers)


async def _reply(
    endpoint: AnsweringEndpoint,
    request: messages.Request,
    responder: server.Responder,
    headers: messages.Headers,
) -> None:
    """Answer a request as its kind and the endpoint's faults say."""
    if endpoint.faults.closes_after_answers:
        pieces = _pieces(endpoint, request)
        await endpoint_crashes.answer_until_closed(
            responder,
            headers,
            pieces,
            lambda: _wait_for_turn(endpoint),
            lambda: endpoint.faults.cuts_off_answers,
        )
    elif request.header(b'x-model'):
        await _stream(endpoint, responder, headers, request)
    else:
        duration_s = request.header(DURATION_S)
        await asyncio.sleep(
            float(duration_s or endpoint_faults.EVENT_INTERVAL_S)
        )
        attempt = request.header(b'x-attempt-id') or b''
        body = b'body of %b' % attempt
        size = int(request.header(ANSWER_BYTES) or 0)
        _answer(endpoint, responder, headers, body.ljust(size, b'x'))


async def _stream(
    endpoint: AnsweringEndpoint,
    responder: server.Responder,
    headers: messages.Headers,
    request: messages.Request,
) -> None:
    kind = (b'content-type', b'text/event-stream')
    responder.start(200, [*headers, kind])
    first = _last_event(request) + 1
    for number, event in enumerate(_pieces(endpoint, request), first):
        await _wait_for_turn(endpoint)
        if number == endpoint.faults.aborts_at_event:
            # Abort in the middle of an event.
            responder.write(b'id: %d\ndata: ha' % number)
            await asyncio.sleep(0)
            responder.abort()
            return
        responder.write(event)
    responder.finish()


async def _wait_for_turn(endpoint: AnsweringEndpoint) -> None:
    """Wait until the next piece is due and the endpoint isn't silent."""
    await asyncio.sleep(endpoint_faults.EVENT_INTERVAL_S)
    while endpoint_faults.is_stalled(endpoint.faults):
        await asyncio.sleep(endpoint_faults.EVENT_INTERVAL_S)


def _answer(
    endpoint: AnsweringEndpoint,
    responder: server.Responder,
    headers: messages.Headers,
    body: bytes,
) -> None:
    connection = responder.connection
    responder.send_response(200, headers, body)
    if endpoint.faults.duplicates_response:
        extra = (b'content-length', b'%d' % len(body))
        head = messages.render_head(b'HTTP/1.1 200 OK', [*headers, extra])
        connection.write(head + body)


def _pieces(
    endpoint: AnsweringEndpoint, request: messages.Request
) -> list[bytes]:
    """Return the body of an answer, or the events of a stream."""
    if request.header(b'x-model') is None:
        attempt = request.header(b'x-attempt-id') or b''
        return [b'body of %b' % attempt]
    events = int(request.header(EVENTS) or endpoint.events_per_response)
    padding = b'x' * int(request.header(EVENT_BYTES) or 0)
    numbers = range(_last_event(request) + 1, events + 1)
    return [make_event(number, padding) for number in numbers]


def make_event(number: int, padding: bytes = b'') -> bytes:
    """Return an event of a stream, as each run sends it."""
    return b'id: %d\ndata: %d%b\n\n' % (number, number, padding)


def _last_event(request: messages.Request) -> int:
    """Return the last event that a caller has, 0 without any."""
    return int(request.header(b'last-event-id') or 0)


async def _fails(
    endpoint: AnsweringEndpoint,
    request: messages.Request,
    responder: server.Responder,
    headers: messages.Headers,
) -> bool:
    """Fail as the endpoint's faults say; return False if the run goes on."""
    endless = endpoint.faults.endless
    if endless.answers is not None:
        await endpoint_endless.send(
            endless, endless.answers, responder, headers
        )
        return True
    crashes = endpoint.faults.crashes
    if endpoint_crashes.has_crashing_part(crashes, request):
        await endpoint_crashes.answer_until_crash(
            crashes, request, responder, headers
        )
        endpoint.crash()
        return True
    if request.target == endpoint.faults.crashing_target:
        if endpoint.faults.crashes_after_head:
            endpoint_faults.send_part(responder, headers)
            await asyncio.sleep(CRASH_DELAY_S)
        await asyncio.sleep(endpoint_faults.EVENT_INTERVAL_S)
        if endpoint.faults.crash_delay_s:
            responder.abort()
            await asyncio.sleep(endpoint.faults.crash_delay_s)
        endpoint.crash()
        return True
    if endpoint.faults.resets_answers:
        responder.abort()
        return True
    return _sends_failure(endpoint.faults, responder, headers)


def _sends_failure(
    faults: endpoint_faults.EndpointFaults,
    responder: server.Responder,
    headers: messages.Headers,
) -> bool:
    if faults.undefined_status:
        start_line = b'HTTP/1.1 %b x' % faults.undefined_status
        length = (b'content-length', b'2')
        head = messages.render_head(start_line, [*headers, length])
        responder.connection.write(head)
        responder.connection.write(b'ok')
        return True
    if faults.returns_server_error:
        responder.send_response(500, headers, b'failed')
        return True
    return False
