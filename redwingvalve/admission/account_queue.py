"""The queue of one account in one lane, and the rate at which it drains."""

import bisect
import math
import typing

from redwingvalve.admission import estimates, messages

# A shorter window follows the noise of single jobs; a longer one still reports
# the rate of a burst after its end.
RATE_WINDOW_S = 1.0
RATE_WARMUP_S = 2.0
# Demand decides whether an account exceeds its share. The window is longer than
# that of the rate, so that a short burst of a small account doesn't count as
# excess.
DEMAND_WINDOW_S = 5.0
# The demand of a new account is averaged over the time since its first request,
# but over no less than this, or a burst of a small account would look like a
# flood. Averaged over the whole window, the first seconds of an overload would
# look moderate.
MIN_DEMAND_PERIOD_S = 3.5
SETTLED_DEMAND_S = 25.0

# A late refusal reduces the accepted wait of an account by a fifth, at most ten
# times a second; seven dispatches restore it. With a slower recovery, an
# account that was refused late for one second by chance would be refused too
# early for ten seconds.
LATE_REFUSAL_INTERVAL_S = 0.1
WAIT_FACTOR_DECREASE = 0.8
WAIT_FACTOR_INCREASE = 0.03
MIN_WAIT_FACTOR = 0.05


class QueuedRequest(typing.NamedTuple):
    """A queued request; sorts by priority, then by arrival."""

    negative_priority: int
    number: int
    cost: float
    request: messages.AdmissionRequest


class Allowance:
    """Token bucket for the preferred service of an account."""

    def __init__(self) -> None:
        """Start empty."""
        self.level = 0.0
        self._rate = 1.0
        self._at_s = 0.0

    def refill(self, rate: float, burst_s: float, now_s: float) -> None:
        """Add the rate since the last call, up to burst_s of it."""
        earned = (now_s - self._at_s) * rate
        full = rate * burst_s
        self.level = min(max(self.level, -full) + earned, full)
        self._rate = rate
        self._at_s = now_s

    def spend(self, cost: float) -> None:
        """Subtract the cost of any service, preferred or fair."""
        self.level -= cost

    def wait_s(self) -> float:
        """Return the seconds until the level is positive again."""
        return max(-self.level, 0.0) / max(self._rate, 1e-9)


class AccountQueue:
    """Requests by priority, then by arrival, with their total cost."""

    def __init__(self, name: str, number: int) -> None:
        """Start empty at virtual time 0; number breaks ties."""
        self.name = name
        self.number = number
        self.weight = 1.0
        self.penalty = 0.0
        self.virtual_time = 0.0
        self.version = 0
        self.is_listed = False
        self.backlog_tokens = 0.0
        self.waiting: list[QueuedRequest] = []
        self.last_request_s = 0.0
        self._demand_tokens = 0.0
        self._first_request_s = 0.0
        self.allowance = Allowance()
        self.costs = estimates.CostCorrection()
        self.wait_factor = 1.0
        self._next_decrease_s = 0.0
        self._served_tokens = 0.0
        self._served_at_s = 0.0
        self._backlogged_since_s = 0.0

    def add(self, waiting: QueuedRequest, now_s: float) -> None:
        """Insert a request in priority order."""
        if not self.waiting:
            self._backlogged_since_s = now_s
        bisect.insort(self.waiting, waiting)
        self.backlog_tokens += waiting.cost

    def record_demand(self, cost: float, now_s: float) -> None:
        """Add a request, admitted or not, to the demand of the account."""
        elapsed_s = now_s - self.last_request_s
        decay = math.exp(-elapsed_s / DEMAND_WINDOW_S)
        if not self._demand_tokens:
            self._first_request_s = now_s
        self._demand_tokens = self._demand_tokens * decay + cost
        self.last_request_s = now_s

    def demand_tokens_per_s(self) -> float:
        """Return the demand as of the last request."""
        active_s = max(
            self.last_request_s - self._first_request_s, MIN_DEMAND_PERIOD_S
        )
        if active_s > SETTLED_DEMAND_S:
            return self._demand_tokens / DEMAND_WINDOW_S
        window_s = DEMAND_WINDOW_S * -math.expm1(-active_s / DEMAND_WINDOW_S)
        return self._demand_tokens / window_s

    def pop_first(self) -> QueuedRequest:
        """Remove and return the next request to send."""
        return self._remove_at(0)

    def pop_last(self) -> QueuedRequest:
        """Remove and return the request that would be sent last."""
        return self._remove_at(len(self.waiting) - 1)

    def remove(self, priority: int, number: int) -> QueuedRequest | None:
        """Remove a request at any position; None if it is not queued."""
        index = bisect.bisect_left(self.waiting, (-priority, number))
        if index >= len(self.waiting) or self.waiting[index][1] != number:
            return None
        return self._remove_at(index)

    def backlog_ahead(self, priority: int) -> float:
        """Return the cost queued ahead of a new request of a priority."""
        if not self.waiting or self.waiting[-1][0] <= -priority:
            return self.backlog_tokens
        index = bisect.bisect_right(self.waiting, (-priority, math.inf))
        return math.fsum(entry.cost for entry in self.waiting[:index])

    def record_dispatch(self, cost: float, now_s: float) -> None:
        """Add a dispatch to the measured rate."""
        self.wait_factor = min(self.wait_factor + WAIT_FACTOR_INCREASE, 1.0)
        self._served_tokens = self._decayed(now_s) + cost
        self._served_at_s = now_s

    def record_late_refusal(self, now_s: float) -> None:
        """Accept only shorter waits: the last estimate was too low.

        While other accounts are preferred, this one gets less than estimated,
        and its callers would wait until their deadline for a refusal.
        """
        if now_s >= self._next_decrease_s:
            self._next_decrease_s = now_s + LATE_REFUSAL_INTERVAL_S
            self.wait_factor = max(
                self.wait_factor * WAIT_FACTOR_DECREASE, MIN_WAIT_FACTOR
            )

    def rate_tokens_per_s(
        self, expected_rate: float, floor_rate: float, now_s: float
    ) -> float:
        """Return the rate to expect, no less than the guaranteed floor_rate.

        The measured rate is used only after requests have queued for
        RATE_WARMUP_S: before that they were sent without waiting, at a rate
        that no longer holds. The floor keeps the measured rate of an account
        whose requests were all refused from staying at 0.
        """
        queued_for_s = now_s - self._backlogged_since_s
        if self.waiting and queued_for_s >= RATE_WARMUP_S:
            return max(self._decayed(now_s) / RATE_WINDOW_S, floor_rate)
        return max(expected_rate, floor_rate)

    def _decayed(self, now_s: float) -> float:
        elapsed_s = now_s - self._served_at_s
        return self._served_tokens * math.exp(-elapsed_s / RATE_WINDOW_S)

    def _remove_at(self, index: int) -> QueuedRequest:
        entry = self.waiting.pop(index)
        self.backlog_tokens -= entry.cost
        if not self.waiting:
            self.backlog_tokens = 0.0
        return entry
