"""The question that the request path asks before each send."""

import abc

import attrs

from redwingvalve.configuration import snapshot


@attrs.frozen
class ReportedLoad:
    """Requests in flight at a replica's head, as seen at seen_s."""

    in_flight: int
    seen_s: float


class ServingPermits(abc.ABC):
    """Answers from evidence that ages out by itself."""

    @abc.abstractmethod
    def permitted(self, replica: snapshot.Replica, now_s: float) -> bool:
        """Tell whether every VM of this epoch was seen recently enough."""

    @abc.abstractmethod
    def report_failure(
        self, replica: snapshot.Replica, vm: str, now_s: float
    ) -> None:
        """Count what the request path saw: it stops new work at once."""

    @abc.abstractmethod
    def reported_load(
        self, replica: snapshot.Replica, now_s: float
    ) -> ReportedLoad | None:
        """Return the load that came with the newest evidence, if any did."""
