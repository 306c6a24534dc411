"""Refuses what crashes each endpoint that runs it.

Load pattern: a single request crashes whatever runs it, and its caller retries
it with the same path, account and body at any node. Or one part of prompts
crashes whatever answers on it, and comes in requests of which no two are alike.
Unchecked, each attempt takes an endpoint, and with it a replica of several VMs,
out of service. A request is refused after three crashes, one with such a part
after five.

A broken connection alone is not a crash: answers get lost and connections are
reset. Whether an endpoint has crashed is certain only when its entry lapses,
seconds later, and a request that returns several times a second would crash a
dozen endpoints until then. So while enough endpoints have broken off a request
and none of them has shown any sign of life, the request is held back: its
caller is told to return in a second. Endpoints in doubt are asked at once, so
that a sound request is held back for the time of a probe only.

What speaks for a request: an answer of any endpoint, and that an endpoint which
broke it off answers something else. A process may end seconds after the
connection, so that what it answers counts only until it falls silent.
An answer that ends with its connection counts once its endpoint has survived.
"""

import abc
import operator
import random
import time
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.ingress import (
    broken_runs,
    crash_blame,
    crash_evidence,
    crash_keys,
    open_ends,
    poison_logs,
    poison_trials,
)

# A request without a crash for this long starts again without any.
CRASH_RETENTION_S = 600.0
# Entries of new endpoints reach all nodes within this time. An endpoint that is
# still unlisted has ended before this node could see it.
UNLISTED_END_S = 15.0
# Parts that are remembered of a broken run; those that were never answered
# come first.
MAX_PARTS_PER_RUN = 32
# Of runs; a positive signed number of 32 bits in messages.
MAX_RUN_NUMBER = 2**31 - 1
_RNG = random.Random()
_Take: typing.TypeAlias = collections_abc.Callable[
    [open_ends.OpenEnds], list[open_ends.OpenEnd]
]


class EvidenceObserver(abc.ABC):
    """Acts on what this node learns."""

    @abc.abstractmethod
    def run_added(self, run: broken_runs.BrokenRun) -> None:
        """Handle a run, or a crash, that was not known."""

    @abc.abstractmethod
    def suspect_cleared(self, key: crash_keys.Key) -> None:
        """Handle an answer to something that had been suspected."""

    def open_end_added(self) -> None:
        """Handle an answer that ended with its connection."""


class EvidenceObservers(EvidenceObserver):
    """Several observers."""

    def __init__(self) -> None:
        """Start without observers."""
        self._observers: list[EvidenceObserver] = []

    def append(self, observer: EvidenceObserver) -> None:
        """Add an observer."""
        self._observers.append(observer)

    def run_added(self, run: broken_runs.BrokenRun) -> None:
        """Tell all observers."""
        for observer in self._observers:
            observer.run_added(run)

    def suspect_cleared(self, key: crash_keys.Key) -> None:
        """Tell all observers."""
        for observer in self._observers:
            observer.suspect_cleared(key)

    def open_end_added(self) -> None:
        """Tell all observers."""
        for observer in self._observers:
            observer.open_end_added()


