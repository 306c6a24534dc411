"""Refuses poison requests, which crash each endpoint that runs them.

Load pattern: a single request crashes whatever runs it, and its caller retries
it with the same path, account and body at any node. Unchecked, each attempt
takes an endpoint, and with it a replica of several VMs, out of service. Such a
request is refused after three crashes.

A broken connection alone is not a crash: answers get lost and connections are
reset. Whether an endpoint has crashed is certain only when its entry lapses,
seconds later, and a request that returns several times a second would crash a
dozen endpoints until then. So while three endpoints have broken off a request
and none of them has shown any sign of life, the request is held back: its
caller is told to return in a second. Endpoints in doubt are asked at once, so
that a sound request is held back for the time of a probe only.

What speaks for a request: an answer of any endpoint, and that an endpoint which
broke it off answers something else. A process may end a moment after the
connection, so that what it answers at once counts only until it falls silent.
"""

import abc
import enum
import hashlib
import logging
import time
import typing

from redwingvalve.ingress import crash_evidence, poison_trials
from redwingvalve.observability import logs

LOG = logs.make_logger('poison')
MIN_CRASHES_TO_REFUSE = 3
# A request without a crash for this long starts again without any.
CRASH_RETENTION_S = 600.0
# Entries of new endpoints reach all nodes within this time. An endpoint that is
# still unlisted has ended before this node could see it.
UNLISTED_END_S = 15.0
_DIGEST_BYTES = 7
_MS_IN_S = 1000


class Verdict(enum.Enum):
    """How to handle a request."""

    SERVE = 'serve'
    # It may have crashed endpoints, which is not yet certain.
    HOLD = 'hold'
    REFUSE = 'refuse'


class EvidenceObserver(abc.ABC):
    """Acts on what this node learns."""

    @abc.abstractmethod
    def run_added(self, run: crash_evidence.BrokenRun) -> None:
        """Handle a run, or a crash, that was not known."""

    @abc.abstractmethod
    def request_cleared(self, fingerprint: int) -> None:
        """Handle an answer to a request that had been suspected."""


