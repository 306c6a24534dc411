"""Evidence of what crashes endpoints: runs that broke off, and answers.

Each node adds what it sees and what others report. The evidence is a set: it
comes out the same in whatever order and how often it is received.
"""

from collections import abc as collections_abc

import attrs

from redwingvalve.ingress import (
    answer_history,
    broken_runs,
    crash_keys,
    run_dates,
)

MAX_INCARNATIONS = 4_000
# A process may outlive the connection that broke by this time. What it answers
# meanwhile is no proof that it survived.
CRASH_DELAY_S = 0.5
# A run at an endpoint that has answered since is forgotten after this time,
# unless the endpoint turns out to have ended. Entries lapse sooner.
DOUBT_S = 5.0
# Reports of one run without a number differ by the transit times of messages. A
# later one is of another run of the same request at the same endpoint.
SAME_RUN_S = 0.5


class CrashEvidence:
    """Broken runs, without those that had another cause."""

    def __init__(self) -> None:
        """Start without evidence."""
        self.runs_table = broken_runs.BrokenRunTable()
        self.history = answer_history.AnswerHistory()
        # Endpoints that may have crashed or not.
        self._undecided: set[broken_runs.Incarnation] = set()
        self._alive_s: dict[broken_runs.Incarnation, float] = {}
        self._dates = run_dates.RunDates()

    def add(self, run: broken_runs.BrokenRun) -> bool:
        """Add a run; return whether it says anything new."""
        run = self._without_cleared(self._dates.correct(run))
        if not run.suspects or self._has_survived(run):
            return False
        known = self.runs_table.get(run.run_id)
        if known is None:
            self._put(run)
            return True
        is_same = _is_same_run(run, known)
        is_later = not is_same and run.at_s > known.at_s
        is_older = is_same and run.at_s < known.at_s
        merged = attrs.evolve(
            run if is_later or is_older else known,
            is_crash=known.is_crash or run.is_crash,
            suspects=known.suspects | run.suspects,
        )
        self._put(merged)
        return (
            is_later
            or merged.is_crash != known.is_crash
            or merged.suspects != known.suspects
        )

    def add_answer(self, key: crash_keys.Key, at_s: float) -> bool:
        """Add a complete answer; return whether it changes any suspicion.

        at_s is as for AnswerHistory.add().
        """
        runs = self.runs(key)
        is_first = bool(runs) and not self.history.knows(key)
        self.history.add(key, at_s)
        cleared = [run for run in runs if self.history.clears(key, run.at_s)]
        for run in cleared:
            self._clear_suspect(run, key)
        if is_first:
            self.runs_table.version += 1
        return is_first or bool(cleared)

    def add_life_sign(
        self, incarnation: broken_runs.Incarnation, at_s: float
    ) -> None:
        """Record that an endpoint answered something that was sent at at_s."""
        runs = self.runs_at(incarnation)
        if not runs:
            return
        while len(self._alive_s) >= MAX_INCARNATIONS:
            self._alive_s.pop(next(iter(self._alive_s)))
        self._alive_s[incarnation] = at_s
        self.runs_table.version += 1
        self._remove(run for run in runs if self._has_survived(run))

    def is_doubtful(self, run: broken_runs.BrokenRun) -> bool:
        """Return whether an endpoint has answered since, but only at once."""
        if run.is_crash:
            return False
        alive_s = self._alive_s.get(run.incarnation)
        return alive_s is not None and run.at_s < alive_s

    def mark_silent(
        self, incarnation: broken_runs.Incarnation
    ) -> list[broken_runs.BrokenRun]:
        """Record that an endpoint no longer answers; return its runs."""
        if self._alive_s.pop(incarnation, None) is None:
            return []
        self.runs_table.version += 1
        return self.runs_at(incarnation)

    def forget_doubtful_before(self, at_s: float) -> None:
        """Forget doubtful runs that broke off before a time."""
        for incarnation in tuple(self._undecided):
            self._remove(
                run
                for run in self.runs_at(incarnation)
                if run.at_s < at_s and self.is_doubtful(run)
            )

    def mark_ended(
        self, incarnation: broken_runs.Incarnation
    ) -> list[broken_runs.BrokenRun]:
        """Record an endpoint's end; return the runs that it broke off."""
        found = [run for run in self.runs_at(incarnation) if not run.is_crash]
        ended = [attrs.evolve(run, is_crash=True) for run in found]
        for run in ended:
            self.add(run)
        return ended

    def undecided(self) -> list[broken_runs.Incarnation]:
        """Return the endpoints that may have crashed or not."""
        return list(self._undecided)

    def suspects(self, min_ends: int = 1) -> list[crash_keys.Key]:
        """Return what may have crashed at least so many endpoints."""
        return self.runs_table.suspects(min_ends)

    def runs(self, key: crash_keys.Key) -> list[broken_runs.BrokenRun]:
        """Return the broken runs of which something is a suspect."""
        return self.runs_table.suspected(key)

    def runs_at(
        self, incarnation: broken_runs.Incarnation
    ) -> list[broken_runs.BrokenRun]:
        """Return the runs that broke off at an endpoint."""
        return self.runs_table.at_endpoint(incarnation)

    def is_repeated(self, run: broken_runs.BrokenRun) -> bool:
        """Return whether one of a run's suspects broke off another one.

        What has been answered before doesn't count: it is under way on many
        endpoints, so that some of its answers get lost all the time.
        """
        return any(
            self.runs_table.end_count(key) > 1 and not self.history.knows(key)
            for key in run.suspects
        )

    def forget_before(self, at_s: float) -> None:
        """Forget suspects whose latest run broke off before a time."""
        runs = self.runs_table.all()
        recent = {
            suspect
            for run in runs
            if run.at_s >= at_s
            for suspect in run.suspects
        }
        self._remove(run for run in runs if recent.isdisjoint(run.suspects))

    def _without_cleared(
        self, run: broken_runs.BrokenRun
    ) -> broken_runs.BrokenRun:
        cleared = {
            key for key in run.suspects if self.history.clears(key, run.at_s)
        }
        if not cleared:
            return run
        return attrs.evolve(run, suspects=run.suspects - cleared)

    def _clear_suspect(
        self, run: broken_runs.BrokenRun, key: crash_keys.Key
    ) -> None:
        suspects = run.suspects - {key}
        if suspects:
            self._put(attrs.evolve(run, suspects=suspects))
        else:
            self._remove((run,))

    def _has_survived(self, run: broken_runs.BrokenRun) -> bool:
        alive_s = self._alive_s.get(run.incarnation)
        return alive_s is not None and survives(run, alive_s)

    def _put(self, run: broken_runs.BrokenRun) -> None:
        self.runs_table.put(run)
        self._index_endpoint(run.incarnation)

    def _remove(
        self, runs: collections_abc.Iterable[broken_runs.BrokenRun]
    ) -> None:
        removed = tuple(runs)
        self.runs_table.remove(removed)
        for run in removed:
            self._index_endpoint(run.incarnation)

    def _index_endpoint(self, incarnation: broken_runs.Incarnation) -> None:
        runs = self.runs_at(incarnation)
        if all(run.is_crash for run in runs):
            self._undecided.discard(incarnation)
        else:
            self._undecided.add(incarnation)


def _is_same_run(
    run: broken_runs.BrokenRun, known: broken_runs.BrokenRun
) -> bool:
    """Return whether two reports with the same id are of the same run."""
    if run.number and run.number == known.number:
        return True
    return abs(run.at_s - known.at_s) <= SAME_RUN_S


def survives(run: broken_runs.BrokenRun, alive_s: float) -> bool:
    """Return whether an answer to what was sent then clears the endpoint."""
    return run.at_s + CRASH_DELAY_S < alive_s
