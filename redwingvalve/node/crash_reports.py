"""Exchanges evidence of crashes in the nodes' status messages.

Load pattern: what crashes endpoints returns at other nodes several times a
second, so that its second broken run is sent without delay. A single one is
nearly always a lost answer, and there may be hundreds a second: it is sent only
if the endpoint has shown no sign of life a moment later.

New evidence is repeated for RESEND_S. Evidence of what is held back or refused
is repeated for as long as it is, a few suspects in each message, since nodes
start at any time or were cut off.
"""

import collections
import time
import typing

import attrs

from redwingvalve.ingress import broken_runs, crash_keys, poison
from redwingvalve.node import status_messages

# A few regular status messages.
RESEND_S = 1.2
# A busy endpoint answers another request within this time.
SINGLE_RUN_DELAY_S = 0.15
# Limits that keep a message within one packet. A run counts as many suspects as
# its other fields are long.
MAX_SUSPECTS = 110
RUN_OVERHEAD = 10
MAX_REPEATED = 2
MAX_ANSWERS = 16
_MS_IN_S = 1000


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
    _added_s: dict[broken_runs.RunId, float] = attrs.field(factory=dict)
    _cleared_s: dict[crash_keys.Key, float] = attrs.field(factory=dict)
    _repeat_queue: collections.deque[crash_keys.Key] = attrs.field(
        factory=collections.deque
    )

    def __attrs_post_init__(self) -> None:
        """Observe the tracker."""
        self.tracker.observers.append(self)

    def run_added(self, run: broken_runs.BrokenRun) -> None:
        """Have a run sent with the next messages."""
        if self._is_receiving and not self.forwards():
            return
        self._added_s.pop(run.run_id, None)
        self._added_s[run.run_id] = time.monotonic()
        if self.tracker.evidence.is_repeated(run):
            self.on_urgent()

    def suspect_cleared(self, key: crash_keys.Key) -> None:
        """Have an answer sent with the next messages."""
        self._cleared_s.pop(key, None)
        self._cleared_s[key] = time.monotonic()

    def next_evidence(self, urgent_since_s: float | None) -> OutgoingEvidence:
        """Return the evidence for the next message, to all its recipients.

        An urgent message contains only what was learned since urgent_since_s.
        """
        runs = self._new_runs(urgent_since_s or 0)
        if urgent_since_s is None:
            # Newcomers depend on these.
            runs = self._repeated_runs() + runs
        now_s = time.monotonic()
        return OutgoingEvidence(
            [_run_message(run, now_s) for run in _that_fit(runs)],
            self._answer_messages(now_s),
        )

    def receive(self, message: typing.Any) -> None:
        """Apply the evidence of another node."""
        now_s = time.monotonic()
        self._is_receiving = True
        try:
            for answer in message.answers or ():
                self.tracker.merge_answer(
                    answer.key or 0,
                    now_s - (answer.age_ms or 0) / _MS_IN_S,
                    message.vm,
                )
            for run in message.broken_runs or ():
                self.tracker.merge_run(_parse_run(run, now_s), message.vm)
        finally:
            self._is_receiving = False

    def _new_runs(self, since_s: float) -> list[broken_runs.BrokenRun]:
        """Return the runs that are to be sent, the latest first."""
        now_s = time.monotonic()
        self._added_s = {
            run_id: added_s
            for run_id, added_s in self._added_s.items()
            if added_s > now_s - RESEND_S
        }
        evidence = self.tracker.evidence
        found = []
        for run_id, added_s in reversed(self._added_s.items()):
            run = evidence.runs_table.get(run_id)
            if (
                run is None
                or added_s < since_s
                or evidence.signs.is_doubtful(run)
            ):
                continue
            is_settled = now_s - run.at_s >= SINGLE_RUN_DELAY_S
            if is_settled or evidence.is_repeated(run):
                found.append(evidence.without_untold(run))
        return [run for run in found if run.suspects]

    def _repeated_runs(self) -> list[broken_runs.BrokenRun]:
        """Return the runs of the next suspects that aren't served, in turn."""
        tracker = self.tracker
        if not self._repeat_queue:
            self._repeat_queue.extend(tracker.not_served())
        found = []
        for _ in range(min(len(self._repeat_queue), MAX_REPEATED)):
            suspect = self._repeat_queue.popleft()
            found.extend(tracker.blame.decisive_runs(suspect))
        return found

    def _answer_messages(self, now_s: float) -> list[typing.Any]:
        self._cleared_s = {
            key: cleared_s
            for key, cleared_s in self._cleared_s.items()
            if cleared_s > now_s - RESEND_S
        }
        messages = []
        for key in list(self._cleared_s)[-MAX_ANSWERS:]:
            answered_s = self.tracker.evidence.history.answered_s(key)
            if answered_s is not None:
                age_ms = int((now_s - answered_s) * _MS_IN_S)
                messages.append(
                    status_messages.AnsweredRequest(key=key, age_ms=age_ms)
                )
        return messages


def _that_fit(
    runs: list[broken_runs.BrokenRun],
) -> list[broken_runs.BrokenRun]:
    """Return the first runs, as many as a message holds."""
    left = MAX_SUSPECTS
    found = []
    for run in runs:
        left -= RUN_OVERHEAD + len(run.suspects)
        if left < 0:
            break
        found.append(run)
    return found


def _run_message(run: broken_runs.BrokenRun, now_s: float) -> typing.Any:
    endpoint_id, born_ms = run.incarnation
    return status_messages.BrokenRun(
        fingerprint=run.fingerprint,
        endpoint_id=endpoint_id,
        born_ms=born_ms,
        age_ms=int((now_s - run.at_s) * _MS_IN_S),
        is_crash=run.is_crash,
        suspects=sorted(run.suspects),
        lasted_ms=int((run.at_s - run.sent_s) * _MS_IN_S),
        number=run.number or None,
    )


def _parse_run(run: typing.Any, now_s: float) -> broken_runs.BrokenRun:
    fingerprint = run.fingerprint or 0
    at_s = now_s - (run.age_ms or 0) / _MS_IN_S
    return broken_runs.BrokenRun(
        fingerprint,
        (run.endpoint_id or '', run.born_ms or 0),
        at_s,
        bool(run.is_crash),
        # Nodes of an earlier version state none.
        frozenset(run.suspects or (fingerprint,)),
        at_s - (run.lasted_ms or 0) / _MS_IN_S,
        run.number or 0,
    )
