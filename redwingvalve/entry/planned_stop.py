"""Decides what an entry that was told to stop still passes on.

Load pattern: entries are stopped in series or all at once, and callers go on
sending on the connections that they keep until the process is gone. A request
that would outlast the process is refused while it hasn't run. It ends in time
if its deadline does, or if recent answers of its kind and size were quick
enough; the slowest of them counts.
"""

import math

import attrs

from redwingvalve.core import outcomes
from redwingvalve.entry import caller_request

# Answers within this time, and up to twice as long ago, count.
WINDOW_S = 15.0
# Replicas get slower as the requests of stopped entries move to others.
SLOWER_FACTOR = 1.25
SLACK_S = 0.3
RETRY_AFTER_S = 1.0
_STATUS_UNAVAILABLE = 503
_STATUS_FAILED = 502


@attrs.frozen
class AnswerKind:
    """What is known of an answer beforehand; size is in tokens or requests."""

    target: str
    size: int = 1

    @property
    def key(self) -> tuple[str, int]:
        """Return the key of answers of up to twice this size."""
        return (self.target, self.size.bit_length())


@attrs.define(eq=False)
class _SlowestAnswers:
    """The longest recent time per unit of size, in seconds."""

    since_s: float
    recent_s: float = 0
    previous_s: float = 0

    def age(self, now_s: float) -> None:
        """Forget what is too long ago."""
        if now_s < self.since_s + WINDOW_S:
            return
        is_recent = now_s < self.since_s + 2 * WINDOW_S
        self.previous_s = self.recent_s if is_recent else 0
        self.recent_s = 0
        self.since_s = now_s


@attrs.define(eq=False)
class PlannedStop:
    """The end of an entry; times are of the monotonic clock."""

    # Infinite until the entry is told to stop.
    ends_s: float = math.inf
    _slowest: dict[tuple[str, int], _SlowestAnswers] = attrs.field(factory=dict)

    @property
    def has_begun(self) -> bool:
        """Return whether the entry was told to stop."""
        return self.ends_s < math.inf

    def observe(self, kind: AnswerKind, took_s: float, now_s: float) -> None:
        """Record a whole answer."""
        slowest = self._slowest.setdefault(kind.key, _SlowestAnswers(now_s))
        slowest.age(now_s)
        slowest.recent_s = max(slowest.recent_s, took_s / kind.size)

    def refuse_late(
        self, kind: AnswerKind, head: caller_request.RequestHead, now_s: float
    ) -> outcomes.ErrorResponse | None:
        """Return the error for a request that would outlast this entry."""
        lasts_s = min(head.remaining_s(now_s), self._expected_s(kind, now_s))
        if now_s + lasts_s <= self.ends_s:
            return None
        return outcomes.ErrorResponse(
            status=_STATUS_UNAVAILABLE,
            code='stopping',
            message='this entry stops before the request would end',
            outcome=outcomes.Outcome.NOT_RUN,
            retry_after_s=RETRY_AFTER_S,
        )

    def _expected_s(self, kind: AnswerKind, now_s: float) -> float:
        slowest = self._slowest.get(kind.key)
        if slowest is None:
            return math.inf
        slowest.age(now_s)
        unit_s = max(slowest.recent_s, slowest.previous_s)
        if not unit_s:
            return math.inf
        return SLOWER_FACTOR * unit_s * kind.size + SLACK_S


def given_up(outcome: outcomes.Outcome) -> outcomes.ErrorResponse:
    """Return the error of a request that is given up at the end of a stop."""
    has_run = outcome != outcomes.Outcome.NOT_RUN
    return outcomes.ErrorResponse(
        status=_STATUS_FAILED if has_run else _STATUS_UNAVAILABLE,
        code='stopping',
        message='this entry stopped before the request had ended',
        outcome=outcomes.Outcome.UNKNOWN if has_run else outcome,
        retry_after_s=RETRY_AFTER_S,
    )
