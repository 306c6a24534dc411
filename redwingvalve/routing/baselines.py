"""Baseline routing policies for benchmarks."""

from collections import abc as collections_abc

from redwingvalve.routing import messages, policy


class _PlainPolicy(policy.RoutingPolicy):
    """Keeps the candidates and the last load reports, nothing else."""

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
        """Replace the candidates."""
        self._candidates = tuple(candidates)

    def sent(
        self, request: messages.RouteRequest, name: str, now_s: float
    ) -> None:
        """Do nothing."""

    def first_token(self, request_id: str, now_s: float) -> None:
        """Do nothing."""

    def progressed(self, request_id: str, tokens: float, now_s: float) -> None:
        """Do nothing."""

    def stalled(self, request_id: str, now_s: float) -> None:
        """Do nothing."""

    def finished(self, request_id: str, now_s: float) -> None:
        """Do nothing."""

    def load_reported(
        self, name: str, report: messages.LoadReport, now_s: float
    ) -> None:
        """Keep the last report."""
        self._reports[name] = report.running + report.waiting

    def prefix_stored(self, name: str, prefix_hash: str) -> None:
        """Do nothing."""

    def prefix_removed(self, name: str, prefix_hash: str) -> None:
        """Do nothing."""

    def forget_prefixes(self, name: str) -> None:
        """Do nothing."""

    def _allowed(
        self, request: messages.RouteRequest, permitted: policy.Permitted
    ) -> list[messages.Candidate]:
        return [
            candidate
            for candidate in self._candidates
            if candidate.name not in request.excluded and permitted(candidate)
        ]


class RoundRobin(_PlainPolicy):
    """Chooses each candidate in turn."""

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
    """Chooses the candidate with the lowest load in its last report."""

    def choose(
        self,
        request: messages.RouteRequest,
        now_s: float,
        permitted: policy.Permitted = policy.permit_all,
    ) -> messages.Candidate | None:
        """Return the least loaded by report, the first of several."""
        allowed = self._allowed(request, permitted)
        return min(allowed, key=self._load, default=None)

    def _load(self, candidate: messages.Candidate) -> int:
        return self._reports.get(candidate.name, 0)
