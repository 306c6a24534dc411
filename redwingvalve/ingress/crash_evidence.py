"""Evidence that a request crashes endpoints: runs that broke off, and answers.

Each node adds what it sees and what others report. The evidence is a set: it
comes out the same in whatever order and how often it is received.
"""

import typing
from collections import abc as collections_abc

import attrs

# Endpoint id and the start time of its process.
Incarnation: typing.TypeAlias = tuple[str, int]
# Requests and endpoints of which something is remembered.
MAX_REQUESTS = 1_000
MAX_INCARNATIONS = 4_000
# An answer also speaks for runs of the same request that break off within this
# time after it: a crashing request is never answered.
ANSWER_TRUST_S = 10.0
# A process may outlive the connection that broke by this time. What it answers
# meanwhile is no proof that it survived.
CRASH_DELAY_S = 0.5
# A run at an endpoint that has answered since is forgotten after this time,
# unless the endpoint turns out to have ended. Entries lapse sooner.
DOUBT_S = 5.0
# Reports of one run differ by the transit times of messages. A later one is of
# another run of the same request at the same endpoint.
SAME_RUN_S = 0.5


@attrs.frozen
class BrokenRun:
    """A connection that broke while an endpoint ran a request."""

    fingerprint: int
    incarnation: Incarnation
    # By the local monotonic clock.
    at_s: float
    # Whether the endpoint's process is known to have ended then. Otherwise the
    # answer may just have got lost.
    is_crash: bool = False


