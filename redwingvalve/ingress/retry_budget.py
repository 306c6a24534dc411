"""This node's part of the retries that all nodes may make together.

Load pattern: a fabric domain goes dark and some dozens of streams move within
a second; or an endpoint fails half of its requests for many seconds. The
first must not be held back, the second must not double the work. Each node
keeps to its own share, so that the sum holds without a word between nodes.
"""

import attrs

from redwingvalve.ingress import sliding_window

# Other nodes may see a part of the same window and a new process starts its
# count anew, so that a part of the allowance stays unused.
USABLE_SHARE = 0.8


@attrs.frozen
class RetryBudgetConfig:
    """How many repeated sends a service takes from all nodes."""

    ratio: float
    extra: int
    window_s: float


class RetryBudget:
    """Sends and first sends of one service within the window."""

    def __init__(self, config: RetryBudgetConfig) -> None:
        """Start without sends."""
        self._config = config
        self._requests = sliding_window.SlidingWindowCounter(config.window_s)
        self._retries = sliding_window.SlidingWindowCounter(config.window_s)

    def record_request(self, now_s: float) -> None:
        """Count a caller's request."""
        self._requests.record(now_s)

    def try_spend(self, now_s: float, nodes: int) -> bool:
        """Count one more repeated send if this node's share allows it."""
        if self.remaining(now_s, nodes) < 1:
            return False
        self._retries.record(now_s)
        return True

    def remaining(self, now_s: float, nodes: int) -> float:
        """Return the repeated sends that this node's share still allows."""
        config = self._config
        allowed = config.ratio * self._requests.count(now_s)
        allowed += config.extra / max(nodes, 1)
        return max(0.0, allowed * USABLE_SHARE - self._retries.count(now_s))
