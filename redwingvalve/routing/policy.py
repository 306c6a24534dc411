"""The abstract routing policy that the entry calls."""

import abc
from collections import abc as collections_abc

from redwingvalve.routing import messages

Permitted = collections_abc.Callable[[messages.Candidate], bool]


def permit_all(candidate: messages.Candidate) -> bool:
    """Permit every candidate; for tests and services without evidence."""
    return True


class RoutingPolicy(abc.ABC):
    """Chooses endpoints and observes the requests sent to them.

    The caller calls sent right after a choice, first_token on the first token,
    and finished exactly once for every request sent.
    """

    @abc.abstractmethod
    def replace_candidates(
        self,
        candidates: collections_abc.Sequence[messages.Candidate],
        now_s: float,
    ) -> None:
        """Replace the candidates; those that remain keep their state."""

    @abc.abstractmethod
    def choose(
        self,
        request: messages.RouteRequest,
        now_s: float,
        permitted: Permitted = permit_all,
    ) -> messages.Candidate | None:
        """Return the candidate to send to, or None if none is allowed."""

    @abc.abstractmethod
    def sent(
        self, request: messages.RouteRequest, name: str, now_s: float
    ) -> None:
        """Record that a request was sent to an endpoint."""

    @abc.abstractmethod
    def first_token(self, request_id: str, now_s: float) -> None:
        """Record the first token of a request."""

    @abc.abstractmethod
    def progressed(self, request_id: str, tokens: float, now_s: float) -> None:
        """Record the number of tokens that a stream has delivered so far.

        Call it about once a second for each stream, not for each token.
        """

    @abc.abstractmethod
    def stalled(self, request_id: str, now_s: float) -> None:
        """Record that an unfinished stream has stalled."""

    @abc.abstractmethod
    def finished(self, request_id: str, now_s: float) -> None:
        """Record that a request has ended."""

    @abc.abstractmethod
    def load_reported(
        self, name: str, report: messages.LoadReport, now_s: float
    ) -> None:
        """Apply a load report of an endpoint."""

    @abc.abstractmethod
    def prefix_stored(self, name: str, prefix_hash: str) -> None:
        """Record that an endpoint holds a prefix."""

    @abc.abstractmethod
    def prefix_removed(self, name: str, prefix_hash: str) -> None:
        """Record that an endpoint evicted a prefix."""

    @abc.abstractmethod
    def forget_prefixes(self, name: str) -> None:
        """Forget all prefixes of an endpoint, as after a gap in its events."""
