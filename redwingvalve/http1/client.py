"""Client connections to endpoints and the store, one request at a time each.

A response is accepted only for the request that was sent. Late responses to
earlier requests are recognized by their echoed id and skipped. A connection
that delivers more than one response, or ends abnormally, is never reused, nor
is one whose response couldn't be recognized if it came again. One whose bytes
go on beyond the limits of a response is closed.
"""

import abc
import asyncio
import time
import typing

import attrs
import httptools

from redwingvalve.http1 import (
    answer_room,
    messages,
    response_limits,
    shared_buffer,
    stepped_reads,
)

# An endpoint may send a response twice; more unrelated responses than this are
# a protocol error.
MAX_STRAY_RESPONSES = 3
# Idle connections are not reused in the last fifth of the peer's keep-alive
# timeout, so that a request does not cross with the peer's close.
KEEP_ALIVE_FRACTION = 0.8
# Longer numbers count as not stated; some can't be converted.
MAX_KEEP_ALIVE_DIGITS = 9
_FIRST_STATUS = 100
_FIRST_FINAL_STATUS = 200
_LAST_STATUS = 599
# More is read in several turns.
READ_BYTES: typing.Final = 65_536
# Raised for bytes that are no answer, and for a change of the protocol.
_NO_ANSWER = (httptools.HttpParserError, httptools.HttpParserUpgrade)


class ResponseHandler(answer_room.HeldAnswer):
    """Receives the response to one request."""

    @abc.abstractmethod
    def accepts(self, head: messages.ResponseHead) -> bool:
        """Return whether the head belongs to this request's response."""

    def may_reuse_connection(self, head: messages.ResponseHead) -> bool:
        """Return whether a late copy of the response would be recognized.

        Called for a head that was accepted.
        """
        return True

    def max_body_bytes(
        self, limits: response_limits.ResponseLimits
    ) -> int | None:
        """Return the limit of the body, None if it is passed on as it comes.

        Called after head_received().
        """
        return limits.body_bytes

    @abc.abstractmethod
    def head_received(self, head: messages.ResponseHead) -> None:
        """Receive the status and the headers."""

    @abc.abstractmethod
    def body_received(self, chunk: bytes) -> None:
        """Receive a chunk of the body."""

    @abc.abstractmethod
    def completed(self) -> None:
        """Handle the end of a complete response."""

    @abc.abstractmethod
    def broken(self, reason: str) -> None:
        """Handle a connection that ended before the response was complete."""


