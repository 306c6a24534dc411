"""The interface through which an entry sends requests to endpoints."""

import abc
from collections import abc as collections_abc

import attrs

_FIRST_FINAL_STATUS = 200
_LAST_STATUS = 599


@attrs.frozen
class UpstreamRequest:
    """A request as sent to an endpoint; address is host:port."""

    address: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    request_id: str
    timeout_s: float


class UpstreamError(Exception):
    """An upstream request failed.

    not_sent means that no byte of it reached the endpoint.
    """

    def __init__(self, message: str, *, not_sent: bool) -> None:
        """Store the message and whether nothing was sent."""
        super().__init__(message)
        self.not_sent = not_sent


def require_final_status(status: int) -> None:
    """Raise UpstreamError for a status that HTTP defines for no answer."""
    if not _FIRST_FINAL_STATUS <= status <= _LAST_STATUS:
        raise UpstreamError(f'undefined status {status}', not_sent=False)


@attrs.define
class UpstreamResponse:
    """A response head and an iterator over the chunks of its body.

    Iterating raises UpstreamError if the connection breaks before the
    announced end of the body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    chunks: collections_abc.AsyncIterator[bytes]


class Upstream(abc.ABC):
    """Sends requests and streams their responses."""

    @abc.abstractmethod
    async def send(self, request: UpstreamRequest) -> UpstreamResponse:
        """Return the response head; raise UpstreamError if none arrives."""

    @abc.abstractmethod
    async def release(self, response: UpstreamResponse) -> None:
        """Close or reuse the connection; cancels an incomplete response."""

    @abc.abstractmethod
    async def aclose(self) -> None:
        """Close all connections."""
