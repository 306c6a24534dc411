"""Connections to endpoints and to the store, each with one request at a time.

An answer counts only if it is the answer to the request that was sent: late
answers of earlier requests are skipped by their echoed id, and a connection
that delivers more than one answer, or ends oddly, is never used again.
"""

import abc
import asyncio
import time
import typing

import httptools

from redwingvalve.http1 import messages

# An endpoint may send one answer twice; more strays than this are no HTTP.
MAX_STRAY_ANSWERS = 3
# Kept connections are left unused for the last fifth of the time that the
# peer grants, so that a request doesn't cross the peer's close.
KEEP_ALIVE_USED = 0.8
_NO_BODY_STATUSES: typing.Final = frozenset((204, 304))
_FIRST_FINAL_STATUS = 200


class ResponseHandler(abc.ABC):
    """What is done with the answer to one request."""

    @abc.abstractmethod
    def accepts(self, head: messages.ResponseHead) -> bool:
        """Return whether the head answers this request."""

    @abc.abstractmethod
    def head_received(self, head: messages.ResponseHead) -> None:
        """Take the status and the headers."""

    @abc.abstractmethod
    def body_received(self, chunk: bytes) -> None:
        """Take a piece of the body."""

    @abc.abstractmethod
    def completed(self) -> None:
        """Note that the answer came whole."""

    @abc.abstractmethod
    def broken(self, reason: str) -> None:
        """Note that the connection ended before the answer did."""


class Connection(asyncio.Protocol):
    """One connection to a peer."""

    def __init__(self) -> None:
        """Wait for the transport."""
        self.transport: asyncio.Transport | None = None
        self.idle_since_s = 0.0
        self.keep_alive_s: float | None = None
        self.used = False
        self._exchange: ResponseHandler | None = None
        self._parser: typing.Any = None
        self._headers: messages.Headers = []
        self._skipping = False
        self._strays = 0
        self._whole = False
        self._unframed = False
        self._reusable = True
        self._extra = False
        self._on_idle: typing.Callable[[Connection], None] | None = None

    @property
    def is_open(self) -> bool:
        """Return whether a request may be sent."""
        transport = self.transport
        return transport is not None and not transport.is_closing()

    def send(
        self,
        request: bytes,
        exchange: ResponseHandler,
        on_idle: typing.Callable[['Connection'], None],
    ) -> None:
        """Send a request; on_idle is called if more may follow."""
        assert self.transport is not None
        self._exchange = exchange
        self._on_idle = on_idle
        self._parser = httptools.HttpResponseParser(self)
        self._whole = False
        self._strays = 0
        self.used = True
        self.transport.write(request)

    def abandon(self) -> None:
        """Close at once; the exchange isn't told."""
        self._exchange = None
        if self.transport is not None:
            self.transport.abort()

    def pause(self) -> None:
        """Read nothing until resume."""
        if self.is_open:
            self.transport.pause_reading()

    def resume(self) -> None:
        """Read on."""
        if self.is_open:
            self.transport.resume_reading()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = typing.cast(asyncio.Transport, transport)

    def connection_lost(self, error: Exception | None) -> None:
        """Tell the exchange, whose answer isn't whole."""
        if self._unframed and error is None and self._exchange is not None:
            self._finish()
            return
        self._break('reset' if error else 'closed')

    def eof_received(self) -> bool:
        """Close in turn; an answer without a length ends with it."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse what came."""
        if self._exchange is None:
            # Bytes that nobody asked for belong to no request.
            self.abandon()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if not self._whole:
                self._break(f'no answer: {error}')
                return
            self._extra = True
        if self._whole:
            self._finish()

    def on_message_begin(self) -> None:
        """Start a head; after a whole answer it is a stray one."""
        if self._whole:
            self._extra = True
        self._headers = []

    def on_header(self, name: bytes, content: bytes) -> None:
        """Collect a header."""
        self._headers.append((name.lower(), content))

    def on_headers_complete(self) -> None:
        """Hand the head on unless it belongs to another request."""
        status = self._parser.get_status_code()
        if self._whole or status < _FIRST_FINAL_STATUS:
            return
        head = messages.ResponseHead(
            status, self._headers, self._parser.should_keep_alive()
        )
        exchange = self._exchange
        if exchange is None:
            return
        self._skipping = not exchange.accepts(head)
        if self._skipping:
            return
        self._reusable = head.keep_alive
        self._unframed = _is_unframed(head)
        self._read_keep_alive(head)
        exchange.head_received(head)

    def on_body(self, chunk: bytes) -> None:
        """Hand a piece of the body on."""
        if self._skipping or self._whole or self._exchange is None:
            return
        self._exchange.body_received(chunk)

    def on_message_complete(self) -> None:
        """Note the end of the answer, or of one that was skipped."""
        if self._parser.get_status_code() < _FIRST_FINAL_STATUS:
            return
        if not self._skipping:
            self._whole = True
            return
        self._strays += 1
        self._skipping = False
        if self._strays > MAX_STRAY_ANSWERS:
            self._break('answers of other requests')

    def _finish(self) -> None:
        exchange = self._exchange
        self._exchange = None
        # Bytes of a long body that the peer answered early stay unsent.
        unsent = self.is_open and self.transport.get_write_buffer_size() > 0
        keep = self._reusable and not self._extra and not unsent
        if keep and self.is_open and not self._unframed:
            self.idle_since_s = time.monotonic()
            if self._on_idle is not None:
                self._on_idle(self)
        elif self.transport is not None:
            self.transport.abort()
        if exchange is not None:
            exchange.completed()

    def _break(self, reason: str) -> None:
        exchange = self._exchange
        self._exchange = None
        if self.transport is not None:
            self.transport.abort()
        if exchange is not None:
            exchange.broken(reason)

    def _read_keep_alive(self, head: messages.ResponseHead) -> None:
        text = head.header(b'keep-alive') or b''
        for part in text.split(b','):
            name, _, seconds = part.strip().partition(b'=')
            if name.lower() == b'timeout' and seconds.isdigit():
                self.keep_alive_s = int(seconds) * KEEP_ALIVE_USED


def _is_unframed(head: messages.ResponseHead) -> bool:
    if head.status in _NO_BODY_STATUSES:
        return False
    if head.header(b'content-length') is not None:
        return False
    return head.header(b'transfer-encoding') is None