class PoisonRequestTracker:
    """Crashes by request fingerprint, from this node and others."""

    def __init__(
        self, clock: typing.Callable[[], float] = time.monotonic
    ) -> None:
        """Start without crashes."""
        self.evidence = crash_evidence.CrashEvidence()
        self.observers: list[EvidenceObserver] = []
        self._clock = clock
        # Of requests that weren't served, as far as this node knows.
        self.trials: dict[int, poison_trials.TrialHistory] = {}
        # Endpoints whose entries this node has seen. Others may be new.
        self._listed: set[crash_evidence.Incarnation] = set()

    def verdict(self, fingerprint: int) -> Verdict:
        """Return how to handle a request."""
        runs = self.evidence.runs_to_blame(fingerprint)
        if len(runs) < MIN_CRASHES_TO_REFUSE:
            return Verdict.SERVE
        crashes = sum(run.is_crash for run in runs)
        if crashes < MIN_CRASHES_TO_REFUSE:
            return Verdict.HOLD
        return Verdict.REFUSE

    def not_served(self) -> list[int]:
        """Return the fingerprints that are held back or refused."""
        return [
            fingerprint
            for fingerprint in self.evidence.fingerprints(MIN_CRASHES_TO_REFUSE)
            if self.verdict(fingerprint) is not Verdict.SERVE
        ]

    def time_to_trial_s(self, fingerprint: int) -> float:
        """Return the time until a request may be tried, 0 if due."""
        latest_s = max(run.at_s for run in self.evidence.runs(fingerprint))
        history = self.trials.get(fingerprint, poison_trials.TrialHistory())
        due_s = poison_trials.due_s(latest_s, history)
        return max(due_s - self._clock(), 0)

    def is_trial_due(self, fingerprint: int) -> bool:
        """Return whether a request that isn't served may be tried.

        Also one that is held back: endpoints in doubt may stay out of reach,
        and their entries in the store, for any time.
        """
        is_served = self.verdict(fingerprint) is Verdict.SERVE
        return not is_served and not self.time_to_trial_s(fingerprint)

    def record_broken_run(
        self, fingerprint: int, incarnation: crash_evidence.Incarnation
    ) -> None:
        """Record that the connection of a request broke at an endpoint."""
        self._listed.add(incarnation)
        run = crash_evidence.BrokenRun(fingerprint, incarnation, self._clock())
        if self._add(run):
            self._log('connection broke', run)

    def record_answer(self, fingerprint: int) -> None:
        """Clear a request that an endpoint has answered."""
        if self.evidence.add_answer(fingerprint, self._clock()):
            self._clear(fingerprint, '')

    def record_life_sign(
        self, incarnation: crash_evidence.Incarnation, sent_s: float
    ) -> None:
        """Record that an endpoint answered what was sent to it at sent_s."""
        for run in self.evidence.runs_at(incarnation):
            if crash_evidence.survives(run, sent_s):
                self._log('no crash', run, is_routine=True)
        self.evidence.add_life_sign(incarnation, sent_s)

    def record_silence(self, incarnation: crash_evidence.Incarnation) -> None:
        """Record that an endpoint has stopped answering."""
        for run in self.evidence.mark_silent(incarnation):
            self._log('endpoint silent', run)
            self._notify_added(run)

    def record_end(self, incarnation: crash_evidence.Incarnation) -> None:
        """Record that an endpoint's process has ended."""
        for run in self.evidence.mark_ended(incarnation):
            self._log('crash', run)
            self._notify_added(run)

    def resolve_broken_runs(
        self,
        live_incarnations: typing.AbstractSet[crash_evidence.Incarnation],
    ) -> None:
        """Record the ends of endpoints that are no longer listed."""
        doubted_since_s = self._clock() - crash_evidence.DOUBT_S
        self.evidence.forget_doubtful_before(doubted_since_s)
        undecided = self.evidence.undecided()
        self._listed.update(live_incarnations.intersection(undecided))
        for incarnation in undecided:
            is_live = incarnation in live_incarnations
            if not is_live and (
                incarnation in self._listed
                or _is_listing_overdue(
                    self.evidence.runs_at(incarnation), self._clock()
                )
            ):
                self.record_end(incarnation)
        self._listed.intersection_update(self.evidence.undecided())

    def merge_run(self, run: crash_evidence.BrokenRun, sender: str) -> None:
        """Add a run that another node reports."""
        if self._add(run):
            self._log('run reported', run, sender, is_routine=True)
        elif self.evidence.answered_s(run.fingerprint) is not None:
            self._notify_cleared(run.fingerprint)

    def add_recorded_run(self, run: crash_evidence.BrokenRun) -> None:
        """Add a run that was recorded before this node started."""
        self._listed.add(run.incarnation)
        self.merge_run(run, 'store')

    def merge_answer(self, fingerprint: int, at_s: float, sender: str) -> None:
        """Add an answer that another node reports."""
        if self.evidence.add_answer(fingerprint, at_s):
            self._clear(fingerprint, sender)

    def forget_old(self) -> None:
        """Forget requests that have crashed nothing for CRASH_RETENTION_S."""
        self.evidence.forget_before(self._clock() - CRASH_RETENTION_S)
        known = self.evidence.fingerprints()
        for fingerprint in set(self.trials).difference(known):
            self.trials.pop(fingerprint)

    def _add(self, run: crash_evidence.BrokenRun) -> bool:
        is_news = self.evidence.add(run)
        if is_news:
            self._notify_added(run)
        return is_news

    def _clear(self, fingerprint: int, sender: str) -> None:
        LOG.info(
            'request cleared',
            extra={
                'fingerprint': format_fingerprint(fingerprint),
                'sender': sender,
            },
        )
        self._notify_cleared(fingerprint)

    def _notify_added(self, run: crash_evidence.BrokenRun) -> None:
        for observer in self.observers:
            observer.run_added(run)

    def _notify_cleared(self, fingerprint: int) -> None:
        for observer in self.observers:
            observer.request_cleared(fingerprint)

    def _log(
        self,
        message: str,
        run: crash_evidence.BrokenRun,
        sender: str = '',
        *,
        is_routine: bool = False,
    ) -> None:
        verdict = self.verdict(run.fingerprint)
        # Each lost answer reaches all nodes; only suspects are of interest.
        is_detail = is_routine and verdict is Verdict.SERVE
        level = logging.DEBUG if is_detail else logging.INFO
        if not LOG.isEnabledFor(level):
            return
        runs = self.evidence.runs(run.fingerprint)
        endpoint_id, born_ms = run.incarnation
        LOG.log(
            level,
            message,
            extra={
                'fingerprint': format_fingerprint(run.fingerprint),
                'endpoint': endpoint_id,
                'born_ms': born_ms,
                'age_ms': int((self._clock() - run.at_s) * _MS_IN_S),
                'is_crash': run.is_crash,
                'runs': len(runs),
                'crashes': sum(one.is_crash for one in runs),
                'verdict': verdict.value,
                'sender': sender,
            },
        )


def _is_listing_overdue(
    runs: list[crash_evidence.BrokenRun], now_s: float
) -> bool:
    """Return whether the endpoint of the runs should have been listed."""
    return now_s - min(run.at_s for run in runs) > UNLISTED_END_S


def certainty(run: crash_evidence.BrokenRun) -> tuple[bool, float]:
    """Order runs by how surely they show a crash that is still of interest."""
    return run.is_crash, run.at_s


def format_fingerprint(fingerprint: int) -> str:
    """Return a fingerprint as logs show it, in hexadecimal."""
    return f'{fingerprint:014x}'


def fingerprint(target: bytes, account: str | None, body: bytes) -> int:
    """Return a hash that is the same for all attempts of one request."""
    digest = hashlib.blake2b(target, digest_size=_DIGEST_BYTES)
    digest.update((account or '').encode())
    digest.update(body)
    return int.from_bytes(digest.digest(), 'big')
