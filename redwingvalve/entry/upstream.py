"""How an entry talks to an endpoint, behind one abstract base class."""

import abc
from collections import abc as collections_abc

import attrs


@attrs.frozen
class UpstreamRequest:
    """A request as it goes to an endpoint; address is host:port."""

    address: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    request_id: str
    timeout_s: float


class UpstreamError(Exception):
    """A send failed; surely_not_run says that no byte reached the endpoint."""

    def __init__(self, message: str, *, not_sent: bool) -> None:
        """Keep what is known of the failure."""
        super().__init__(message)
        self.not_sent = not_sent


@attrs.define
class UpstreamResponse:
    """The head of an answer and its body, chunk by chunk as it arrives.

    Iterating raises UpstreamError when the connection breaks before the
    announced end of the body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    chunks: collections_abc.AsyncIterator[bytes]


class Upstream(abc.ABC):
    """Sends a request and streams its answer."""

    @abc.abstractmethod
    async def send(self, request: UpstreamRequest) -> UpstreamResponse:
        """Return the head of the answer; UpstreamError when none comes."""

    @abc.abstractmethod
    async def release(self, response: UpstreamResponse) -> None:
        """Close or reuse the connection; cancels an unfinished answer."""

    @abc.abstractmethod
    async def aclose(self) -> None:
        """Close all connections."""
