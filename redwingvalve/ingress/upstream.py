"""One attempt to send a request to an endpoint, and its outcome."""

import asyncio
import enum
import time
import typing
from collections import abc as collections_abc

from redwingvalve.http1 import answer_room, client, messages, response_limits
from redwingvalve.ingress import answer_ends, events
from redwingvalve.observability import node_metrics
from redwingvalve.platform import endpoint_statements, names

_OK = 200
_REDIRECT = 300


# Called with what an endpoint states about itself, once its head is received.
OnStatement: typing.TypeAlias = collections_abc.Callable[
    [endpoint_statements.Statement], None
]


class Outcome(enum.Enum):
    """Outcome of an upstream request."""

    # A complete answer; a stream was forwarded event by event.
    COMPLETE = 'whole'
    # The endpoint stated that it did not run the request.
    NOT_RUN = 'not-run'
    # A complete error response of the endpoint.
    FAILURE = 'failure'
    # The connection ended early, or the answer isn't valid for this request.
    BROKEN = 'broken'
    # The head stalled, or exceeded the time limit of this attempt.
    STALLED = 'silent'
    # Another send of the same request was answered first.
    SUPERSEDED = 'superseded'
    # A piece of a stream that was received can't reach the caller any more.
    GAP = 'gap'
    # The caller closed its connection.
    CALLER_GONE = 'gone'
    # The time limit of the whole request passed.
    TIMEOUT = 'timeout'
    # The same, but before anything was sent to the endpoint.
    EXPIRED = 'expired'
    # Nothing was sent, as the endpoint's data centre is being evacuated.
    EVACUATED = 'evacuated'


class UpstreamRequest(client.ResponseHandler):
    """Collects one answer; the future ended holds the outcome."""

    def __init__(self, attempt_id: bytes, on_statement: OnStatement) -> None:
        """Expect an answer that echoes the caller's attempt_id."""
        loop = asyncio.get_running_loop()
        self.ended: asyncio.Future[Outcome] = loop.create_future()
        # Done while the endpoint is silent beyond its time limit.
        self.stalled: asyncio.Future[None] = loop.create_future()
        # None until the request is sent.
        self.exchange: client.Exchange | None = None
        # Ended as silent, until it is reopened.
        self.is_parked = False
        self.head: messages.ResponseHead | None = None
        # What the endpoint stated about itself, None before the head.
        self.statement: endpoint_statements.Statement | None = None
        self.reason = ''
        self.sent_s = time.monotonic()
        self.head_s = self.sent_s
        self.end = answer_ends.AnswerEnd.MARKED
        self._attempt_id = attempt_id
        self._on_statement = on_statement
        self._body = bytearray()
        self._has_body = False
        # The last event that a stream has delivered or needn't deliver.
        self.last_event: int | None = None

    @property
    def body(self) -> bytes:
        """Return the body received so far."""
        return bytes(self._body)

    @property
    def held_bytes(self) -> int:
        """Return the length of the body received so far."""
        return len(self._body)

    @property
    def ends_with_connection(self) -> bool:
        """Return whether only the connection's end marks that of the answer."""
        head = self.head
        return head is not None and (
            head.body_end is messages.BodyEnd.CONNECTION
        )

    def accepts(self, head: messages.ResponseHead) -> bool:
        """Return whether an answer belongs to this attempt."""
        echoed = head.header(names.ATTEMPT_ID_HEADER)
        if echoed is None:
            # Only refusals may lack the id: they are never forwarded, and no
            # earlier one was received on this connection.
            return (
                head.header(names.NOT_RUN_HEADER) is not None
                or head.status == 421
            )
        return echoed == self._attempt_id

    def may_reuse_connection(self, head: messages.ResponseHead) -> bool:
        """Return whether the answer has an id.

        A refusal without one that is repeated late would be taken for the
        answer to the next request, which runs.
        """
        return head.header(names.ATTEMPT_ID_HEADER) is not None

    def head_received(self, head: messages.ResponseHead) -> None:
        """Store the response head and what it states."""
        self.head = head
        self.head_s = time.monotonic()
        self.statement = endpoint_statements.read_statement(head)
        if self.statement is not None:
            self._on_statement(self.statement)

    def body_received(self, chunk: bytes) -> None:
        """Append to the body."""
        self._has_body = True
        self._body += chunk

    def completed(self) -> None:
        """Set the outcome of a complete answer.

        A success whose connection ended right behind a head without a length
        was cut off: nothing says that its body is empty.
        """
        outcome = self.classify()
        if outcome is Outcome.COMPLETE and (
            self.ends_with_connection and not self._has_body
        ):
            self.reason = 'ended behind its head'
            outcome = Outcome.BROKEN
        self.finish(outcome)

    def broken(self, reason: str) -> None:
        """Set the outcome after the connection broke."""
        self.reason = reason
        self.finish(Outcome.BROKEN)

    def finish(self, outcome: Outcome) -> None:
        """Set the outcome unless it is already set."""
        if self.ended.done():
            self._count_late(outcome.value)
            return
        self.ended.set_result(outcome)

    @property
    def is_pending(self) -> bool:
        """Return whether more of the answer may still arrive."""
        return self.exchange is not None and self.exchange.is_pending

    def stop(self, outcome: Outcome) -> None:
        """End the send from outside, before anything more is received."""
        self.finish(outcome)
        if self.ended.result() is outcome and self.exchange is not None:
            self.exchange.abandon()

    def park(self) -> None:
        """End the send as silent; what arrives now waits for reopen()."""
        self.finish(Outcome.STALLED)
        self.is_parked = True
        self.was_held = True
        if self.exchange is not None:
            self.exchange.pause(answer_room.PauseReason.PARKED)

    def reopen(self) -> None:
        """Await the outcome of a parked send again."""
        self.is_parked = False
        self.ended = asyncio.get_running_loop().create_future()
        self.clear_stall()
        if self.exchange is not None:
            self.exchange.resume(answer_room.PauseReason.PARKED)

    def mark_stalled(self) -> None:
        """Record that the endpoint is silent."""
        if not self.stalled.done():
            self.stalled.set_result(None)

    def clear_stall(self) -> None:
        """Wait for the endpoint to be found silent again."""
        if self.stalled.done():
            self.stalled = asyncio.get_running_loop().create_future()

    def _count_late(self, arrival: str) -> None:
        """Count what arrives for a send that has an outcome already."""
        node_metrics.METRICS.count(
            'redwingvalve_late_arrivals',
            outcome=self.ended.result().value,
            arrival=arrival,
        )

    def release(self) -> None:
        """Forget the body, once the caller has its answer."""
        self._body = bytearray()
        if self.memory is not None:
            self.memory.release()

    def classify(self) -> Outcome:
        """Return the outcome that the answer's head implies."""
        head = self.head
        if head is None:
            return Outcome.BROKEN
        if head.header(names.NOT_RUN_HEADER) is not None or head.status == 421:
            return Outcome.NOT_RUN
        if not is_success(head):
            return Outcome.FAILURE
        if head.header(names.SEAL_HEADER) is None:
            self.reason = 'success without a seal'
            return Outcome.BROKEN
        if head.header(b'content-encoding') is not None:
            self.reason = 'encoded body'
            return Outcome.BROKEN
        return Outcome.COMPLETE


