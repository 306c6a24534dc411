"""Answers whose ends don't tell whether their endpoints are alive.

A body without a length or chunks ends with its connection. If the endpoint has
crashed, the end is not that of the answer; if it lives on, the answer is whole.
"""

from collections import abc as collections_abc

import attrs

from redwingvalve.ingress import broken_runs

# A process may outlive the connection of its answer by this time.
SURVIVAL_S = 0.5
# Without any sign, one counts as whole after this time. Entries lapse sooner.
MAX_WAIT_S = 5.0
# Those that have ended least recently are forgotten first.
MAX_OPEN_ENDS = 1_000


@attrs.frozen
class OpenEnd:
    """An answer that ended with its connection."""

    # As if it had broken off.
    run: broken_runs.BrokenRun


class OpenEnds:
    """Answers of which is not known yet whether they are whole."""

    def __init__(self) -> None:
        """Start without answers."""
        self._ends: dict[broken_runs.RunId, OpenEnd] = {}

    def add(self, end: OpenEnd) -> None:
        """Add an answer."""
        if len(self._ends) >= MAX_OPEN_ENDS:
            self._ends.pop(next(iter(self._ends)))
        self._ends[end.run.run_id] = end

    def all(self) -> list[OpenEnd]:
        """Return all answers."""
        return list(self._ends.values())

    def at_endpoint(
        self, incarnation: broken_runs.Incarnation
    ) -> list[OpenEnd]:
        """Return the answers of an endpoint."""
        return [
            end
            for end in self._ends.values()
            if end.run.incarnation == incarnation
        ]

    def take_survived(
        self, incarnation: broken_runs.Incarnation, alive_s: float
    ) -> list[OpenEnd]:
        """Remove and return the answers that an endpoint has survived."""
        return self._take(
            end
            for end in self.at_endpoint(incarnation)
            if end.run.at_s + SURVIVAL_S < alive_s
        )

    def take_at(
        self, incarnation: broken_runs.Incarnation
    ) -> list[broken_runs.BrokenRun]:
        """Remove the answers of an endpoint that is gone; return its runs."""
        taken = self._take(self.at_endpoint(incarnation))
        return [end.run for end in taken]

    def take_before(self, at_s: float) -> list[OpenEnd]:
        """Remove and return the answers that ended before a time."""
        return self._take(
            end for end in self._ends.values() if end.run.at_s < at_s
        )

    def _take(self, ends: collections_abc.Iterable[OpenEnd]) -> list[OpenEnd]:
        taken = list(ends)
        for end in taken:
            self._ends.pop(end.run.run_id)
        return taken