class Connection(shared_buffer.SharedBufferProtocol):
    """One client connection."""

    read_buffer = shared_buffer.make_read_buffer(READ_BYTES)

    def __init__(
        self,
        limits: typing.Callable[
            [], response_limits.ResponseLimits
        ] = response_limits.default_limits,
    ) -> None:
        """Create a connection without a transport yet.

        The limits are read again for each request.
        """
        self.transport: asyncio.Transport | None = None
        self.idle_since_s = 0.0
        self.keep_alive_s: float | None = None
        self.used = False
        self._handler: ResponseHandler | None = None
        self._parser: typing.Any = None
        self._headers: messages.Headers = []
        self._limits = limits
        self._meter = response_limits.ResponseMeter(limits())
        self._is_complete = False
        self._close_delimited = False
        self._reusable = True
        self._has_extra_bytes = False
        self._on_idle: typing.Callable[[Connection], None] | None = None
        self._reads = stepped_reads.SteppedReads(self._parse)
        self._room = answer_room.AnswerRoom(self._reads)

    @property
    def is_open(self) -> bool:
        """Return whether a request can be sent."""
        transport = self.transport
        return transport is not None and not transport.is_closing()

    def send(
        self,
        request: bytes,
        exchange: ResponseHandler,
        on_idle: typing.Callable[['Connection'], None],
        body: bytes = b'',
    ) -> 'Exchange':
        """Send a request; on_idle is called if the connection is reusable.

        A long body is shared with other sends, and not copied.
        """
        assert self.transport is not None
        self._handler = exchange
        self._on_idle = on_idle
        self._parser = httptools.HttpResponseParser(self)
        self._meter = response_limits.ResponseMeter(self._limits())
        self._is_complete = False
        self.used = True
        messages.write(self.transport.write, request, body)
        return Exchange(self, exchange)

    def serves(self, exchange: ResponseHandler) -> bool:
        """Return whether the response to a request hasn't ended yet."""
        return self._handler is exchange

    def abandon(self) -> None:
        """Abort the connection without calling the response handler."""
        self._handler = None
        self._reads.abort()
        self._room.end()

    def pause(self, reason: answer_room.PauseReason) -> None:
        """Stop reading until resume is called for the same reason."""
        self._room.pause(reason)

    def resume(self, reason: answer_room.PauseReason) -> None:
        """Resume reading, once there is room and no other reason not to."""
        self._room.resume(reason)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = typing.cast(asyncio.Transport, transport)
        self._reads.start(self.transport)

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the pending response, unless the close delimits its body."""
        self._reads.end(lambda: self._end(error))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, many of them in several steps."""
        self._reads.received(data)

    def on_message_begin(self) -> None:
        """Start a head; one after a complete response is a stray one."""
        if self._is_complete:
            self._has_extra_bytes = True
        self._headers = []

    def on_header(self, name: bytes, content: bytes) -> None:
        """Collect a header."""
        self._headers.append((name.lower(), content))

    def on_headers_complete(self) -> None:
        """Pass the head on unless it belongs to another request."""
        status = self._parser.get_status_code()
        if self._is_complete:
            return
        if not _FIRST_STATUS <= status <= _LAST_STATUS:
            self._break(f'no answer: undefined status {status}')
            return
        if status < _FIRST_FINAL_STATUS:
            return
        head = messages.ResponseHead(
            status, self._headers, self._parser.should_keep_alive()
        )
        exchange = self._handler
        if exchange is None:
            return
        # Trailers are no part of the head.
        self._headers = []
        self._meter.is_skipping = not exchange.accepts(head)
        if self._meter.is_skipping:
            return
        self._reusable = head.keep_alive and exchange.may_reuse_connection(head)
        self._close_delimited = head.body_end is messages.BodyEnd.CONNECTION
        self._read_keep_alive(head)
        exchange.head_received(head)
        max_body_bytes = exchange.max_body_bytes(self._meter.limits)
        self._meter.head_received(max_body_bytes, head.content_length)
        if max_body_bytes is None:
            self._room.start(exchange, 0)
        else:
            announced_bytes = min(head.content_length, max_body_bytes)
            self._room.start(exchange, announced_bytes)

    def on_body(self, chunk: bytes) -> None:
        """Pass a chunk of the body on."""
        if self._is_complete or self._handler is None:
            return
        meter = self._meter
        meter.body_received(len(chunk))
        if meter.is_skipping:
            return
        self._handler.body_received(chunk)
        self._room.received(len(chunk))

    def on_message_complete(self) -> None:
        """Record the end of the response, or of a skipped one."""
        if self._parser.get_status_code() < _FIRST_FINAL_STATUS:
            self._meter.interim_heads += 1
            return
        if not self._meter.is_skipping:
            self._is_complete = True
            return
        self._meter.skipped_response_ended()
        if self._meter.skipped_responses > MAX_STRAY_RESPONSES:
            self._break('answers of other requests')

    def _parse(self, data: bytes) -> None:
        if self._handler is None:
            # Unsolicited bytes belong to no request.
            self.abandon()
            return
        self._meter.received(len(data))
        try:
            self._parser.feed_data(data)
        except _NO_ANSWER as error:
            if not self._is_complete:
                self._break(f'no answer: {error}')
                return
            self._has_extra_bytes = True
        if self._is_complete:
            self._finish()
            return
        excess = self._meter.excess()
        # Counted only while a request waits for the answer.
        if excess is not None and self._handler is not None:
            response_limits.count(excess)
            self._break(excess.reason)

    def _end(self, error: Exception | None) -> None:
        if (
            self._close_delimited
            and error is None
            and self._handler is not None
        ):
            self._finish()
            return
        self._break('reset' if error else 'closed')

    def _finish(self) -> None:
        exchange = self._handler
        self._handler = None
        # A peer may respond before it has read the whole request body; the
        # rest of the body is then still in the write buffer.
        unsent = self.is_open and self.transport.get_write_buffer_size() > 0
        has_extra_bytes = self._has_extra_bytes or self._reads.has_waiting
        reuse = self._reusable and not has_extra_bytes and not unsent
        if reuse and self.is_open and not self._close_delimited:
            self.idle_since_s = time.monotonic()
            # The caller of this answer may have paused it.
            self._room.end()
            if self._on_idle is not None:
                self._on_idle(self)
        else:
            self._reads.abort()
            self._room.end()
        if exchange is not None:
            exchange.completed()

    def _break(self, reason: str) -> None:
        exchange = self._handler
        self._handler = None
        self._reads.abort()
        self._room.end()
        if exchange is not None:
            exchange.broken(reason)

    def _read_keep_alive(self, head: messages.ResponseHead) -> None:
        text = head.header(b'keep-alive') or b''
        for part in text.split(b','):
            name, _, seconds = part.strip().partition(b'=')
            if name.lower() != b'timeout' or not seconds.isdigit():
                continue
            if len(seconds) <= MAX_KEEP_ALIVE_DIGITS:
                self.keep_alive_s = int(seconds) * KEEP_ALIVE_FRACTION


@attrs.frozen(eq=False)
class Exchange:
    """One request on a connection, until its response has ended.

    Whatever is called later does nothing, as the connection may be used by
    another request then.
    """

    connection: Connection
    _handler: ResponseHandler

    @property
    def is_pending(self) -> bool:
        """Return whether the end of the response is still to come."""
        return self.connection.serves(self._handler)

    def pause(self, reason: answer_room.PauseReason) -> None:
        """Stop reading, so that nothing more reaches the handler."""
        if self.is_pending:
            self.connection.pause(reason)

    def resume(self, reason: answer_room.PauseReason) -> None:
        """Resume reading unless there is another reason not to."""
        if self.is_pending:
            self.connection.resume(reason)

    def abandon(self) -> None:
        """Abort the connection without calling the handler."""
        if self.is_pending:
            self.connection.abandon()
