"""Sends requests to endpoints with aiohttp's compiled reader.

httpx is the rule of the house. Its reader takes two to three times as much
processor time for a token as all the rest of the relay; see
docs/design/0032-relay-cost.md for the profile. Only endpoints are read with
this.
"""

import asyncio
from collections import abc as collections_abc

import aiohttp
import anyio
import yarl

from redwingvalve.entry import upstream

CONNECT_TIMEOUT_S = 1.0
MAX_CONNECTIONS = 4096
IDLE_CONNECTION_S = 20.0
BROKEN = (aiohttp.ClientError, OSError, asyncio.TimeoutError)


class AiohttpUpstream(upstream.Upstream):
    """One pool of connections to all endpoints, opened with the first send.

    Timeouts stand in the callers' cancel scopes alone: a timer for each read
    costs as much as the read.
    """

    def __init__(self) -> None:
        """Open nothing yet; a session belongs to a running loop."""
        self._session: aiohttp.ClientSession | None = None
        self._open: dict[int, aiohttp.ClientResponse] = {}

    async def send(
        self, request: upstream.UpstreamRequest
    ) -> upstream.UpstreamAnswer:
        """Return the head of the answer; UpstreamError when none comes."""
        if self._session is None:
            self._session = _make_session()
        try:
            with anyio.fail_after(request.timeout_s):
                response = await self._session.request(
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
                _describe(error), surely_not_run=True
            ) from error
        except BROKEN as error:
            raise upstream.UpstreamError(
                _describe(error), surely_not_run=False
            ) from error
        answer = upstream.UpstreamAnswer(
            status=response.status,
            headers=tuple(
                (name.lower(), text) for name, text in response.headers.items()
            ),
            chunks=_Chunks(response),
        )
        self._open[id(answer)] = response
        return answer

    async def release(self, answer: upstream.UpstreamAnswer) -> None:
        """Reuse the connection after a whole answer, close it otherwise."""
        response = self._open.pop(id(answer), None)
        if response is not None:
            response.close()

    async def aclose(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()


class _Chunks(collections_abc.AsyncIterator[bytes]):
    """The body as it arrives; a generator would cost more than the read."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self._read = response.content.readany

    async def __anext__(self) -> bytes:
        try:
            chunk = await self._read()
        except BROKEN as error:
            raise upstream.UpstreamError(
                _describe(error), surely_not_run=False
            ) from error
        if chunk:
            return chunk
        raise StopAsyncIteration


def _describe(error: Exception) -> str:
    return f'{type(error).__name__}: {error}'


def _make_session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=MAX_CONNECTIONS,
            keepalive_timeout=IDLE_CONNECTION_S,
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
