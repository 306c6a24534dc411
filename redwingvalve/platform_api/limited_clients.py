"""Clients of the platform that end answers without end.

Load pattern: a gateway or a faulty store sends a body without an end, or one
interim head after another. httpx joins the one, and waits for the end of the
other without a limit, as each piece begins its timeout anew.
"""

import contextlib
import math
import types
import typing
from collections import abc as collections_abc

import anyio
import httpx

from redwingvalve.http1 import held_bodies, response_limits

# An extension of requests whose answer has lines without end: the limit holds
# for each line.
EACH_LINE: typing.Final = types.MappingProxyType({'limit_each_line': True})
_PLAIN = 'identity'


class LineMeter:
    """Counts a body, or each of its lines."""

    def __init__(self, max_bytes: int, *, each_line: bool) -> None:
        """Start before the first byte."""
        self._max_bytes = max_bytes
        self._each_line = each_line
        self._size_bytes = 0

    def is_exceeded(self, part: bytes) -> bool:
        """Count a part; return whether it is too much."""
        line_end = part.rfind(b'\n') if self._each_line else -1
        if line_end >= 0:
            self._size_bytes = 0
        self._size_bytes += len(part) - line_end - 1
        return self._size_bytes > self._max_bytes


class _LimitedStream(httpx.AsyncByteStream):
    """A body that fails when it gets too long."""

    def __init__(self, body: httpx.AsyncByteStream, meter: LineMeter) -> None:
        self._body = body
        self._meter = meter

    async def __aiter__(self) -> collections_abc.AsyncIterator[bytes]:
        async for part in self._body:
            if self._meter.is_exceeded(part):
                await self.aclose()
                raise _too_long()
            yield part

    async def aclose(self) -> None:
        """Close the connection unless the body has ended."""
        await self._body.aclose()


class LimitedClient(httpx.AsyncClient):
    """Limits the heads of answers in time, and their bodies in bytes."""

    async def send(
        self,
        request: httpx.Request,
        *,
        stream: bool = False,
        **options: typing.Any,
    ) -> httpx.Response:
        """Return the answer; raise a TransportError if it has no end."""
        response = None
        with anyio.move_on_after(_longest_s(request)):
            response = await super().send(request, stream=True, **options)
        if response is None:
            raise httpx.ReadTimeout('no head of an answer in time')
        await _limit(response, request)
        if not stream:
            async with contextlib.aclosing(response):
                await response.aread()
        return response


def make_client(timeout_s: float, **options: typing.Any) -> httpx.AsyncClient:
    """Return a client with these timeouts and options of an AsyncClient."""
    return LimitedClient(
        timeout=timeout_s, headers={'accept-encoding': _PLAIN}, **options
    )


def _longest_s(request: httpx.Request) -> float:
    """Return the sum of the timeouts, each of which is of one step."""
    timeouts = request.extensions.get('timeout', {}).values()
    return sum(math.inf if each is None else each for each in timeouts)


async def _limit(response: httpx.Response, request: httpx.Request) -> None:
    if response.headers.get('content-encoding', _PLAIN) != _PLAIN:
        # A few bytes may unpack to any number.
        await response.aclose()
        raise httpx.RemoteProtocolError(
            'a compressed body, against the request'
        )
    meter = LineMeter(
        response_limits.DEFAULT.body_bytes,
        each_line=bool(request.extensions.get('limit_each_line')),
    )
    response.stream = _LimitedStream(response.stream, meter)


def _too_long() -> httpx.RemoteProtocolError:
    error = held_bodies.over_limit(
        response_limits.Limit.BODY, response_limits.DEFAULT.body_bytes
    )
    return httpx.RemoteProtocolError(str(error))