class CrashEvidence:
    """Broken runs by fingerprint, without those that had another cause."""

    def __init__(self) -> None:
        """Start without evidence."""
        self._runs: dict[int, dict[Incarnation, BrokenRun]] = {}
        self._requests: dict[Incarnation, set[int]] = {}
        # Indices for what is asked several times a second: requests by the
        # number of their runs, endpoints that may have crashed or not.
        self._by_runs: dict[int, set[int]] = {}
        self._undecided: set[Incarnation] = set()
        self._answered_s: dict[int, float] = {}
        self._alive_s: dict[Incarnation, float] = {}

    def add(self, run: BrokenRun) -> bool:
        """Add a run; return whether it says anything new."""
        if self._has_other_cause(run):
            return False
        runs = self._runs.get(run.fingerprint, {})
        known = runs.get(run.incarnation)
        if known is None:
            self._insert(run)
            return True
        is_crash = known.is_crash or run.is_crash
        is_later = run.at_s > known.at_s + SAME_RUN_S
        runs[run.incarnation] = attrs.evolve(
            run,
            at_s=run.at_s if is_later else min(known.at_s, run.at_s),
            is_crash=is_crash,
        )
        self._index_endpoint(run.incarnation)
        return is_later or (run.is_crash and not known.is_crash)

    def add_answer(self, fingerprint: int, at_s: float) -> bool:
        """Add a complete answer; return whether it clears the request."""
        at_s = max(at_s, self._answered_s.pop(fingerprint, at_s))
        self._answered_s[fingerprint] = at_s
        _forget_old_answers(self._answered_s, at_s)
        runs = self._runs.get(fingerprint, {})
        cleared = [run for run in runs.values() if self._has_other_cause(run)]
        self._remove(cleared)
        return bool(cleared)

    def add_life_sign(self, incarnation: Incarnation, at_s: float) -> None:
        """Record that an endpoint answered something that was sent at at_s."""
        if incarnation not in self._requests:
            return
        _make_room(self._alive_s, MAX_INCARNATIONS)
        self._alive_s[incarnation] = at_s
        self._remove(
            run
            for run in self.runs_at(incarnation)
            if self._has_other_cause(run)
        )

    def is_doubtful(self, run: BrokenRun) -> bool:
        """Return whether an endpoint has answered since, but only at once."""
        if run.is_crash:
            return False
        alive_s = self._alive_s.get(run.incarnation)
        return alive_s is not None and run.at_s < alive_s

    def mark_silent(self, incarnation: Incarnation) -> list[BrokenRun]:
        """Record that an endpoint no longer answers; return its runs."""
        if self._alive_s.pop(incarnation, None) is None:
            return []
        return self.runs_at(incarnation)

    def forget_doubtful_before(self, at_s: float) -> None:
        """Forget doubtful runs that broke off before a time."""
        for incarnation in tuple(self._undecided):
            self._remove(
                run
                for run in self.runs_at(incarnation)
                if run.at_s < at_s and self.is_doubtful(run)
            )

    def answered_s(self, fingerprint: int) -> float | None:
        """Return when a request was last answered, None if unknown."""
        return self._answered_s.get(fingerprint)

    def mark_ended(self, incarnation: Incarnation) -> list[BrokenRun]:
        """Record an endpoint's end; return the runs that it broke off."""
        found = [run for run in self.runs_at(incarnation) if not run.is_crash]
        ended = [attrs.evolve(run, is_crash=True) for run in found]
        for run in ended:
            self.add(run)
        return ended

    def undecided(self) -> list[Incarnation]:
        """Return the endpoints that may have crashed or not."""
        return list(self._undecided)

    def fingerprints(self, min_runs: int = 1) -> list[int]:
        """Return the requests with at least so many broken runs."""
        return [
            fingerprint
            for count, fingerprints in self._by_runs.items()
            if count >= min_runs
            for fingerprint in fingerprints
        ]

    def runs(self, fingerprint: int) -> list[BrokenRun]:
        """Return a request's broken runs."""
        return list(self._runs.get(fingerprint, {}).values())

    def runs_at(self, incarnation: Incarnation) -> list[BrokenRun]:
        """Return the runs that broke off at an endpoint."""
        return [
            self._runs[fingerprint][incarnation]
            for fingerprint in self._requests.get(incarnation, ())
        ]

    def runs_to_blame(self, fingerprint: int) -> list[BrokenRun]:
        """Return the broken runs for which a request itself is to blame.

        What breaks off at an endpoint is the fault of at most one of the
        requests there: of that which has broken off most often.
        """
        runs = self._runs.get(fingerprint, {})
        return [
            run
            for run in runs.values()
            if not self.is_doubtful(run)
            and not any(
                len(self._runs[other]) > len(runs)
                for other in self._requests[run.incarnation]
            )
        ]

    def forget_before(self, at_s: float) -> None:
        """Forget requests whose latest run broke off before a time."""
        old = [
            fingerprint
            for fingerprint, runs in self._runs.items()
            if max(run.at_s for run in runs.values()) < at_s
        ]
        for fingerprint in old:
            self._remove(self.runs(fingerprint))

    def _has_other_cause(self, run: BrokenRun) -> bool:
        answered_s = self._answered_s.get(run.fingerprint)
        if answered_s is not None and run.at_s <= answered_s + ANSWER_TRUST_S:
            return True
        alive_s = self._alive_s.get(run.incarnation)
        return alive_s is not None and survives(run, alive_s)

    def _insert(self, run: BrokenRun) -> None:
        if run.fingerprint not in self._runs:
            while len(self._runs) >= MAX_REQUESTS:
                self._remove(self.runs(next(iter(self._runs))))
            self._runs[run.fingerprint] = {}
        of_request = self._runs[run.fingerprint]
        self._index_request(run.fingerprint, len(of_request) + 1)
        of_request[run.incarnation] = run
        requests = self._requests.setdefault(run.incarnation, set())
        requests.add(run.fingerprint)
        self._index_endpoint(run.incarnation)

    def _remove(self, runs: collections_abc.Iterable[BrokenRun]) -> None:
        for run in tuple(runs):
            of_request = self._runs[run.fingerprint]
            self._index_request(run.fingerprint, len(of_request) - 1)
            of_request.pop(run.incarnation)
            if not of_request:
                self._runs.pop(run.fingerprint)
            at_endpoint = self._requests[run.incarnation]
            at_endpoint.discard(run.fingerprint)
            if not at_endpoint:
                self._requests.pop(run.incarnation)
            self._index_endpoint(run.incarnation)

    def _index_request(self, fingerprint: int, count: int) -> None:
        """Move a request whose number of runs is about to be count."""
        before = len(self._runs[fingerprint])
        if before:
            self._by_runs[before].discard(fingerprint)
        if count:
            self._by_runs.setdefault(count, set()).add(fingerprint)

    def _index_endpoint(self, incarnation: Incarnation) -> None:
        runs = self.runs_at(incarnation)
        if all(run.is_crash for run in runs):
            self._undecided.discard(incarnation)
        else:
            self._undecided.add(incarnation)


def survives(run: BrokenRun, alive_s: float) -> bool:
    """Return whether an answer to what was sent then clears the endpoint."""
    return run.at_s + CRASH_DELAY_S < alive_s


def _forget_old_answers(answered_s: dict[int, float], now_s: float) -> None:
    while answered_s:
        oldest = next(iter(answered_s))
        if answered_s[oldest] >= now_s - ANSWER_TRUST_S:
            return
        answered_s.pop(oldest)


def _make_room(
    remembered: dict[typing.Any, typing.Any], max_count: int
) -> None:
    while len(remembered) >= max_count:
        remembered.pop(next(iter(remembered)))
