"""HTTP/1.1 server connections; each serves one request at a time.

Reading goes on while a request is being served, so that a caller's disconnect
is noticed at once. Pipelined requests wait in order.
"""

import abc
import asyncio
import time
import types
import typing

from redwingvalve.http1 import (
    byte_account,
    connection_limit,
    inactivity,
    messages,
    pipeline,
    request_parser,
    shared_buffer,
    slow_reader,
    stepped_reads,
)
from redwingvalve.observability import logs, node_metrics

# More is read in several turns.
READ_BYTES: typing.Final = 16_384
# How long the rest of a refused body is read and dropped, so that its sender
# gets the refusal: a connection that is closed with unread bytes is reset.
LINGER_S: typing.Final = 2.0
RETRY_AFTER: typing.Final = (b'retry-after', b'1')
HEAD_TIMEOUT = 408
# Idle connections that are closed later than this past their limit are counted
# apart: the process has stood still.
LATE_CLOSE_S = 0.25
_UNAVAILABLE = 503
LOG = logs.make_logger('server')
_REASONS: typing.Final = types.MappingProxyType(
    {
        200: b'OK',
        400: b'Bad Request',
        401: b'Unauthorized',
        404: b'Not Found',
        408: b'Request Timeout',
        421: b'Misdirected Request',
        413: b'Content Too Large',
        431: b'Request Header Fields Too Large',
        500: b'Internal Server Error',
        502: b'Bad Gateway',
        503: b'Service Unavailable',
        504: b'Gateway Timeout',
    }
)


class Application(abc.ABC):
    """Serves the requests of all connections."""

    account: byte_account.ByteAccount = byte_account.UNLIMITED
    connections = connection_limit.ConnectionLimit()
    # Of the sockets of the process; what all leave is for its own connects.
    socket_share = 0.125

    @abc.abstractmethod
    def limits(self) -> request_parser.ServerLimits:
        """Return the limits in force."""

    @abc.abstractmethod
    def is_closing(self) -> bool:
        """Return whether connections should close after their response."""

    @abc.abstractmethod
    def serve(self, request: messages.Request, responder: 'Responder') -> None:
        """Start serving a request; must not block.

        If it raises an error, nothing may have run.
        """


class Responder:
    """Writes the response to one request."""

    def __init__(self, connection: 'ServerConnection', keep: bool) -> None:
        """Write to a connection, which stays open afterwards if keep."""
        self.on_disconnect: typing.Callable[[], None] | None = None
        self.on_writable: typing.Callable[[], None] | None = None
        self.is_started = False
        self.is_done = False
        self.connection = connection
        self._keep = keep

    @property
    def is_disconnected(self) -> bool:
        """Return whether the caller has disconnected."""
        return self.connection.is_closed

    @property
    def is_write_paused(self) -> bool:
        """Return whether the write buffer is above its high-water mark."""
        return self.connection.reader.is_paused

    def send_response(
        self,
        status: int,
        headers: messages.Headers,
        body: bytes,
    ) -> None:
        """Send a complete response."""
        if self.is_done or self.is_started:
            return
        length = (b'content-length', b'%d' % len(body))
        head = self._head(status, [*headers, length])
        self.is_started = True
        messages.write(self.connection.write, head, body)
        self._end()

    def start(self, status: int, headers: messages.Headers) -> None:
        """Start a chunked response, whose length is not known in advance."""
        self.is_started = True
        chunked = (b'transfer-encoding', b'chunked')
        self.connection.write(self._head(status, [*headers, chunked]))

    def write(self, piece: bytes) -> None:
        """Send a chunk of the body; it must not be empty.

        An empty chunk would end the response.
        """
        if self.is_done:
            return
        self.connection.write(b'%x\r\n%b\r\n' % (len(piece), piece))

    def finish(self) -> None:
        """End a chunked response."""
        if self.is_done:
            return
        self.connection.write(b'0\r\n\r\n')
        self._end()

    def abort(self) -> None:
        """Abort the response so that it cannot be taken for complete."""
        if self.is_done:
            return
        self.is_done = True
        node_metrics.METRICS.count(
            'redwingvalve_aborted_answers', was_started=str(self.is_started)
        )
        self.connection.abort()

    def _head(self, status: int, headers: messages.Headers) -> bytes:
        reason = _REASONS.get(status, b'Status')
        # Requests that wait behind this one are served before the close.
        is_closing = self.connection.application.is_closing()
        if is_closing and not self.connection.pipelined:
            self._keep = False
        if not self._keep:
            headers = [*headers, (b'connection', b'close')]
        return messages.render_head(
            b'HTTP/1.1 %d %b' % (status, reason), headers
        )

    def _end(self) -> None:
        self.is_done = True
        self.on_disconnect = None
        self.connection.response_completed(self._keep)


