"""The abstract routing policy that the entry calls."""

import abc
from collections import abc as collections_abc

from redwingvalve.routing import messages

Permitted = collections_abc.Callable[[messages.Candidate], bool]


def permit_all(candidate: messages.Candidate) -> bool:
    """Permit every candidate; for tests and services without evidence."""
    return True


class RoutingPolicy(abc.ABC):
    """Chooses an endpoint and learns from what becomes of requests.

    The caller reports sent right after a choice, first_token when it comes,
    and finished once for every sent request.
    """

    @abc.abstractmethod
    def replace_candidates(
        self,
        candidates: collections_abc.Sequence[messages.Candidate],
        now_s: float,
    ) -> None:
        """Take over the candidates; what is known of the old ones stays."""

    @abc.abstractmethod
    def choose(
        self,
        request: messages.RouteRequest,
        now_s: float,
        permitted: Permitted = permit_all,
    ) -> messages.Candidate | None:
        """Return where to send, or None when nothing may be sent to."""

    @abc.abstractmethod
    def sent(
        self, request: messages.RouteRequest, name: str, now_s: float
    ) -> None:
        """Count a request at an endpoint from now on."""

    @abc.abstractmethod
    def first_token(self, request_id: str, now_s: float) -> None:
        """Learn when the first token of a request came."""

    @abc.abstractmethod
    def progressed(self, request_id: str, tokens: float, now_s: float) -> None:
        """Learn how many tokens of a stream came so far.

        Call it about once a second for each stream, not for each token.
        """

    @abc.abstractmethod
    def stalled(self, request_id: str, now_s: float) -> None:
        """Learn that a stream stands still although it isn't finished."""

    @abc.abstractmethod
    def finished(self, request_id: str, now_s: float) -> None:
        """Count a request no longer."""

    @abc.abstractmethod
    def load_reported(
        self, name: str, report: messages.LoadReport, now_s: float
    ) -> None:
        """Take in what an endpoint says of its load."""

    @abc.abstractmethod
    def prefix_stored(self, name: str, prefix_hash: str) -> None:
        """Learn that an endpoint holds a prefix."""

    @abc.abstractmethod
    def prefix_removed(self, name: str, prefix_hash: str) -> None:
        """Learn that an endpoint gave up a prefix."""

    @abc.abstractmethod
    def forget_prefixes(self, name: str) -> None:
        """Forget what an endpoint holds, after a gap in its events."""
