"""Sends requests to endpoints with aiohttp and its compiled parser.

Everything else in this project uses httpx. Its reader takes two to three times
as much processor time per token as the rest of the relay together; see
docs/design/0032-relay-cost.md for the profile. Only responses of endpoints are
read with aiohttp.
"""

import asyncio
from collections import abc as collections_abc

import aiohttp
import anyio
import yarl

from redwingvalve.entry import upstream
from redwingvalve.http1 import limited_sessions

CONNECT_TIMEOUT_S = 1.0
MAX_CONNECTIONS = 4096
IDLE_CONNECTION_TIMEOUT_S = 20.0
CONNECTION_ERRORS = (aiohttp.ClientError, OSError, asyncio.TimeoutError)


class AiohttpUpstream(upstream.Upstream):
    """One connection pool for all endpoints, opened by the first request.

    Reads have no timeout of their own: a timer per read costs as much as the
    read. The cancel scopes of the calling code limit the time.
    """

    def __init__(self) -> None:
        """Open no session yet; it needs a running event loop."""
        self._session: aiohttp.ClientSession | None = None
        self._open_responses: dict[int, aiohttp.ClientResponse] = {}

    async def send(
        self, request: upstream.UpstreamRequest
    ) -> upstream.UpstreamResponse:
        """Return the response head; raise UpstreamError if none arrives."""
        if self._session is None:
            self._session = _make_session()
        try:
            with anyio.fail_after(request.timeout_s):
                raw_response = await self._session.request(
                    request.method,
                    yarl.URL(
                        f'http://{request.address}{request.path}', encoded=True
                    ),
                    headers=request.headers,
                    data=request.body,
                    allow_redirects=False,
                )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise upstream.UpstreamError(
                _describe(error), not_sent=True
            ) from error
        except CONNECTION_ERRORS as error:
            raise upstream.UpstreamError(
                _describe(error), not_sent=False
            ) from error
        try:
            upstream.require_final_status(raw_response.status)
        except upstream.UpstreamError:
            raw_response.close()
            raise
        response = upstream.UpstreamResponse(
            status=raw_response.status,
            headers=tuple(
                (name.lower(), text)
                for name, text in raw_response.headers.items()
            ),
            chunks=_Chunks(raw_response),
        )
        self._open_responses[id(response)] = raw_response
        return response

    async def release(self, response: upstream.UpstreamResponse) -> None:
        """Reuse the connection after a complete response, else close it."""
        raw_response = self._open_responses.pop(id(response), None)
        if raw_response is not None:
            raw_response.close()

    async def aclose(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()


class _Chunks(collections_abc.AsyncIterator[bytes]):
    """Body chunks as they arrive; a generator costs more than the read."""

    def __init__(self, raw_response: aiohttp.ClientResponse) -> None:
        self._read = raw_response.content.readany

    async def __anext__(self) -> bytes:
        try:
            chunk = await self._read()
        except CONNECTION_ERRORS as error:
            raise upstream.UpstreamError(
                _describe(error), not_sent=False
            ) from error
        if chunk:
            return chunk
        raise StopAsyncIteration


def _describe(error: Exception) -> str:
    return f'{type(error).__name__}: {error}'


def _make_session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=limited_sessions.make_connector(
            limit=MAX_CONNECTIONS,
            keepalive_timeout=IDLE_CONNECTION_TIMEOUT_S,
            use_dns_cache=False,
        ),
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S, sock_read=None
        ),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        trust_env=False,
        skip_auto_headers=('user-agent', 'accept-encoding'),
    )


def make_aiohttp_upstream() -> upstream.Upstream:
    """Return an upstream that ignores proxies, cookies and redirects."""
    return AiohttpUpstream()
