"""Evidence of what crashes endpoints: runs that broke off, and answers.

Each node adds what it sees and what others report. The evidence is a set: it
comes out the same in whatever order and how often it is received.

An answer of an endpoint sets its runs aside, but doesn't clear them: they count
again once the endpoint falls silent or ends.
"""

from collections import abc as collections_abc

import attrs

from redwingvalve.ingress import (
    answer_history,
    broken_runs,
    crash_keys,
    life_signs,
    run_dates,
)

# A run at an endpoint that has answered since is forgotten if for this time
# neither the endpoint has ended nor one of the run's suspects has broken off
# again.
DOUBT_S = 30.0
# Reports of one run without a number differ by the transit times of messages. A
# later one is of another run of the same request at the same endpoint.
SAME_RUN_S = 0.5


class CrashEvidence:
    """Broken runs, without those that had another cause."""

    def __init__(self) -> None:
        """Start without evidence."""
        self.runs_table = broken_runs.BrokenRunTable()
        self.signs = life_signs.LifeSigns()
        self.history = answer_history.AnswerHistory()
        # Endpoints that may have crashed or not.
        self._undecided: set[broken_runs.Incarnation] = set()
        self._dates = run_dates.RunDates()

    def add(self, run: broken_runs.BrokenRun) -> bool:
        """Add a run; return whether it says anything new."""
        run = self._without_cleared(self._dates.correct(run))
        if not run.suspects:
            return False
        known = self.runs_table.get(run.run_id)
        if known is None:
            self._put(run)
            return not self.signs.is_doubtful(run)
        is_same = _is_same_run(run, known)
        is_later = not is_same and run.at_s > known.at_s
        is_older = is_same and run.at_s < known.at_s
        merged = attrs.evolve(
            run if is_later or is_older else known,
            is_crash=known.is_crash or run.is_crash,
            suspects=known.suspects | run.suspects,
        )
        self._put(merged)
        is_news = (
            is_later
            or merged.is_crash != known.is_crash
            or merged.suspects != known.suspects
        )
        return is_news and not self.signs.is_doubtful(merged)

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
    ) -> list[broken_runs.BrokenRun]:
        """Record that an endpoint answered something that was sent at at_s.

        Return its runs that no longer count.
        """
        runs = [run for run in self.runs_at(incarnation) if not run.is_crash]
        if not runs:
            return []
        counted = [run for run in runs if not self.signs.is_doubtful(run)]
        self.signs.add(incarnation, at_s)
        set_aside = [run for run in counted if self.signs.is_doubtful(run)]
        for run in set_aside:
            self._put(attrs.evolve(run, outlived_s=0))
        return set_aside

    def mark_silent(
        self, incarnation: broken_runs.Incarnation, now_s: float
    ) -> list[broken_runs.BrokenRun]:
        """Record that an endpoint no longer answers; return its runs."""
        runs = self.runs_at(incarnation)
        silent = [self.signs.with_delay(run, now_s) for run in runs]
        if not self.signs.forget(incarnation):
            return []
        for run in silent:
            self._put(run)
        return silent

    def forget_doubtful_before(self, at_s: float) -> None:
        """Forget doubtful runs whose suspects last broke off before a time."""
        for incarnation in tuple(self._undecided):
            self._remove(
                run
                for run in self.runs_at(incarnation)
                if run.at_s < at_s
                and self.signs.is_doubtful(run)
                and not _has_later(self.runs_table, run, at_s)
            )

    def mark_ended(
        self, incarnation: broken_runs.Incarnation, now_s: float
    ) -> list[broken_runs.BrokenRun]:
        """Record an endpoint's end; return the runs that it broke off."""
        ended = [
            attrs.evolve(self.signs.with_delay(run, now_s), is_crash=True)
            for run in self.runs_at(incarnation)
            if not run.is_crash
        ]
        for run in ended:
            self._put(run)
        self._index_endpoint(incarnation)
        return ended

    def without_untold(
        self, run: broken_runs.BrokenRun
    ) -> broken_runs.BrokenRun:
        """Return a run without the suspects of which its end tells nothing."""
        if not run.outlived_s:
            return run
        told = {
            key
            for key in run.suspects
            if run.outlived_s <= self.signs.telling_delay_s(self.runs(key))
        }
        return attrs.evolve(run, suspects=frozenset(told))

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

    def is_watched(self, run: broken_runs.BrokenRun) -> bool:
        """Return whether it matters soon whether a run's endpoint lives."""
        return self.is_repeated(run) or any(
            map(self.runs_table.has_crash, run.suspects)
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


def _has_later(
    table: broken_runs.BrokenRunTable, run: broken_runs.BrokenRun, at_s: float
) -> bool:
    """Return whether a suspect of a run has broken off since a time."""
    return any(
        other.at_s >= at_s
        for key in run.suspects
        for other in table.suspected(key)
    )