class ServerConnection(
    shared_buffer.SharedBufferProtocol,
    request_parser.RequestHandler,
    connection_limit.Closable,
):
    """One connection of a caller."""

    read_buffer = shared_buffer.make_read_buffer(READ_BYTES)

    def __init__(self, application: Application) -> None:
        """Pass requests to the application."""
        self.application = application
        self.is_closed = False
        self.is_idle = True
        self.pipelined = pipeline.Pipeline()
        self._idle_since_s = time.monotonic()
        self._transport: asyncio.Transport | None = None
        self._parser = request_parser.RequestParser(
            self, application.limits, application.account
        )
        self._reads = stepped_reads.SteppedReads(self._parser.feed)
        self._timer = inactivity.InactivityTimer(self._expire)
        self.reader = slow_reader.SlowReader(application.account)
        self._current: Responder | None = None
        self._request: messages.Request | None = None
        self._is_lingering = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the idle timeout for the first head."""
        self._idle_since_s = time.monotonic()
        self._transport = typing.cast(asyncio.Transport, transport)
        self.reader.start(self._transport)
        self._reads.start(self._transport)
        self._timer.start(self._idle_limit_s)
        self.application.connections.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the request being served, and give back what is held."""
        self.is_closed = True
        self._reads.abort()
        self._timer.stop()
        self.reader.end()
        self._parser.clear()
        self.pipelined.clear()
        self._request_ended()
        self.application.connections.closed(self)
        responder = self._current
        self._current = None
        if responder is not None and responder.on_disconnect is not None:
            responder.on_disconnect()

    def pause_writing(self) -> None:
        """Record that the write buffer is full."""
        self.reader.paused()

    def resume_writing(self) -> None:
        """Let the response, or the next one, write again."""
        self.reader.resumed()
        current = self._current
        if current is None:
            self._serve_next()
        elif current.on_writable is not None:
            current.on_writable()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, many of them in several steps."""
        if self._is_lingering:
            return
        self.is_idle = False
        if self._parser.is_in_body:
            self._timer.touch()
        self._reads.received(data)

    def head_started(self) -> None:
        """Start the timeout for a head."""
        self._timer.start(lambda: self.application.limits().head_timeout_s)

    def head_completed(self) -> None:
        """Start the timeout for a body, which lasts while bytes arrive.

        Bodies may be long and the link slow.
        """
        self._timer.start(self._idle_limit_s)

    def request_completed(self, request: messages.Request) -> None:
        """Queue a request behind the earlier ones of the connection."""
        self._timer.stop()
        self.pipelined.push(request)
        self._serve_next()
        if self.pipelined.is_full:
            self._reads.pause()

    def refused(self, status: int) -> None:
        """Respond to a request that cannot be parsed, and close.

        The requests before it are answered first.
        """
        self._timer.stop()
        self.pipelined.refused_status = status
        self._serve_next()

    def write(self, data: bytes) -> None:
        """Send bytes unless the connection is closed."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def abort(self) -> None:
        """Reset the connection."""
        self._current = None
        self._reads.abort()

    def response_completed(self, keep: bool) -> None:
        """Serve the next request, or close after the last response."""
        self._current = None
        self._request_ended()
        if self._transport is None or self._transport.is_closing():
            return
        if not keep:
            self._end()
        elif not self.pipelined.is_empty:
            self._serve_next()
            if not self.pipelined.is_full:
                self._reads.resume()
        elif not self._parser.is_reading:
            self.is_idle = not self._reads.has_waiting
            self._idle_since_s = time.monotonic()
            self._timer.start(self._idle_limit_s)

    def close_if_idle(self, min_idle_s: float = 0) -> None:
        """Close the connection if it had no request for at least that long."""
        idle_s = time.monotonic() - self._idle_since_s
        if (
            self.is_idle
            and idle_s >= min_idle_s
            and self._transport is not None
        ):
            self._transport.close()

    def _serve_next(self) -> None:
        if self._current is not None:
            return
        if self.reader.is_paused:
            # Ends unless the caller reads its last answer.
            if not self._parser.is_reading:
                self._timer.start(self._idle_limit_s)
            return
        if self.pipelined:
            self._serve(self.pipelined.pop())
            return
        status = self.pipelined.refused_status
        if status is not None and not self._is_lingering:
            headers = [RETRY_AFTER] if status == _UNAVAILABLE else []
            Responder(self, keep=False).send_response(status, headers, b'')

    def _serve(self, request: messages.Request) -> None:
        self._request = request
        if not self._parser.is_reading:
            self._timer.stop()
        self.application.connections.request_started(self)
        responder = Responder(self, request.keep_alive)
        self._current = responder
        try:
            self.application.serve(request, responder)
        except Exception:
            LOG.exception('request not served')
            responder.send_response(_UNAVAILABLE, [], b'')

    def _request_ended(self) -> None:
        request = self._request
        self._request = None
        if request is not None:
            request.release()
            self.application.connections.request_ended(self)

    def _end(self) -> None:
        """Close after the last response, or once a refused body has ended."""
        assert self._transport is not None
        if not (self._parser.is_rejected and self._parser.is_in_body):
            self._transport.close()
            return
        self._is_lingering = True
        self.is_idle = True
        self._transport.write_eof()
        self._timer.start(lambda: LINGER_S)

    def _idle_limit_s(self) -> float:
        return self.application.limits().idle_timeout_s

    def _expire(self) -> None:
        assert self._transport is not None
        if self._is_lingering:
            self.abort()
        elif self._reads.has_waiting or self.reader.note_progress():
            self._timer.start(self._idle_limit_s)
        elif self._parser.is_reading:
            self._parser.reject(HEAD_TIMEOUT)
        elif self.reader.unsent_bytes:
            self.abort()
        else:
            _count_idle_close(
                time.monotonic() - self._idle_since_s, self._idle_limit_s()
            )
            self._transport.close()


def _count_idle_close(idle_s: float, limit_s: float) -> None:
    node_metrics.METRICS.count(
        'redwingvalve_idle_closes',
        is_early=str(idle_s < limit_s),
        is_late=str(idle_s > limit_s + LATE_CLOSE_S),
    )
