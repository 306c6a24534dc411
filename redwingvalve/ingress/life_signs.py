"""Decides of which suspects the ends of endpoints tell that have lived on.

Load pattern: a process ends seconds after the connection of what crashes it,
and answers others until then. Sound requests break off for other reasons,
beside endpoints that end for other reasons. An end after answers tells of a
suspect only if such ends outnumber its endpoints that have lived on for longer.
"""

import bisect
from collections import abc as collections_abc

import attrs

from redwingvalve.ingress import broken_runs

MAX_INCARNATIONS = 4_000


class LifeSigns:
    """When what endpoints last answered was sent, by the monotonic clock."""

    def __init__(self) -> None:
        """Start without signs."""
        self._latest_s: dict[broken_runs.Incarnation, float] = {}

    def add(self, incarnation: broken_runs.Incarnation, at_s: float) -> None:
        """Add an answer to something that was sent at at_s."""
        while len(self._latest_s) >= MAX_INCARNATIONS:
            self._latest_s.pop(next(iter(self._latest_s)))
        latest_s = self._latest_s.get(incarnation, at_s)
        self._latest_s[incarnation] = max(at_s, latest_s)

    def forget(self, incarnation: broken_runs.Incarnation) -> bool:
        """Forget an endpoint that is silent; return whether it had answered."""
        return self._latest_s.pop(incarnation, None) is not None

    def lived_s(self, run: broken_runs.BrokenRun) -> float:
        """Return how long after a run its endpoint answered, 0 if never."""
        latest_s = self._latest_s.get(run.incarnation, run.at_s)
        return max(latest_s - run.at_s, 0)

    def is_doubtful(self, run: broken_runs.BrokenRun) -> bool:
        """Return whether a run's endpoint has answered since, so far."""
        return not run.is_crash and self.lived_s(run) > 0

    def with_delay(
        self, run: broken_runs.BrokenRun, now_s: float
    ) -> broken_runs.BrokenRun:
        """Return a run whose endpoint has ended, or fallen silent, by now."""
        if not self.is_doubtful(run):
            return run
        return attrs.evolve(run, outlived_s=now_s - run.at_s)

    def telling_delay_s(
        self, runs: collections_abc.Iterable[broken_runs.BrokenRun]
    ) -> float:
        """Return up to which delay ends tell of the suspect of some runs.

        Ends with this delay and shorter ones outnumber the endpoints that have
        lived on for longer. It is 0 if no late end tells anything.
        """
        ended_s: dict[broken_runs.Incarnation, float] = {}
        lived_s: dict[broken_runs.Incarnation, float] = {}
        for run in runs:
            at = run.incarnation
            if self.is_doubtful(run):
                lived_s[at] = max(self.lived_s(run), lived_s.get(at, 0))
            elif run.is_crash or run.outlived_s:
                ended_s[at] = max(run.outlived_s, ended_s.get(at, 0))
        in_order_s = sorted(lived_s.values())
        longest_s = 0.0
        for count, delay_s in enumerate(sorted(ended_s.values()), start=1):
            shorter = bisect.bisect_right(in_order_s, delay_s)
            if count > len(in_order_s) - shorter:
                longest_s = delay_s
        return longest_s
