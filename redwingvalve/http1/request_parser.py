"""Reads requests from the bytes of one connection, within bounds."""

import abc
import typing

import attrs
import httptools

from redwingvalve.http1 import messages

MALFORMED = 400
BODY_TOO_LARGE = 413
HEAD_TOO_LARGE = 431
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


@attrs.frozen
class ServerLimits:
    """Bounds on what a caller may send, and how slowly."""

    head_bytes: int
    body_bytes: int
    head_timeout_s: float
    idle_timeout_s: float


class RequestHandler(abc.ABC):
    """What is told of requests on a connection."""

    @abc.abstractmethod
    def begun(self) -> None:
        """Note that a head has begun."""

    @abc.abstractmethod
    def head_read(self) -> None:
        """Note that the body follows, if there is one."""

    @abc.abstractmethod
    def taken(self, request: messages.Request) -> None:
        """Take a whole request."""

    @abc.abstractmethod
    def refused(self, status: int) -> None:
        """Refuse what was read; nothing more is."""

    @abc.abstractmethod
    def write(self, data: bytes) -> None:
        """Send an interim answer."""


class RequestParser:
    """Parses requests; bounds are asked for anew at each."""

    def __init__(
        self,
        taker: RequestHandler,
        limits: typing.Callable[[], ServerLimits],
    ) -> None:
        """Tell the taker."""
        self.is_reading = False
        self._taker = taker
        self._limits = limits
        self._parser: typing.Any = httptools.HttpRequestParser(self)
        self._target = b''
        self._headers: messages.Headers = []
        self._body: list[bytes] = []
        self._in_head = False
        self._head_bytes = 0
        self._body_bytes = 0
        self._is_refused = False

    def feed(self, data: bytes) -> None:
        """Parse what came."""
        if self._is_refused:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self.refuse(MALFORMED)

    def refuse(self, status: int) -> None:
        """Read nothing more."""
        if not self._is_refused:
            self._is_refused = True
            self._taker.refused(status)

    def on_message_begin(self) -> None:
        """Start a head."""
        self.is_reading = True
        self._in_head = True
        self._head_bytes = 0
        self._body_bytes = 0
        self._target = b''
        self._headers = []
        self._body = []
        self._taker.begun()

    def on_url(self, target: bytes) -> None:
        """Collect the target, which may come in pieces."""
        self._target += target
        self._count_head(len(target))

    def on_header(self, name: bytes, content: bytes) -> None:
        """Collect a header."""
        self._headers.append((name.lower(), content))
        self._count_head(len(name) + len(content))

    def on_headers_complete(self) -> None:
        """Answer a caller that waits before it sends its body."""
        self._in_head = False
        self._taker.head_read()
        for name, content in self._headers:
            if name == b'expect' and content.lower() == b'100-continue':
                self._taker.write(_CONTINUE)

    def on_body(self, chunk: bytes) -> None:
        """Collect a piece of the body."""
        self._body_bytes += len(chunk)
        if self._body_bytes > self._limits().body_bytes:
            self.refuse(BODY_TOO_LARGE)
            return
        self._body.append(chunk)

    def on_message_complete(self) -> None:
        """Hand the request on."""
        self.is_reading = False
        if self._is_refused:
            return
        self._taker.taken(
            messages.Request(
                method=self._parser.get_method(),
                target=self._target,
                headers=self._headers,
                body=b''.join(self._body),
                keep_alive=self._parser.should_keep_alive(),
            )
        )

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._limits().head_bytes:
            self.refuse(HEAD_TOO_LARGE)
