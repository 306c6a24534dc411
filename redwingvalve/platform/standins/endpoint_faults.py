"""Faults of the fake endpoint, and what it states while they last."""

import asyncio
import enum
import random
import time
import typing

import attrs

from redwingvalve.http1 import messages, server
from redwingvalve.platform.standins import endpoint_crashes, endpoint_endless

# Between two events of a stream; shortened for tests.
EVENT_INTERVAL_S = 0.02
_REJECTION = (
    b'HTTP/1.1 503 Service Unavailable\r\n'
    b'x-not-run: 1\r\ncontent-length: 0\r\n\r\n'
)


class Spoiling(enum.Enum):
    """How an endpoint spoils a request."""

    RESET = 1
    SERVER_ERROR = 2
    REJECTION = 3
    # Late enough for a second send.
    DELAY = 4
    # In the middle of a stream; like RESET for other requests.
    BREAK = 5


@attrs.define
class EndpointFaults:
    """Faults that are currently injected into the endpoint."""

    is_unresponsive: bool = False
    is_stalled: bool = False
    # Nothing is read or sent until this time by the monotonic clock.
    silent_until_s: float = 0
    duplicates_response: bool = False
    # Answers have neither a length nor chunks and end with their connections.
    closes_after_answers: bool = False
    # Such answers end where they are, as if they were whole.
    cuts_off_answers: bool = False
    # What reports say of the replica until a time, by the monotonic clock.
    old_group: dict[str, typing.Any] | None = None
    old_until_s: float = 0
    aborts_at_event: int | None = None
    rejects_requests: bool = False
    rejects_every_other_request: bool = False
    # The next request on the connection gets the rejection once more, and runs.
    repeats_rejections: bool = False
    rejected_connections: set[server.ServerConnection] = attrs.field(
        factory=set
    )
    returns_server_error: bool = False
    # In place of 200, as three digits.
    undefined_status: bytes = b''
    # Orders with these operations are executed late and never acknowledged.
    delayed_operations: tuple[str, ...] = ()
    order_delay_s: float = 2.5
    omits_content_length: bool = False
    # The endpoint's entry in the store is no longer updated.
    is_cut_off_from_store: bool = False
    # After an order to close, the endpoint stays in the closing state.
    never_drains: bool = False
    # Stated in all answers to requests, but not enforced.
    stated_requests_per_s: float | None = None
    # What the entry says; the endpoint serves as if it were warm.
    entry_cold_left_ms: int = 0
    # Stated in all answers to requests, while the entry is unchanged.
    stated_cold_ms: int | None = None
    # Stated in answers that reject a request, but not enforced.
    stated_rest_s: float | None = None
    # Address of the endpoint because of which requests are rejected.
    stated_at_fault: str = ''
    # Stated in all answers to requests, while the entry is unchanged.
    states_leaving: bool = False
    # Requests for this target crash the endpoint shortly after they begin.
    crashing_target: bytes = b''
    # The head of the answer and a part of the body are sent before the crash.
    crashes_after_head: bool = False
    # The process outlives the connection of the crashing request by this time.
    crash_delay_s: float = 0
    # Time from a crash until the store drops the entry.
    entry_lapse_s: float = 0
    # Under parts of the prompt.
    crashes: endpoint_crashes.CrashFaults = attrs.field(
        factory=endpoint_crashes.CrashFaults
    )
    # Connections of requests that began are reset instead of answered.
    resets_answers: bool = False
    endless: endpoint_endless.EndlessFaults = attrs.field(
        factory=endpoint_endless.EndlessFaults
    )
    # Share of the requests that are spoiled in one of the ways of Spoiling.
    spoiled_share: float = 0
    rng: random.Random = attrs.field(factory=lambda: random.Random(0))


def silence_left_s(faults: EndpointFaults) -> float:
    """Return how long an endpoint stays silent, 0 or less if it isn't."""
    return faults.silent_until_s - time.monotonic()


def is_stalled(faults: EndpointFaults) -> bool:
    """Return whether an endpoint sends no events."""
    return faults.is_stalled or silence_left_s(faults) > 0


def rejects(faults: EndpointFaults, number: int) -> bool:
    """Return whether an endpoint rejects its numbered arrival."""
    is_even = number % 2 == 0
    return faults.rejects_requests or (
        faults.rejects_every_other_request and is_even
    )


def repeat_rejection(
    faults: EndpointFaults, connection: server.ServerConnection
) -> None:
    """Send a rejection again if the latest answer on a connection was one."""
    if connection in faults.rejected_connections:
        faults.rejected_connections.discard(connection)
        connection.write(_REJECTION)


def statement_headers(faults: EndpointFaults) -> messages.Headers:
    """Return what an endpoint states in the head of each answer."""
    headers: messages.Headers = []
    if faults.stated_requests_per_s is not None:
        limit = b'%g' % faults.stated_requests_per_s
        headers.append((b'server-limit', limit))
    if faults.stated_cold_ms is not None:
        headers.append((b'x-cold-ms', b'%d' % faults.stated_cold_ms))
    if faults.states_leaving:
        headers.append((b'server-leaving', b'1'))
    return headers


def draw_spoiling(faults: EndpointFaults) -> Spoiling | None:
    """Return how to spoil the next request, None to handle it."""
    if not faults.spoiled_share or faults.rng.random() >= faults.spoiled_share:
        return None
    return faults.rng.choice(tuple(Spoiling))


def age_report(
    faults: EndpointFaults, entry: dict[str, typing.Any]
) -> dict[str, typing.Any]:
    """Return what an endpoint reports whose entry says this."""
    if time.monotonic() < faults.old_until_s:
        return {**entry, 'group': faults.old_group}
    return entry


def send_part(responder: server.Responder, headers: messages.Headers) -> None:
    """Send the head of an answer and a part of its body."""
    length = (b'content-length', b'50')
    head = messages.render_head(b'HTTP/1.1 200 OK', [*headers, length])
    responder.connection.write(head)
    responder.connection.write(b'part')


def spoil(
    spoiling: Spoiling,
    request: messages.Request,
    responder: server.Responder,
    headers: messages.Headers,
) -> None:
    """Spoil the answer to a request."""
    if spoiling is Spoiling.SERVER_ERROR:
        responder.send_response(500, headers, b'failed')
        return
    last = int(request.header(b'last-event-id') or 0)
    is_stream = request.header(b'x-model') is not None
    if is_stream and spoiling is Spoiling.BREAK:
        kind = (b'content-type', b'text/event-stream')
        responder.start(200, [*headers, kind])
        responder.write(b'id: %d\ndata: 1\n\n' % (last + 1))
        # The event leaves before the connection is reset.
        asyncio.get_running_loop().call_later(EVENT_INTERVAL_S, responder.abort)
        return
    responder.abort()