_EVENT_EXCESS: typing.Final = response_limits.Excess(
    response_limits.Limit.EVENT, events.MAX_EVENT_BYTES
)


class EventSink(typing.Protocol):
    """Receives the events of a stream in order."""

    def forward(
        self, event: events.Event, upstream_request: 'UpstreamStream'
    ) -> None:
        """Receive one complete event."""


class UpstreamStream(UpstreamRequest):
    """Forwards the events of a successful answer as they arrive."""

    def __init__(
        self,
        attempt_id: bytes,
        on_statement: OnStatement,
        sink: EventSink,
        last_event: int | None = None,
        *,
        may_be_empty: bool = False,
    ) -> None:
        """Forward events that follow last_event to sink.

        may_be_empty: another run has ended there, too.
        """
        super().__init__(attempt_id, on_statement)
        self.last_event = last_event
        self.sink = sink
        self._has_body = may_be_empty
        self._has_gap = False
        # Of the events received, None before one with a number.
        self._highest: int | None = None
        self._splitter = events.EventSplitter()
        self.is_stream = False

    @property
    def held_bytes(self) -> int:
        """Return what is held of an unfinished event, or of another answer."""
        return self._splitter.held_bytes + super().held_bytes

    def head_received(self, head: messages.ResponseHead) -> None:
        """Distinguish a stream from an error response."""
        super().head_received(head)
        self.is_stream = self.classify() is Outcome.COMPLETE

    def max_body_bytes(
        self, limits: response_limits.ResponseLimits
    ) -> int | None:
        """Return None for a stream: its events are forwarded as they come."""
        return None if self.is_stream else super().max_body_bytes(limits)

    def body_received(self, chunk: bytes) -> None:
        """Forward the complete events."""
        if not self.is_stream:
            super().body_received(chunk)
            return
        self._has_body = True
        if self.ended.done():
            self._has_gap = True
            self._count_late('bytes')
            return
        for event in self._splitter.feed(chunk):
            if self.ended.done():
                self._has_gap = True
                self._count_late('event')
                return
            self._forward(event)
        if self._splitter.is_too_long:
            self._end_long_event()

    def reopen(self) -> None:
        """Await the outcome again, unless a part of the stream is lost."""
        super().reopen()
        if self._has_gap:
            self.break_off()

    def break_off(self) -> None:
        """End a run of which the caller hasn't got a piece.

        What follows can't be passed on, and its end isn't the caller's.
        """
        self._has_gap = True
        self.stop(Outcome.GAP)

    def completed(self) -> None:
        """Set the outcome; a stream that ends inside an event is broken."""
        if self.is_stream and not self._splitter.is_between_events:
            self.broken('ended inside an event')
        elif self._is_behind:
            self.broken('ended before events that another run has delivered')
        else:
            super().completed()

    @property
    def _is_behind(self) -> bool:
        if self._highest is None or self.last_event is None:
            return False
        return self._highest < self.last_event

    def _forward(self, event: events.Event) -> None:
        if event.number is not None:
            self._highest = max(event.number, self._highest or 0)
        self.sink.forward(event, self)

    def _end_long_event(self) -> None:
        # The sender closes the connection of a broken answer.
        response_limits.count(_EVENT_EXCESS)
        self.broken(_EVENT_EXCESS.reason)


def is_success(head: messages.ResponseHead) -> bool:
    """Return whether the status is a 2xx."""
    return _OK <= head.status < _REDIRECT


async def wait_until(request: UpstreamRequest, until_s: float) -> Outcome:
    """Return the outcome of a request; stop it if it has none by until_s."""
    try:
        async with asyncio.timeout(until_s - time.monotonic()):
            return await asyncio.shield(request.ended)
    except TimeoutError:
        request.stop(Outcome.TIMEOUT)
        return request.ended.result()


async def wait_until_stalled(
    request: UpstreamRequest, until_s: float
) -> Outcome | None:
    """Return the outcome of a request, None if it stalls or until_s passes."""
    await asyncio.wait(
        (request.ended, request.stalled),
        timeout=max(0, until_s - time.monotonic()),
        return_when=asyncio.FIRST_COMPLETED,
    )
    return request.ended.result() if request.ended.done() else None
