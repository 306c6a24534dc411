"""One send of a request to one endpoint, and how it ended."""

import asyncio
import enum
import typing

from redwingvalve.http1 import client, messages
from redwingvalve.ingress import events
from redwingvalve.platform import names

_OK = 200
_REDIRECT = 300


class Outcome(enum.Enum):
    """How a send ended."""

    # A whole answer; for streams one that was handed on event by event.
    COMPLETE = 'whole'
    # The endpoint says that it did not run the request.
    NOT_RUN = 'not-run'
    # A whole failure of the endpoint's own.
    FAILURE = 'failure'
    # The connection ended first, or the answer can't be this request's.
    BROKEN = 'broken'
    # The head fell silent, or took longer than this send may.
    STALLED = 'silent'
    # The caller has left.
    CALLER_GONE = 'gone'
    # The time that the request had is over.
    TIMEOUT = 'timeout'


class UpstreamRequest(client.Exchange):
    """Collects one answer; ended holds how it went."""

    def __init__(self, attempt_id: bytes) -> None:
        """Expect an answer that echoes attempt_id."""
        loop = asyncio.get_running_loop()
        self.ended: asyncio.Future[Outcome] = loop.create_future()
        self.head: messages.AnswerHead | None = None
        self.reason = ''
        self._attempt_id = attempt_id
        self._body: list[bytes] = []

    @property
    def body(self) -> bytes:
        """Return what was collected."""
        return b''.join(self._body)

    def accepts(self, head: messages.AnswerHead) -> bool:
        """Take only the answer that names this attempt."""
        echoed = head.header(names.ATTEMPT_ID_HEADER)
        if echoed is None:
            # Only refusals may lack the id: nothing of them is passed on.
            return (
                head.header(names.NOT_RUN_HEADER) is not None
                or head.status == 421
            )
        return echoed == self._attempt_id

    def head_received(self, head: messages.AnswerHead) -> None:
        """Keep the head."""
        self.head = head

    def body_received(self, chunk: bytes) -> None:
        """Collect the body."""
        self._body.append(chunk)

    def completed(self) -> None:
        """Judge the whole answer."""
        self.finish(self.classify())

    def broken(self, reason: str) -> None:
        """End without an answer."""
        self.reason = reason
        self.finish(Outcome.BROKEN)

    def finish(self, outcome: Outcome) -> None:
        """Set how the send ended, once."""
        if not self.ended.done():
            self.ended.set_result(outcome)

    def classify(self) -> Outcome:
        """Return what a whole answer says."""
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


class EventSink(typing.Protocol):
    """What takes the events of a stream in order."""

    def forward(self, event: events.Event, send: 'UpstreamStream') -> None:
        """Take one whole event."""


class UpstreamStream(UpstreamRequest):
    """Hands the events of a successful answer on as they come."""

    def __init__(self, attempt_id: bytes, sink: EventSink) -> None:
        """Hand events to taker."""
        super().__init__(attempt_id)
        self._sink = sink
        self._splitter = events.EventSplitter()
        self.is_stream = False

    def head_received(self, head: messages.AnswerHead) -> None:
        """Tell a stream from a failure."""
        super().head_received(head)
        self.is_stream = self.classify() is Outcome.COMPLETE

    def body_received(self, chunk: bytes) -> None:
        """Hand whole events on."""
        if not self.is_stream:
            super().body_received(chunk)
            return
        for event in self._splitter.feed(chunk):
            if self.ended.done():
                return
            self._sink.forward(event, self)

    def completed(self) -> None:
        """End; half an event at the end is no whole stream."""
        if self.is_stream and not self._splitter.is_between_events:
            self.reason = 'ended inside an event'
            self.finish(Outcome.BROKEN)
            return
        super().completed()


def is_success(head: messages.AnswerHead) -> bool:
    """Return whether the status is a 2xx."""
    return _OK <= head.status < _REDIRECT
