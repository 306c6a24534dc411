"""Plain routing policies, to compare with."""

from collections import abc as collections_abc

from redwingvalve.routing import messages, policy


class _PlainPolicy(policy.RoutingPolicy):
    """Keeps the candidates and the last reports, and learns nothing else."""

    def __init__(self) -> None:
        """Start without candidates."""
        self._candidates: tuple[messages.Candidate, ...] = ()
        self._reports: dict[str, int] = {}
        self._turn = 0

    def replace_candidates(
        self,
        candidates: collections_abc.Sequence[messages.Candidate],
        now_s: float,
    ) -> None:
        """Take over the candidates."""
        self._candidates = tuple(candidates)

    def sent(
        self, request: messages.RouteRequest, name: str, now_s: float
    ) -> None:
        """Learn nothing."""

    def first_token(self, request_id: str, now_s: float) -> None:
        """Learn nothing."""

    def progressed(self, request_id: str, tokens: float, now_s: float) -> None:
        """Learn nothing."""

    def stalled(self, request_id: str, now_s: float) -> None:
        """Learn nothing."""

    def finished(self, request_id: str, now_s: float) -> None:
        """Learn nothing."""

    def load_reported(
        self, name: str, report: messages.LoadReport, now_s: float
    ) -> None:
        """Keep the last report."""
        self._reports[name] = report.running + report.waiting

    def prefix_stored(self, name: str, prefix_hash: str) -> None:
        """Learn nothing."""

    def prefix_removed(self, name: str, prefix_hash: str) -> None:
        """Learn nothing."""

    def forget_prefixes(self, name: str) -> None:
        """Learn nothing."""

    def _allowed(
        self, request: messages.RouteRequest, permitted: policy.Permitted
    ) -> list[messages.Candidate]:
        return [
            candidate
            for candidate in self._candidates
            if candidate.name not in request.excluded and permitted(candidate)
        ]


class RoundRobin(_PlainPolicy):
    """Each candidate in turn."""

    def choose(
        self,
        request: messages.RouteRequest,
        now_s: float,
        permitted: policy.Permitted = policy.permit_all,
    ) -> messages.Candidate | None:
        """Return the next candidate."""
        allowed = self._allowed(request, permitted)
        self._turn += 1
        return allowed[self._turn % len(allowed)] if allowed else None


class LeastReported(_PlainPolicy):
    """The candidate whose last report names the least load."""

    def choose(
        self,
        request: messages.RouteRequest,
        now_s: float,
        permitted: policy.Permitted = policy.permit_all,
    ) -> messages.Candidate | None:
        """Return the least loaded by report, the first of equals."""
        allowed = self._allowed(request, permitted)
        return min(allowed, key=self._load, default=None)

    def _load(self, candidate: messages.Candidate) -> int:
        return self._reports.get(candidate.name, 0)
