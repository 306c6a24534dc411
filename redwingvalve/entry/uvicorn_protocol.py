"""uvicorn's HTTP protocol with limits on the request head.

uvicorn limits neither the time nor the size of a request head. Without limits,
callers that connect and send nothing, or send a header byte by byte, hold a
connection each until the entry runs out of file descriptors. A timer from the
first byte to the end of the head and a size limit are enough for each of them:
the application limits the body, and reading is paused while nobody reads it.
Their number is limited, too: at the limit a new connection takes the place of
the one that has been without a whole request for longest.
"""

import asyncio
import functools
import json
import math
import typing
from collections import abc as collections_abc

import httptools
from uvicorn.protocols.http import httptools_impl

from redwingvalve.core import outcomes
from redwingvalve.http1 import connection_limit

# Far more than a head needs on any network. Also the time that a new connection
# may stay idle; connection pools that open connections in advance need it.
HEAD_TIMEOUT_S = 30.0
# The limit of hypercorn and most proxies; trace state and credentials fit.
MAX_HEAD_BYTES = 16_384
# Loops run timers before they read: what has arrived while the process stood
# still is read before a connection counts as idle.
SETTLE_S = 0.01
MALFORMED_STATUS = 400
HEAD_TOO_LARGE_STATUS = 431


class CallerProtocol(
    httptools_impl.HttpToolsProtocol, connection_limit.Closable
):
    """Closes slow connections, rejects large heads, sends errors as JSON."""

    head_timeout_s = HEAD_TIMEOUT_S

    def __init__(
        self,
        *args: typing.Any,
        connections: connection_limit.ConnectionLimit,
        **named: typing.Any,
    ) -> None:
        """Start in the state before a request head."""
        super().__init__(*args, **named)
        self._connections = connections
        # Whether the next response is the last one.
        self.is_stopping = False
        self._in_head = True
        self._head_bytes = 0
        self._head_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start the timer of the first head."""
        super().connection_made(transport)
        self._start_head_timer()
        self._connections.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timers."""
        self._stop_head_timer()
        super().connection_lost(exc)
        self._unset_keepalive_if_required()
        self._connections.closed(self)

    def abort(self) -> None:
        """Reset the connection."""
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse data, then apply the limits to an incomplete head."""
        self._unset_keepalive_if_required()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request gets a normal response; later bytes aren't read.
            return
        except httptools.HttpParserError as error:
            self._refuse(
                MALFORMED_STATUS, 'malformed-request', f'invalid HTTP: {error}'
            )
            return
        self._enforce_head_limits(data)

    def on_message_begin(self) -> None:
        """Start to count the bytes of a new head."""
        super().on_message_begin()
        self._in_head = True
        self._head_bytes = 0

    def on_headers_complete(self) -> None:
        """Pass the request to the application; upgrades are ignored."""
        self._in_head = False
        self._stop_head_timer()
        super().on_headers_complete()
        if self.is_stopping or self.parser.should_upgrade():
            # The parser stops after an upgrade request; the next request on
            # this connection would never be answered.
            self.cycle.keep_alive = False

    def on_message_complete(self) -> None:
        """Keep the connection until its request is answered."""
        super().on_message_complete()
        if not self._idle:
            self._connections.request_started(self)

    def on_response_complete(self) -> None:
        """Serve the next request, if it is here already."""
        super().on_response_complete()
        if self._idle and not self.transport.is_closing():
            self._connections.request_ended(self)

    def timeout_keep_alive_handler(self) -> None:
        """Close an idle connection unless a request has arrived."""
        self.timeout_keep_alive_task = self.loop.call_later(
            SETTLE_S, super().timeout_keep_alive_handler
        )

    @property
    def _idle(self) -> bool:
        return self.cycle is None or self.cycle.response_complete

    @property
    def _receiving_body(self) -> bool:
        """Return whether the only request is incomplete, so can't run yet."""
        return (
            not self.pipeline
            and self.cycle.more_body
            and not self.cycle.response_started
        )

    def _enforce_head_limits(self, data: bytes) -> None:
        if self.transport.is_closing():
            return
        if self._in_head:
            self._head_bytes += len(data)
            self._start_head_timer()
            if self._head_bytes > MAX_HEAD_BYTES:
                self._refuse(
                    HEAD_TOO_LARGE_STATUS,
                    'head-too-large',
                    f'request head exceeds {MAX_HEAD_BYTES} bytes',
                )
        elif self._idle and self.timeout_keep_alive_task is None:
            # Empty lines between requests don't start a head, so the
            # keep-alive timeout still applies.
            self.timeout_keep_alive_task = self.loop.call_later(
                self.timeout_keep_alive, self.timeout_keep_alive_handler
            )

    def _refuse(self, status: int, code: str, message: str) -> None:
        """Send an error and close, or cut off a response in progress.

        Bytes written into a body in progress would be read as part of it.
        Closing without the end of the body shows the caller that the response
        is incomplete.
        """
        if self._idle or self._receiving_body:
            self.transport.write(_error_response(status, code, message))
        self.transport.close()

    def _start_head_timer(self) -> None:
        if self._head_timer is None:
            self._head_timer = self.loop.call_later(
                self.head_timeout_s, self._on_head_timeout
            )

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _on_head_timeout(self) -> None:
        self._head_timer = self.loop.call_later(SETTLE_S, self._close_if_idle)

    def _close_if_idle(self) -> None:
        self._head_timer = None
        if self._idle:
            self.transport.close()


def _error_response(status: int, code: str, message: str) -> bytes:
    error = outcomes.ErrorResponse(
        status=status,
        code=code,
        message=message,
        outcome=outcomes.Outcome.NOT_RUN,
    )
    body = json.dumps(error.body()).encode()
    head = (
        f'content-type: application/json\r\ncontent-length: {len(body)}\r\n'
        f'{outcomes.OUTCOME_HEADER}: {error.outcome.value}\r\n'
        'connection: close\r\n\r\n'
    )
    return httptools_impl.STATUS_LINE[status] + head.encode() + body


def make_protocol_factory(
    max_connections: float = math.inf,
    protocol: type[CallerProtocol] = CallerProtocol,
) -> collections_abc.Callable[..., CallerProtocol]:
    """Return what makes the protocol of each connection of one server."""
    return functools.partial(
        protocol, connections=connection_limit.ConnectionLimit(max_connections)
    )
