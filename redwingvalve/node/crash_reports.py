"""Exchanges evidence of crashing requests in the nodes' status messages.

Load pattern: a crashing request returns at other nodes several times a second,
so that a second broken run is sent without delay. A single one is nearly always
a lost answer, and there may be hundreds a second: it is sent only if the
endpoint has shown no sign of life a moment later.

New evidence is repeated for RESEND_S. Evidence of requests that are held back
or refused is repeated for as long as they are, a few requests in each message,
since nodes start at any time or were cut off.
"""

import collections
import time
import typing

import attrs

from redwingvalve.ingress import crash_evidence, poison
from redwingvalve.node import status_messages

# A few regular status messages.
RESEND_S = 1.2
# A busy endpoint answers another request within this time.
SINGLE_RUN_DELAY_S = 0.15
# Limits that keep a message within one packet.
MAX_NEW_RUNS = 12
MAX_REPEATED_REQUESTS = 2
MAX_ANSWERS = 8
# Runs of a request from which on it is urgent.
MIN_URGENT_RUNS = 2
_MS_IN_S = 1000
_RunKey = tuple[int, crash_evidence.Incarnation]


@attrs.frozen
class OutgoingEvidence:
    """Evidence as it is sent."""

    broken_runs: list[typing.Any]
    answers: list[typing.Any]

    def add_to(self, message: typing.Any) -> None:
        """Set the fields of a status message."""
        message.broken_runs = self.broken_runs
        message.answers = self.answers


@attrs.define(eq=False)
class CrashReports(poison.EvidenceObserver):
    """Chooses the evidence to be sent, and applies what is received."""

    tracker: poison.PoisonRequestTracker
    # Called to send the status without delay.
    on_urgent: typing.Callable[[], None]
    # Whether to pass on what other nodes report.
    forwards: typing.Callable[[], bool]
    _is_receiving: bool = False
    _added_s: dict[_RunKey, float] = attrs.field(factory=dict)
    _cleared_s: dict[int, float] = attrs.field(factory=dict)
    _repeat_queue: collections.deque[int] = attrs.field(
        factory=collections.deque
    )

    def __attrs_post_init__(self) -> None:
        """Observe the tracker."""
        self.tracker.observers.append(self)

    def run_added(self, run: crash_evidence.BrokenRun) -> None:
        """Have a run sent with the next messages."""
        if self._is_receiving and not self.forwards():
            return
        key = (run.fingerprint, run.incarnation)
        self._added_s.pop(key, None)
        self._added_s[key] = time.monotonic()
        runs = self.tracker.evidence.runs(run.fingerprint)
        if len(runs) >= MIN_URGENT_RUNS:
            self.on_urgent()

    def request_cleared(self, fingerprint: int) -> None:
        """Have an answer sent with the next messages."""
        self._cleared_s.pop(fingerprint, None)
        self._cleared_s[fingerprint] = time.monotonic()

    def next_evidence(self, urgent_since_s: float | None) -> OutgoingEvidence:
        """Return the evidence for the next message, to all its recipients.

        An urgent message contains only what was learned since urgent_since_s.
        """
        runs = self._new_runs(urgent_since_s or 0)
        if urgent_since_s is None:
            runs += self._repeated_runs()
        now_s = time.monotonic()
        return OutgoingEvidence(
            [_run_message(run, now_s) for run in runs],
            self._answer_messages(now_s),
        )

    def receive(self, message: typing.Any) -> None:
        """Apply the evidence of another node."""
        now_s = time.monotonic()
        self._is_receiving = True
        try:
            for answer in message.answers or ():
                self.tracker.merge_answer(
                    answer.fingerprint or 0,
                    now_s - (answer.age_ms or 0) / _MS_IN_S,
                    message.vm,
                )
            for run in message.broken_runs or ():
                self.tracker.merge_run(_parse_run(run, now_s), message.vm)
        finally:
            self._is_receiving = False

    def _new_runs(self, since_s: float) -> list[crash_evidence.BrokenRun]:
        now_s = time.monotonic()
        self._added_s = {
            key: added_s
            for key, added_s in self._added_s.items()
            if added_s > now_s - RESEND_S
        }
        found = []
        for (fingerprint, incarnation), added_s in self._added_s.items():
            runs = {
                run.incarnation: run
                for run in self.tracker.evidence.runs(fingerprint)
            }
            run = runs.get(incarnation)
            if run is None or added_s < since_s:
                continue
            if self.tracker.evidence.is_doubtful(run):
                continue
            is_settled = now_s - run.at_s >= SINGLE_RUN_DELAY_S
            if len(runs) >= MIN_URGENT_RUNS or is_settled:
                found.append(run)
        return found[-MAX_NEW_RUNS:]

    def _repeated_runs(self) -> list[crash_evidence.BrokenRun]:
        """Return the runs of the next requests that aren't served, in turn."""
        tracker = self.tracker
        if not self._repeat_queue:
            self._repeat_queue.extend(tracker.not_served())
        found = []
        for _ in range(min(len(self._repeat_queue), MAX_REPEATED_REQUESTS)):
            fingerprint = self._repeat_queue.popleft()
            runs = tracker.evidence.runs_to_blame(fingerprint)
            runs.sort(key=poison.certainty)
            found += runs[-poison.MIN_CRASHES_TO_REFUSE :]
        return found

    def _answer_messages(self, now_s: float) -> list[typing.Any]:
        self._cleared_s = {
            fingerprint: cleared_s
            for fingerprint, cleared_s in self._cleared_s.items()
            if cleared_s > now_s - RESEND_S
        }
        messages = []
        for fingerprint in list(self._cleared_s)[-MAX_ANSWERS:]:
            answered_s = self.tracker.evidence.answered_s(fingerprint)
            if answered_s is not None:
                age_ms = int((now_s - answered_s) * _MS_IN_S)
                messages.append(
                    status_messages.AnsweredRequest(
                        fingerprint=fingerprint, age_ms=age_ms
                    )
                )
        return messages


def _run_message(run: crash_evidence.BrokenRun, now_s: float) -> typing.Any:
    endpoint_id, born_ms = run.incarnation
    return status_messages.BrokenRun(
        fingerprint=run.fingerprint,
        endpoint_id=endpoint_id,
        born_ms=born_ms,
        age_ms=int((now_s - run.at_s) * _MS_IN_S),
        is_crash=run.is_crash,
    )


def _parse_run(run: typing.Any, now_s: float) -> crash_evidence.BrokenRun:
    return crash_evidence.BrokenRun(
        run.fingerprint or 0,
        (run.endpoint_id or '', run.born_ms or 0),
        now_s - (run.age_ms or 0) / _MS_IN_S,
        bool(run.is_crash),
    )
