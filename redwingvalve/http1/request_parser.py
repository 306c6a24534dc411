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

from redwingvalve.http1 import byte_account, messages
from redwingvalve.observability import node_metrics

MALFORMED = 400
BODY_TOO_LARGE = 413
HEAD_TOO_LARGE = 431
NO_ROOM = 503
# Bytes of a head as they arrive per byte of the names and values allowed: a
# line `a:b` has five, of which two count.
_RAW_HEAD_FACTOR: typing.Final = 4
# Received bytes that each byte of a body allows, itself among them. A chunk of
# one byte has six.
_RAW_BODY_FACTOR: typing.Final = 16
# What the parsed form of a header takes beside its bytes.
_HEADER_BYTES: typing.Final = 160
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


class RequestParser(byte_account.Holder):
    """Parses requests; the limits are read again for each check."""

    def __init__(
        self,
        handler: RequestHandler,
        limits: typing.Callable[[], ServerLimits],
        account: byte_account.ByteAccount = byte_account.UNLIMITED,
    ) -> None:
        """Create a parser that calls handler."""
        self.is_reading = False
        self.is_in_body = False
        self._handler = handler
        self._limits = limits
        self._parser: typing.Any = httptools.HttpRequestParser(self)
        self._target: list[bytes] = []
        self._headers: messages.Headers = []
        self._body = bytearray()
        self._head_bytes = 0
        self._account = account
        self._memory: byte_account.Hold | None = None
        self._announced_bytes = 0
        # Received for the current request and not explained by its body.
        self._raw_bytes = 0
        self.is_rejected = False

    def feed(self, data: bytes) -> None:
        """Parse received bytes."""
        if self.is_rejected:
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
        if not self.is_rejected:
            self.is_rejected = True
            self.is_reading = False
            node_metrics.METRICS.count(
                'redwingvalve_refused_reads', status=str(status)
            )
            self.clear()
            self._handler.refused(status)

    def clear(self) -> None:
        """Forget the current request, and give back what it holds."""
        memory = self._memory
        self._memory = None
        if memory is not None:
            memory.release()
        self._target = []
        self._headers = []
        self._body = bytearray()

    def moved_bytes(self) -> int:
        """Return what has arrived of the current request."""
        return self._head_bytes + len(self._body)

    def evict(self) -> None:
        """Refuse the current request, which arrives too slowly."""
        self.reject(NO_ROOM)

    def on_message_begin(self) -> None:
        """Start a head."""
        if self.is_rejected:
            return
        self.is_reading = True
        self._head_bytes = 0
        self._announced_bytes = 0
        self._target = []
        self._headers = []
        self._body = bytearray()
        # What was received with the end of another request isn't counted.
        self._raw_bytes = 0
        self._handler.head_started()

    def on_url(self, target: bytes) -> None:
        """Append to the target, which may arrive in several parts."""
        if self.is_rejected:
            return
        self._target.append(target)
        self._count_head(len(target))

    def on_header(self, name: bytes, content: bytes) -> None:
        """Collect a header."""
        if self.is_rejected:
            return
        self._headers.append((name.lower(), content))
        self._count_head(len(name) + len(content))

    def on_headers_complete(self) -> None:
        """Take room for the body; send 100 Continue if it is waited for."""
        if self.is_rejected:
            return
        self.is_in_body = True
        self._handler.head_completed()
        self._announced_bytes = self._read_length()
        if self._announced_bytes > self._limits().body_bytes:
            self.reject(BODY_TOO_LARGE)
            return
        self._take_room(self._announced_bytes)
        for name, content in self._headers:
            if name == b'expect' and content.lower() == b'100-continue':
                self._handler.write(_CONTINUE)

    def on_body(self, chunk: bytes) -> None:
        """Append a chunk of the body."""
        self._raw_bytes -= _RAW_BODY_FACTOR * len(chunk)
        if self.is_rejected:
            return
        size_bytes = len(self._body) + len(chunk)
        if size_bytes > self._limits().body_bytes:
            self.reject(BODY_TOO_LARGE)
            return
        self._body += chunk
        if size_bytes > self._announced_bytes:
            self._take_room(size_bytes)

    def on_message_complete(self) -> None:
        """Pass the complete request on."""
        self.is_reading = False
        self.is_in_body = False
        if self.is_rejected:
            return
        memory = self._memory
        self._memory = None
        if memory is not None:
            memory.settle()
        body = bytes(self._body)
        self._body = bytearray()
        self._handler.request_completed(
            messages.Request(
                method=self._parser.get_method(),
                target=b''.join(self._target),
                headers=self._headers,
                body=body,
                keep_alive=self._parser.should_keep_alive(),
                memory=memory,
            )
        )

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._limits().head_bytes:
            self.reject(HEAD_TOO_LARGE)
            return
        self._take_room(0)

    def _read_length(self) -> int:
        for name, content in self._headers:
            # The parser has refused any other.
            if name == b'content-length' and content.isdigit():
                return int(content)
        return 0

    def _take_room(self, body_bytes: int) -> None:
        """Hold the head and so much of the body, or refuse the request."""
        size_bytes = (
            self._head_bytes + _HEADER_BYTES * len(self._headers) + body_bytes
        )
        if size_bytes <= byte_account.GRAIN_BYTES:
            return
        if self._memory is None:
            self._memory = self._account.open(
                byte_account.Part.LONG_REQUESTS, self
            )
        if not self._memory.grow_to(size_bytes):
            self.reject(NO_ROOM)
