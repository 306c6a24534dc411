"""Limits how many requests of a service are hedged.

Load pattern: all endpoints turn slow, so that every request seems worth a
second send. Without a limit the load would double just then. Each node keeps
to the operator's share of the requests that it has counted itself, so that the
fleet keeps to it without coordination: through cuts, with added nodes, and
after a restart, as a new process has counted no requests yet.
"""

import attrs

from redwingvalve.ingress import retry_budget, sliding_window

# The part of its retry budget that a node leaves to retries: a request that has
# failed needs its second send more than one that is only slow.
RESERVED_FOR_RETRIES = 0.5


@attrs.frozen
class HedgeShares:
    """Share of extra requests that the operator accepts, by service."""

    default: float = 0.0
    by_service: dict[str, float] = attrs.field(factory=dict)

    def share(self, service: str) -> float:
        """Return the share of a service; 0 if nothing is hedged."""
        return self.by_service.get(service, self.default)


class HedgeLimit:
    """Hedges and requests of one service at this node."""

    def __init__(self, share: float, window_s: float) -> None:
        """Start without requests, so that nothing may be hedged."""
        self.share = share
        self._requests = sliding_window.SlidingWindowCounter(window_s)
        self._recent_requests = sliding_window.SlidingWindowCounter(
            window_s / 2
        )
        self._hedges = sliding_window.SlidingWindowCounter(window_s)

    def record_request(self, now_s: float) -> None:
        """Count a request of a caller, which adds to the limit."""
        if self.share > 0:
            self._requests.record(now_s)
            self._recent_requests.record(now_s)

    def has_left(self, now_s: float) -> bool:
        """Return whether another request may be hedged."""
        return self._allowed(now_s) - self._hedges.count(now_s) >= 1

    def try_spend(self, budget: retry_budget.RetryBudget, now_s: float) -> bool:
        """Count a hedge, also in the retry budget, if both allow it."""
        if not (self.has_left(now_s) and leaves_retries(budget, now_s)):
            return False
        if not budget.try_spend(now_s):
            return False
        self._hedges.record(now_s)
        return True

    def _allowed(self, now_s: float) -> float:
        # Requests of a burst that is over must not pay for hedges after it:
        # they would exceed the share of the requests at that time.
        requests = min(
            self._requests.count(now_s), 2 * self._recent_requests.count(now_s)
        )
        return self.share * requests


def leaves_retries(budget: retry_budget.RetryBudget, now_s: float) -> bool:
    """Return whether a hedge leaves enough of the retry budget to retries."""
    use = budget.use(now_s)
    return use.left >= 1 + RESERVED_FOR_RETRIES * use.allowed
