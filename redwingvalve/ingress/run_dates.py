"""Remembers when broken runs broke off that several nodes report.

Load pattern: nodes that are short of processor time pass a report on late, and
each of them adds its delay to the age that it states. Dated by its arrival, one
run would look like several of the same request, each of them news to be passed
on. The earliest report of a run tells its time best.
"""

import attrs

from redwingvalve.ingress import broken_runs

MAX_RUNS = 4_000
_Key = tuple[broken_runs.RunId, int]


@attrs.define(eq=False)
class RunDates:
    """The earliest time at which each run is said to have broken off."""

    _earliest_s: dict[_Key, float] = attrs.field(factory=dict)

    def correct(self, run: broken_runs.BrokenRun) -> broken_runs.BrokenRun:
        """Return a run with the earliest time of all reports of it so far."""
        if not run.number:
            return run
        key = run.run_id, run.number
        earliest_s = min(run.at_s, self._earliest_s.pop(key, run.at_s))
        self._earliest_s[key] = earliest_s
        if len(self._earliest_s) > MAX_RUNS:
            self._earliest_s.pop(next(iter(self._earliest_s)))
        late_s = run.at_s - earliest_s
        if not late_s:
            return run
        return attrs.evolve(run, at_s=earliest_s, sent_s=run.sent_s - late_s)
