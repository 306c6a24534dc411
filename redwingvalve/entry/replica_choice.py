"""Which replica gets the next send; the policy stands in routing."""

import abc
import collections
from collections import abc as collections_abc

from redwingvalve.configuration import snapshot
from redwingvalve.entry import model_request


class ReplicaChoice(abc.ABC):
    """Chooses among replicas that may be sent to, and hears what came."""

    @abc.abstractmethod
    def choose(
        self,
        candidates: collections_abc.Sequence[snapshot.Replica],
        request: model_request.ModelRequest,
        now_s: float,
    ) -> snapshot.Replica | None:
        """Return a replica, or None when no candidate may take it."""

    @abc.abstractmethod
    def began(self, replica: snapshot.Replica, tokens: int) -> None:
        """Count a send, before the first byte goes."""

    @abc.abstractmethod
    def ended(
        self, replica: snapshot.Replica, tokens: int, *, succeeded: bool
    ) -> None:
        """Count the end of a send that began with so many tokens."""


class LeastInFlight(ReplicaChoice):
    """The replica with the fewest own requests; the plain baseline."""

    def __init__(self) -> None:
        """Start with nothing in flight."""
        self._in_flight: collections.Counter[str] = collections.Counter()

    def choose(
        self,
        candidates: collections_abc.Sequence[snapshot.Replica],
        request: model_request.ModelRequest,
        now_s: float,
    ) -> snapshot.Replica | None:
        """Return the candidate with the fewest requests of this entry."""
        return min(
            candidates,
            key=lambda replica: (self._in_flight[replica.name], replica.name),
            default=None,
        )

    def began(self, replica: snapshot.Replica, tokens: int) -> None:
        """Count a request up."""
        self._in_flight[replica.name] += 1

    def ended(
        self, replica: snapshot.Replica, tokens: int, *, succeeded: bool
    ) -> None:
        """Count a request down."""
        self._in_flight[replica.name] -= 1


def make_least_in_flight() -> ReplicaChoice:
    """Return the plain baseline."""
    return LeastInFlight()
