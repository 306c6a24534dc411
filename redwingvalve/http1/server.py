"""Serves callers' connections; one request of a connection at a time.

While a request is answered its connection is read on, so that a caller that
leaves is noticed at once; later requests on it wait in order.
"""

import abc
import asyncio
import collections
import types
import typing

from redwingvalve.http1 import messages, request_parser

# Requests that a caller sent ahead; more are not read until some are answered.
MAX_PIPELINED = 8
HEAD_TIMEOUT = 408
_REASONS: typing.Final = types.MappingProxyType(
    {
        200: b'OK',
        400: b'Bad Request',
        401: b'Unauthorized',
        404: b'Not Found',
        408: b'Request Timeout',
        413: b'Content Too Large',
        431: b'Request Header Fields Too Large',
        500: b'Internal Server Error',
        502: b'Bad Gateway',
        503: b'Service Unavailable',
        504: b'Gateway Timeout',
    }
)


class Application(abc.ABC):
    """What answers the requests of all connections."""

    @abc.abstractmethod
    def limits(self) -> request_parser.ServerLimits:
        """Return the bounds in force."""

    @abc.abstractmethod
    def is_closing(self) -> bool:
        """Return whether answers should end their connections."""

    @abc.abstractmethod
    def serve(self, request: messages.Request, responder: 'Responder') -> None:
        """Start to answer a request; returns at once."""


class Responder:
    """The answer to one request."""

    def __init__(self, connection: 'ServerConnection', keep: bool) -> None:
        """Answer on a connection that is kept afterwards if keep."""
        self.on_disconnect: typing.Callable[[], None] | None = None
        self.on_writable: typing.Callable[[], None] | None = None
        self.is_started = False
        self.is_done = False
        self.connection = connection
        self._keep = keep

    @property
    def is_disconnected(self) -> bool:
        """Return whether the caller has left."""
        return self.connection.is_closed

    @property
    def is_write_paused(self) -> bool:
        """Return whether the caller reads more slowly than we write."""
        return self.connection.is_write_paused

    def send_response(
        self, status: int, headers: messages.Headers, body: bytes
    ) -> None:
        """Send a whole answer."""
        if self.is_done or self.is_started:
            return
        length = (b'content-length', b'%d' % len(body))
        head = self._head(status, [*headers, length])
        self.is_started = True
        self.connection.write(head + body)
        self._end()

    def start(self, status: int, headers: messages.Headers) -> None:
        """Begin an answer whose length isn't known."""
        self.is_started = True
        chunked = (b'transfer-encoding', b'chunked')
        self.connection.write(self._head(status, [*headers, chunked]))

    def write(self, piece: bytes) -> None:
        """Send a piece of the body; it must not be empty."""
        if self.is_done:
            return
        self.connection.write(b'%x\r\n%b\r\n' % (len(piece), piece))

    def finish(self) -> None:
        """End an answer that start began."""
        if self.is_done:
            return
        self.connection.write(b'0\r\n\r\n')
        self._end()

    def abort(self) -> None:
        """Break the answer off so that it can't pass as complete."""
        if self.is_done:
            return
        self.is_done = True
        self.connection.abort()

    def _head(self, status: int, headers: messages.Headers) -> bytes:
        reason = _REASONS.get(status, b'Status')
        if self.connection.application.is_closing():
            self._keep = False
        if not self._keep:
            headers = [*headers, (b'connection', b'close')]
        return messages.render_head(
            b'HTTP/1.1 %d %b' % (status, reason), headers
        )

    def _end(self) -> None:
        self.is_done = True
        self.on_disconnect = None
        self.connection.answered(self._keep)


class ServerConnection(asyncio.Protocol, request_parser.RequestHandler):
    """One connection of a caller."""

    def __init__(self, application: Application) -> None:
        """Hand requests to the application."""
        self.application = application
        self.is_closed = False
        self.is_write_paused = False
        self.is_idle = True
        self._transport: asyncio.Transport | None = None
        self._reader = request_parser.RequestParser(self, application.limits)
        self._timer: asyncio.TimerHandle | None = None
        self._waiting: collections.deque[messages.Request] = collections.deque()
        self._current: Responder | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Expect the first head within the idle time."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._restart_timer(self.application.limits().idle_timeout_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the request that is being answered."""
        self.is_closed = True
        self._stop_timer()
        self._waiting.clear()
        responder = self._current
        self._current = None
        if responder is not None and responder.on_disconnect is not None:
            responder.on_disconnect()

    def eof_received(self) -> bool:
        """Close; a caller that ends its side has left."""
        return False

    def pause_writing(self) -> None:
        """Note that the caller reads slowly."""
        self.is_write_paused = True

    def resume_writing(self) -> None:
        """Note that the caller has caught up."""
        self.is_write_paused = False
        current = self._current
        if current is not None and current.on_writable is not None:
            current.on_writable()

    def data_received(self, data: bytes) -> None:
        """Parse what came."""
        self.is_idle = False
        self._reader.feed(data)

    def begun(self) -> None:
        """Bound the time of a head."""
        self._restart_timer(self.application.limits().head_timeout_s)

    def head_read(self) -> None:
        """Bound the time of a body, which may be long and the link slow."""
        self._restart_timer(self.application.limits().idle_timeout_s)

    def taken(self, request: messages.Request) -> None:
        """Answer a request when those before it are answered."""
        self._stop_timer()
        self._waiting.append(request)
        if len(self._waiting) > MAX_PIPELINED and self._transport:
            self._transport.pause_reading()
        self._serve_next()

    def refused(self, status: int) -> None:
        """Answer a request that can't be read, and close."""
        if self._current is None:
            Responder(self, keep=False).send_response(status, [], b'')
        elif self._transport is not None:
            self._transport.close()

    def write(self, data: bytes) -> None:
        """Send bytes if the caller is still there."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def abort(self) -> None:
        """Reset the connection."""
        self._current = None
        if self._transport is not None:
            self._transport.abort()

    def answered(self, keep: bool) -> None:
        """Go on with the next request, or close after the last answer."""
        self._current = None
        if self._transport is None or self._transport.is_closing():
            return
        if not keep:
            self._transport.close()
            return
        if self._waiting:
            self._transport.resume_reading()
            self._serve_next()
        elif not self._reader.is_reading:
            self.is_idle = True
            self._restart_timer(self.application.limits().idle_timeout_s)

    def close_if_idle(self) -> None:
        """Close a connection on which no request waits."""
        if self.is_idle and self._transport is not None:
            self._transport.close()

    def _serve_next(self) -> None:
        if self._current is not None or not self._waiting:
            return
        request = self._waiting.popleft()
        responder = Responder(self, request.keep_alive)
        self._current = responder
        self.application.serve(request, responder)

    def _restart_timer(self, duration_s: float) -> None:
        self._stop_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(duration_s, self._expire)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _expire(self) -> None:
        if self._reader.is_reading:
            self._reader.refuse(HEAD_TIMEOUT)
        elif self._transport is not None:
            self._transport.close()