class PoisonRequestTracker:
    """Crashes by request and part of prompts, from this node and others."""

    def __init__(
        self,
        clock: collections_abc.Callable[[], float] = time.monotonic,
        answered_part_grace_s: float = crash_blame.ANSWERED_PART_GRACE_S,
    ) -> None:
        """Start without crashes; the grace is as for CrashBlame."""
        self.evidence = crash_evidence.CrashEvidence()
        self.open_ends = open_ends.OpenEnds(
            open_ends.PART_SURVIVAL_S, open_ends.PART_MAX_WAIT_S
        )
        # Those that speak for their parts, and not yet for the requests.
        self.open_requests = open_ends.OpenEnds(
            open_ends.REQUEST_SURVIVAL_S, open_ends.REQUEST_MAX_WAIT_S
        )
        self.blame = crash_blame.CrashBlame(
            self.evidence, clock, answered_part_grace_s
        )
        self.observers = EvidenceObservers()
        self._clock = clock
        # Of what wasn't served, as far as this node knows.
        self.trials: dict[crash_keys.Key, poison_trials.TrialHistory] = {}
        # Endpoints whose entries this node has seen. Others may be new.
        self._listed: set[broken_runs.Incarnation] = set()

    def verdict(self, *keys: crash_keys.Key) -> crash_blame.Verdict:
        """Return how to handle a request, given its key and its parts'."""
        return self.blame.judge(*keys).verdict

    def not_served(self) -> list[crash_keys.Key]:
        """Return the requests and parts that are held back or refused."""
        return self.blame.blamed()

    def time_to_trial_s(self, *keys: crash_keys.Key) -> float:
        """Return the time until a request may be tried, 0 if due."""
        judgement = self.blame.judge(*keys)
        if judgement.key is None:
            return 0
        latest_s = max(run.at_s for end in judgement.ends for run in end.runs)
        due_s = poison_trials.due_s(
            latest_s,
            self.trials.get(judgement.key, poison_trials.TrialHistory()),
            is_promising=self.blame.is_worth_a_trial(judgement, keys),
        )
        return max(due_s - self._clock(), 0)

    def is_trial_due(self, *keys: crash_keys.Key) -> bool:
        """Return whether a request that isn't served may be tried.

        Also one that is held back: endpoints in doubt may stay out of reach,
        and their entries in the store, for any time.
        """
        is_served = self.verdict(*keys) is crash_blame.Verdict.SERVE
        return not is_served and not self.time_to_trial_s(*keys)

    def record_broken_run(
        self,
        fingerprint: crash_keys.Key,
        incarnation: broken_runs.Incarnation,
        parts: collections_abc.Iterable[crash_keys.Key] = (),
        sent_s: float | None = None,
    ) -> None:
        """Record that the connection of a request broke at an endpoint.

        sent_s is when it was sent there, now by default.
        """
        self._listed.add(incarnation)
        keys = crash_keys.RequestKeys(fingerprint, tuple(parts))
        now_s = self._clock()
        run = _make_run(
            self.evidence,
            keys,
            incarnation,
            now_s,
            now_s if sent_s is None else sent_s,
        )
        if self._add(run):
            poison_logs.log_run(self.blame, 'connection broke', run)

    def record_open_end(
        self,
        keys: crash_keys.RequestKeys,
        incarnation: broken_runs.Incarnation,
        sent_s: float,
    ) -> None:
        """Record an answer, asked for at sent_s, that may have broken off."""
        self._listed.add(incarnation)
        run = _make_run(self.evidence, keys, incarnation, self._clock(), sent_s)
        self.open_ends.add(open_ends.OpenEnd(run))
        self.observers.open_end_added()

    def record_answer(
        self,
        fingerprint: crash_keys.Key,
        parts: collections_abc.Iterable[crash_keys.Key] = (),
        sent_s: float | None = None,
    ) -> None:
        """Clear a request that an endpoint has answered, and its parts.

        sent_s is when the answer was asked for.
        """
        now_s = self._clock()
        sent_s = now_s if sent_s is None else sent_s
        self.merge_answer(fingerprint, now_s, '')
        for part in parts:
            self.merge_answer(part, sent_s, '')

    def record_life_sign(
        self, incarnation: broken_runs.Incarnation, sent_s: float
    ) -> None:
        """Record that an endpoint answered what was sent to it at sent_s."""
        for run in self.evidence.add_life_sign(incarnation, sent_s):
            poison_logs.log_run(
                self.blame, 'endpoint answers', run, is_routine=True
            )
        self._clear_survived(
            operator.methodcaller('take_survived', incarnation, sent_s)
        )

    def record_silence(self, incarnation: broken_runs.Incarnation) -> None:
        """Record that an endpoint has stopped answering."""
        self._add_broken_off(incarnation)
        for run in self.evidence.mark_silent(incarnation, self._clock()):
            poison_logs.log_run(self.blame, 'endpoint silent', run)
            self.observers.run_added(run)

    def record_end(self, incarnation: broken_runs.Incarnation) -> None:
        """Record that an endpoint's process has ended."""
        self._add_broken_off(incarnation)
        for run in self.evidence.mark_ended(incarnation, self._clock()):
            poison_logs.log_run(self.blame, 'crash', run)
            self.observers.run_added(run)

    def undecided(self) -> list[broken_runs.Incarnation]:
        """Return the endpoints of which is not known whether they live."""
        found = set(self.evidence.undecided())
        found.update(self.open_ends.endpoints())
        found.update(self.open_requests.endpoints())
        return list(found)

    def resolve_broken_runs(
        self,
        live_incarnations: typing.AbstractSet[broken_runs.Incarnation],
    ) -> None:
        """Record the ends of endpoints that are no longer listed."""
        now_s = self._clock()
        self.evidence.forget_doubtful_before(now_s - crash_evidence.DOUBT_S)
        undecided = self.undecided()
        self._listed.update(live_incarnations.intersection(undecided))
        for incarnation in undecided:
            is_live = incarnation in live_incarnations
            if not is_live and (
                incarnation in self._listed
                or _is_listing_overdue(
                    self.evidence.runs_at(incarnation), now_s
                )
            ):
                self.record_end(incarnation)
        self._clear_survived(operator.methodcaller('take_expired', now_s))
        self._listed.intersection_update(self.undecided())

    def merge_run(self, run: broken_runs.BrokenRun, sender: str) -> None:
        """Add a run that another node reports."""
        is_news = self._add(run)
        if is_news:
            poison_logs.log_run(
                self.blame, 'run reported', run, sender, is_routine=True
            )
        is_cleared = self.evidence.runs_table.get(run.run_id) is None
        if not is_news and not is_cleared:
            return
        # The sender may not know of the answers.
        for key in filter(self.evidence.history.knows, run.suspects):
            self.observers.suspect_cleared(key)

    def add_recorded_run(self, run: broken_runs.BrokenRun) -> None:
        """Add a run that was recorded before this node started."""
        self._listed.add(run.incarnation)
        self.merge_run(run, 'store')

    def merge_answer(
        self, key: crash_keys.Key, at_s: float, sender: str
    ) -> None:
        """Add an answer, here or at another node; at_s as in the history."""
        end_count = self.blame.end_count(key)
        if not self.evidence.add_answer(key, at_s):
            return
        poison_logs.log_cleared(key, end_count, sender)
        self.observers.suspect_cleared(key)

    def forget_old(self) -> None:
        """Forget what has crashed nothing for CRASH_RETENTION_S."""
        self.evidence.forget_before(self._clock() - CRASH_RETENTION_S)
        known = self.evidence.suspects()
        for key in set(self.trials).difference(known):
            self.trials.pop(key)

    def _add(self, run: broken_runs.BrokenRun) -> bool:
        is_news = self.evidence.add(run)
        if is_news:
            self.observers.run_added(run)
        return is_news

    def _clear_survived(self, take: _Take) -> None:
        """Clear what open answers speak for that their endpoints outlived."""
        for end in take(self.open_ends):
            request = end.run.fingerprint
            for part in end.run.suspects - {request}:
                self.merge_answer(part, end.run.sent_s, '')
            run = attrs.evolve(end.run, suspects=frozenset((request,)))
            self.open_requests.add(open_ends.OpenEnd(run, end.alive_s))
        for end in take(self.open_requests):
            self.merge_answer(end.run.fingerprint, end.run.at_s, '')

    def _add_broken_off(self, incarnation: broken_runs.Incarnation) -> None:
        """Take the open answers of an endpoint that is gone for broken off."""
        now_s = self._clock()
        for open_answers in (self.open_ends, self.open_requests):
            for end in open_answers.take_at(incarnation):
                run = end.as_broken_off(now_s)
                if self._add(run):
                    poison_logs.log_run(self.blame, 'answer was not whole', run)


def _make_run(
    evidence: crash_evidence.CrashEvidence,
    keys: crash_keys.RequestKeys,
    incarnation: broken_runs.Incarnation,
    now_s: float,
    sent_s: float,
) -> broken_runs.BrokenRun:
    parts = sorted(keys.parts, key=evidence.history.knows)
    return broken_runs.BrokenRun(
        keys.fingerprint,
        incarnation,
        now_s,
        suspects=frozenset((keys.fingerprint, *parts[:MAX_PARTS_PER_RUN])),
        sent_s=sent_s,
        number=_RNG.randint(1, MAX_RUN_NUMBER),
    )


def _is_listing_overdue(
    runs: list[broken_runs.BrokenRun], now_s: float
) -> bool:
    """Return whether the endpoint of the runs should have been listed."""
    if not runs:
        return False
    return now_s - min(run.at_s for run in runs) > UNLISTED_END_S
