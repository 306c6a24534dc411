"""Sends requests to endpoints with httpx."""

import ssl
from collections import abc as collections_abc

import anyio
import httpx

from redwingvalve.entry import upstream

CONNECT_TIMEOUT_S = 1.0
MAX_CONNECTIONS = 4096
MAX_IDLE_CONNECTIONS = 512
IDLE_CONNECTION_TIMEOUT_S = 20.0
# These errors are raised before any byte of the request was sent.
NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class HttpxUpstream(upstream.Upstream):
    """One connection pool for all endpoints."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        """Send through client; aclose closes it."""
        self._client = client
        self._open_responses: dict[int, httpx.Response] = {}

    async def send(
        self, request: upstream.UpstreamRequest
    ) -> upstream.UpstreamResponse:
        """Return the response head; raise UpstreamError if none arrives."""
        built = self._client.build_request(
            request.method,
            f'http://{request.address}{request.path}',
            headers=list(request.headers),
            content=request.body,
            timeout=httpx.Timeout(request.timeout_s, connect=CONNECT_TIMEOUT_S),
        )
        try:
            raw_response = await self._client.send(built, stream=True)
        except NOT_SENT_ERRORS as error:
            raise upstream.UpstreamError(
                _describe(error), not_sent=True
            ) from error
        except (httpx.HTTPError, httpx.InvalidURL, ssl.SSLError) as error:
            raise upstream.UpstreamError(
                _describe(error), not_sent=False
            ) from error
        try:
            upstream.require_final_status(raw_response.status_code)
        except upstream.UpstreamError:
            await raw_response.aclose()
            raise
        response = upstream.UpstreamResponse(
            status=raw_response.status_code,
            headers=tuple(
                (name.lower(), text)
                for name, text in raw_response.headers.multi_items()
            ),
            chunks=_chunks(raw_response),
        )
        self._open_responses[id(response)] = raw_response
        return response

    async def release(self, response: upstream.UpstreamResponse) -> None:
        """Close or reuse the connection; cancels an incomplete response."""
        raw_response = self._open_responses.pop(id(response), None)
        if raw_response is None:
            return
        with anyio.CancelScope(shield=True):
            await raw_response.aclose()

    async def aclose(self) -> None:
        """Close all connections."""
        await self._client.aclose()


async def _chunks(
    raw_response: httpx.Response,
) -> collections_abc.AsyncIterator[bytes]:
    try:
        async for chunk in raw_response.aiter_raw():
            yield chunk
    except (httpx.HTTPError, httpx.StreamError) as error:
        raise upstream.UpstreamError(
            _describe(error), not_sent=False
        ) from error


def _describe(error: Exception) -> str:
    return f'{type(error).__name__}: {error}'


def make_httpx_upstream() -> upstream.Upstream:
    """Return an upstream that ignores proxies and redirects."""
    limits = httpx.Limits(
        max_connections=MAX_CONNECTIONS,
        max_keepalive_connections=MAX_IDLE_CONNECTIONS,
        keepalive_expiry=IDLE_CONNECTION_TIMEOUT_S,
    )
    return HttpxUpstream(
        httpx.AsyncClient(
            limits=limits,
            trust_env=False,
            follow_redirects=False,
            headers={'accept-encoding': 'identity'},
        )
    )
