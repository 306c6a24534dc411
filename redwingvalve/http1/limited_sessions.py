"""Connections of aiohttp that end answers of too many bytes beside a body.

aiohttp limits each line of a head and the number of headers, not the head as a
whole, and neither interim heads, trailers nor chunk extensions. Bodies aren't
limited here: they are read only as far as their reader wants.
"""

import asyncio
import functools
import typing

import aiohttp
from aiohttp import client_proto, http, streams

from redwingvalve.http1 import response_limits


class LimitedResponseHandler(client_proto.ResponseHandler):
    """Counts the bytes that arrive for one request."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start without a request."""
        super().__init__(loop)
        self._received_bytes = 0
        # The body of the response to the previous request.
        self._previous: streams.StreamReader | None = None

    def set_response_params(self, **params: typing.Any) -> None:
        """Expect the response to the next request."""
        self._received_bytes = 0
        self._previous = self._payload
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived; end the connection if it is too much."""
        self._received_bytes += len(data)
        super().data_received(data)
        if self._received_bytes > response_limits.DEFAULT.head_bytes:
            self._check()

    def _check(self) -> None:
        payload = self._payload
        body_bytes = 0
        if payload is not None and payload is not self._previous:
            body_bytes = payload.total_bytes
        excess = response_limits.excess_beside_body(
            self._received_bytes, body_bytes, response_limits.DEFAULT
        )
        transport = self.transport
        if excess is None or transport is None or transport.is_closing():
            return
        response_limits.count(excess)
        self.set_exception(http.HttpProcessingError(message=excess.reason))
        # Not close(): what is waiting to be sent would hold the connection.
        transport.abort()


class LimitedConnector(aiohttp.TCPConnector):
    """Opens connections with limits; belongs to the running event loop."""

    def __init__(self, **options: typing.Any) -> None:
        """Take the options of a TCPConnector."""
        super().__init__(**options)
        self._factory = functools.partial(
            LimitedResponseHandler, loop=asyncio.get_running_loop()
        )


def make_connector(**options: typing.Any) -> aiohttp.TCPConnector:
    """Return a connector whose answers are limited."""
    return LimitedConnector(**options)
