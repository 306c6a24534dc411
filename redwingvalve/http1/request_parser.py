"""Parses the requests of one connection within size limits.

Load pattern: a caller sends a header line, a chunk extension or trailers
without end. The parser underneath keeps what it has of a line, copies it for
each part of it that arrives, and reports it only when it is complete. So the
bytes are counted as they arrive, too.
"""

import abc
import typing

import attrs
import httptools

from redwingvalve.http1 import messages

MALFORMED = 400
BODY_TOO_LARGE = 413
HEAD_TOO_LARGE = 431
# Bytes of a head as they arrive per byte of the names and values allowed: a
# line `a:b` has five, of which two count.
_RAW_HEAD_FACTOR: typing.Final = 4
# Received bytes that each byte of a body allows, itself among them. A chunk of
# one byte has six.
_RAW_BODY_FACTOR: typing.Final = 16
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


@attrs.frozen
class ServerLimits:
    """Limits on the size of a request and on how slowly it may arrive."""

    head_bytes: int
    body_bytes: int
    head_timeout_s: float
    idle_timeout_s: float


class RequestHandler(abc.ABC):
    """Receives the events of the parser."""

    @abc.abstractmethod
    def head_started(self) -> None:
        """Handle the start of a head."""

    @abc.abstractmethod
    def head_completed(self) -> None:
        """Handle the end of the head; the body follows, if any."""

    @abc.abstractmethod
    def request_completed(self, request: messages.Request) -> None:
        """Handle a complete request."""

    @abc.abstractmethod
    def refused(self, status: int) -> None:
        """Handle a rejected request; nothing more is parsed after it."""

    @abc.abstractmethod
    def write(self, data: bytes) -> None:
        """Send an interim response."""


class RequestParser:
    """Parses requests; the limits are read again for each check."""

    def __init__(
        self,
        handler: RequestHandler,
        limits: typing.Callable[[], ServerLimits],
    ) -> None:
        """Create a parser that calls handler."""
        self.is_reading = False
        self.is_in_body = False
        self._handler = handler
        self._limits = limits
        self._parser: typing.Any = httptools.HttpRequestParser(self)
        self._target: list[bytes] = []
        self._headers: messages.Headers = []
        self._body: list[bytes] = []
        self._head_bytes = 0
        self._body_bytes = 0
        # Received for the current request and not explained by its body.
        self._raw_bytes = 0
        self._is_rejected = False

    def feed(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._is_rejected:
            return
        self._raw_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self.reject(MALFORMED)
            return
        max_bytes = _RAW_HEAD_FACTOR * self._limits().head_bytes
        if self.is_reading and self._raw_bytes > max_bytes:
            self.reject(HEAD_TOO_LARGE)

    def reject(self, status: int) -> None:
        """Reject the current request and parse nothing more."""
        if not self._is_rejected:
            self._is_rejected = True
            self._handler.refused(status)

    def on_message_begin(self) -> None:
        """Start a head."""
        self.is_reading = True
        self._head_bytes = 0
        self._body_bytes = 0
        self._target = []
        self._headers = []
        self._body = []
        # What was received with the end of another request isn't counted.
        self._raw_bytes = 0
        self._handler.head_started()

    def on_url(self, target: bytes) -> None:
        """Append to the target, which may arrive in several parts."""
        self._target.append(target)
        self._count_head(len(target))

    def on_header(self, name: bytes, content: bytes) -> None:
        """Collect a header."""
        self._headers.append((name.lower(), content))
        self._count_head(len(name) + len(content))

    def on_headers_complete(self) -> None:
        """Send 100 Continue if the caller waits for it before the body."""
        self.is_in_body = True
        self._handler.head_completed()
        for name, content in self._headers:
            if name == b'expect' and content.lower() == b'100-continue':
                self._handler.write(_CONTINUE)

    def on_body(self, chunk: bytes) -> None:
        """Append a chunk of the body."""
        self._body_bytes += len(chunk)
        self._raw_bytes -= _RAW_BODY_FACTOR * len(chunk)
        if self._body_bytes > self._limits().body_bytes:
            self.reject(BODY_TOO_LARGE)
            return
        self._body.append(chunk)

    def on_message_complete(self) -> None:
        """Pass the complete request on."""
        self.is_reading = False
        self.is_in_body = False
        if self._is_rejected:
            return
        self._handler.request_completed(
            messages.Request(
                method=self._parser.get_method(),
                target=b''.join(self._target),
                headers=self._headers,
                body=b''.join(self._body),
                keep_alive=self._parser.should_keep_alive(),
            )
        )

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._limits().head_bytes:
            self.reject(HEAD_TOO_LARGE)
