"""Limits how many requests of a service are hedged.

Load pattern: all endpoints turn slow, so that every request seems worth a
second send. Without a limit the load would double just then. Each node keeps
to the operator's share of the requests that it has counted itself, so that the
fleet keeps to it without coordination: through cuts, with added nodes, and
after a restart, as a new process has counted no requests yet.
"""

import collections
import random

import attrs

from redwingvalve.ingress import retry_budget, sliding_window

# The part of its retry budget that a node leaves to retries: a request that has
# failed needs its second send more than one that is only slow.
RESERVED_FOR_RETRIES = 0.5
# The windows of the nodes overlap only partly. In plays of 7 nodes with 260
# requests per second, the whole share was exceeded by 2 % in a window.
USABLE_SHARE = 0.9


@attrs.frozen
class HedgeShares:
    """Share of extra requests that the operator accepts, by service."""

    default: float = 0.0
    by_service: dict[str, float] = attrs.field(factory=dict)

    def share(self, service: str) -> float:
        """Return the share of a service; 0 if nothing is hedged."""
        return self.by_service.get(service, self.default)


class HedgeLimit:
    """Hedges and requests of one service at this node.

    Each request earns its share of a hedge. What is earned lasts for a window,
    so that a node with few requests may hedge one at times.
    """

    def __init__(
        self, share: float, window_s: float, rng: random.Random | None = None
    ) -> None:
        """Start without requests, so that nothing may be hedged."""
        self.share = share
        self._requests = sliding_window.SlidingWindowCounter(window_s)
        self._recent_requests = sliding_window.SlidingWindowCounter(
            window_s / 2
        )
        self._hedges = sliding_window.SlidingWindowCounter(window_s)
        self._window_s = window_s
        # Less than one hedge. Nodes that start together would otherwise all
        # earn their first one at the same time.
        self._fraction = -(rng or random.Random()).random()
        # When each hedge that is left was earned.
        self._earned_s: collections.deque[float] = collections.deque()

    def record_request(self, now_s: float) -> None:
        """Count a request of a caller, which adds to the limit."""
        if self.share <= 0:
            return
        self._requests.record(now_s)
        self._recent_requests.record(now_s)
        # A node that earns less than one hedge in a window may spend it in the
        # window after; half the rate keeps the fleet within the share there.
        earns_few = self._allowed(now_s) < 1
        earned = self.share * USABLE_SHARE
        self._fraction += earned / 2 if earns_few else earned
        if self._fraction >= 1:
            self._fraction -= 1
            self._earned_s.append(now_s)
        self._drop_expired(now_s)

    def has_left(self, now_s: float) -> bool:
        """Return whether another request may be hedged."""
        self._drop_expired(now_s)
        allowed = self._allowed(now_s)
        if not (self._earned_s and allowed):
            return False
        return self._hedges.count(now_s) < max(1, int(allowed))

    def try_spend(self, budget: retry_budget.RetryBudget, now_s: float) -> bool:
        """Count a hedge, also in the retry budget, if both allow it."""
        if not (self.has_left(now_s) and leaves_retries(budget, now_s)):
            return False
        if not budget.try_spend(now_s):
            return False
        self._earned_s.popleft()
        self._hedges.record(now_s)
        return True

    def _allowed(self, now_s: float) -> float:
        # Requests of a burst that is over must not pay for hedges after it:
        # they would exceed the share of the requests at that time.
        requests = min(
            self._requests.count(now_s), 2 * self._recent_requests.count(now_s)
        )
        return self.share * USABLE_SHARE * requests

    def _drop_expired(self, now_s: float) -> None:
        earned_s = self._earned_s
        while earned_s and now_s - earned_s[0] > self._window_s:
            earned_s.popleft()


def leaves_retries(budget: retry_budget.RetryBudget, now_s: float) -> bool:
    """Return whether enough of the retry budget is left for a hedge."""
    use = budget.use(now_s)
    return use.left >= max(1, RESERVED_FOR_RETRIES * use.allowed)
