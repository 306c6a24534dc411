"""The waiting line of one account in one lane, and the rate it is served at."""

import bisect
import math
import typing

from redwingvalve.admission import estimates, messages

# The rate of an account is averaged over about a second: shorter follows the
# noise of single jobs, longer keeps a burst's wrong rate past its end.
RATE_WINDOW_S = 1.0
RATE_TRUSTED_AFTER_S = 2.0
# What an account asks is averaged for longer: it decides whether the account
# is greedy, and a short burst of a small account must not make it so.
ASKED_WINDOW_S = 5.0
# An account that has just begun is measured over the time since then, though
# not over less than this, or a burst of a small account would look like a
# flood. Over the whole window, the first seconds of an overload look moderate.
ASKED_LEAST_S = 3.5
ASKED_LONG_S = 25.0

# Each late refusal takes a fifth off the wait that a line may promise, at most
# ten times a second; seven dispatches give that back. If it took longer, an
# account that was refused late for a second by chance would be refused too
# early for ten.
CAUTION_STEP_S = 0.1
CAUTION_FALL = 0.8
CAUTION_RISE = 0.03
MIN_CAUTION = 0.05


class Waiting(typing.NamedTuple):
    """A waiting request in its order: priority first, then arrival."""

    negative_priority: int
    number: int
    cost: float
    request: messages.AdmissionRequest


class Allowance:
    """How much more of an account may go by preference."""

    def __init__(self) -> None:
        """Start empty."""
        self.level = 0.0
        self._rate = 1.0
        self._at_s = 0.0

    def refill(self, rate: float, burst_s: float, now_s: float) -> None:
        """Earn since the last call; all service counts, also the fair one."""
        earned = (now_s - self._at_s) * rate
        full = rate * burst_s
        self.level = min(max(self.level, -full) + earned, full)
        self._rate = rate
        self._at_s = now_s

    def spend(self, cost: float) -> None:
        """Count service."""
        self.level -= cost

    def wait_s(self) -> float:
        """Return when there is something to spend again."""
        return max(-self.level, 0.0) / max(self._rate, 1e-9)


class AccountQueue:
    """Requests by priority, then by arrival; with their summed cost."""

    def __init__(self, name: str, number: int) -> None:
        """Start empty at virtual time 0; number breaks ties."""
        self.name = name
        self.number = number
        self.weight = 1.0
        self.penalty = 0.0
        self.virtual_time = 0.0
        self.version = 0
        self.listed = False
        self.backlog_tokens = 0.0
        self.waiting: list[Waiting] = []
        self.asked_at_s = 0.0
        self._asked_tokens = 0.0
        self._first_asked_s = 0.0
        self.allowance = Allowance()
        self.costs = estimates.CostCorrection()
        self.caution = 1.0
        self._next_fall_s = 0.0
        self._served_tokens = 0.0
        self._served_at_s = 0.0
        self._backlogged_since_s = 0.0

    def add(self, waiting: Waiting, now_s: float) -> None:
        """Put a request in its place."""
        if not self.waiting:
            self._backlogged_since_s = now_s
        bisect.insort(self.waiting, waiting)
        self.backlog_tokens += waiting.cost

    def asked(self, cost: float, now_s: float) -> None:
        """Count a request into what the account asks for."""
        elapsed_s = now_s - self.asked_at_s
        faded = math.exp(-elapsed_s / ASKED_WINDOW_S)
        if not self._asked_tokens:
            self._first_asked_s = now_s
        self._asked_tokens = self._asked_tokens * faded + cost
        self.asked_at_s = now_s

    def asked_tokens_per_s(self) -> float:
        """Return the rate asked for, as of the last request."""
        asking_s = max(self.asked_at_s - self._first_asked_s, ASKED_LEAST_S)
        if asking_s > ASKED_LONG_S:
            return self._asked_tokens / ASKED_WINDOW_S
        window_s = ASKED_WINDOW_S * -math.expm1(-asking_s / ASKED_WINDOW_S)
        return self._asked_tokens / window_s

    def take_first(self) -> Waiting:
        """Remove the request that goes next."""
        return self._remove_at(0)

    def take_last(self) -> Waiting:
        """Remove the request that would go last."""
        return self._remove_at(len(self.waiting) - 1)

    def remove(self, priority: int, number: int) -> Waiting | None:
        """Remove one request wherever it stands."""
        place = bisect.bisect_left(self.waiting, (-priority, number))
        if place >= len(self.waiting) or self.waiting[place][1] != number:
            return None
        return self._remove_at(place)

    def backlog_ahead(self, priority: int) -> float:
        """Return the cost that goes before a new request of a priority."""
        if not self.waiting or self.waiting[-1][0] <= -priority:
            return self.backlog_tokens
        place = bisect.bisect_right(self.waiting, (-priority, math.inf))
        return math.fsum(entry.cost for entry in self.waiting[:place])

    def served(self, cost: float, now_s: float) -> None:
        """Count a dispatch into the measured rate."""
        self.caution = min(self.caution + CAUTION_RISE, 1.0)
        self._served_tokens = self._decayed(now_s) + cost
        self._served_at_s = now_s

    def refused_late(self, now_s: float) -> None:
        """Promise less from now on: the expected wait was too short.

        An account that others are preferred to gets less than its estimate
        says, and its callers would wait up to their deadline for a refusal.
        """
        if now_s >= self._next_fall_s:
            self._next_fall_s = now_s + CAUTION_STEP_S
            self.caution = max(self.caution * CAUTION_FALL, MIN_CAUTION)

    def rate_tokens_per_s(
        self, expected_rate: float, floor_rate: float, now_s: float
    ) -> float:
        """Return the rate to expect: measured once the line has stood a while.

        A line that only just formed was served without waiting until now, and
        that rate is over; it counts on what the rules give it. A line that was
        refused for long must not trust a measured rate of nought, so the
        guaranteed floor bounds it.
        """
        stood_s = now_s - self._backlogged_since_s
        if self.waiting and stood_s >= RATE_TRUSTED_AFTER_S:
            return max(self._decayed(now_s) / RATE_WINDOW_S, floor_rate)
        return max(expected_rate, floor_rate)

    def _decayed(self, now_s: float) -> float:
        elapsed_s = now_s - self._served_at_s
        return self._served_tokens * math.exp(-elapsed_s / RATE_WINDOW_S)

    def _remove_at(self, place: int) -> Waiting:
        entry = self.waiting.pop(place)
        self.backlog_tokens -= entry.cost
        if not self.waiting:
            self.backlog_tokens = 0.0
        return entry
