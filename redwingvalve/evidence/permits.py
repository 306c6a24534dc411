"""Interface that the request path checks before each upstream request."""

import abc

import attrs

from redwingvalve.configuration import snapshot


@attrs.frozen
class ReportedLoad:
    """Requests in flight at a replica's head, observed at seen_s."""

    in_flight: int
    seen_s: float


class ServingPermits(abc.ABC):
    """Permits to send, based on evidence that expires on its own."""

    @abc.abstractmethod
    def permitted(self, replica: snapshot.Replica, now_s: float) -> bool:
        """Return whether every VM of this epoch was seen recently enough."""

    @abc.abstractmethod
    def report_failure(
        self, replica: snapshot.Replica, vm: str, now_s: float
    ) -> None:
        """Record a failed request, which stops new work at once."""

    @abc.abstractmethod
    def reported_load(
        self, replica: snapshot.Replica, now_s: float
    ) -> ReportedLoad | None:
        """Return the load in the latest evidence, or None."""
