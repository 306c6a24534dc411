"""This node's share of the fleet-wide retry budget.

Load pattern: a fabric domain fails and dozens of streams move to other
endpoints within a second; or an endpoint fails half of its requests for many
seconds. The first must not be held back, the second must not double the work.
Each node keeps to its own share, so that the fleet stays within the budget
without coordination.
"""

import attrs

from redwingvalve.ingress import sliding_window

# Windows of the nodes overlap only partly and a restarted process starts with
# an empty one, so a part of the budget stays unused as a safety margin.
USABLE_SHARE = 0.8


@attrs.frozen
class RetryBudgetConfig:
    """Retries that a service accepts from all nodes together."""

    ratio: float
    extra: int
    window_s: float


@attrs.frozen
class BudgetUse:
    """This node's share of a budget within the window, and its use."""

    requests: int
    retries: int
    # Nodes that the fixed part of the budget is divided by.
    nodes: int
    # This node's share of the fixed part.
    extra: float
    allowed: float

    @property
    def left(self) -> float:
        """Return the retries that are left."""
        return max(0.0, self.allowed - self.retries)


class RetryBudget:
    """Retry budget of one service: requests and retries within the window."""

    def __init__(self, config: RetryBudgetConfig) -> None:
        """Start without requests."""
        self._config = config
        self._requests = sliding_window.SlidingWindowCounter(config.window_s)
        self._retries = sliding_window.SlidingWindowCounter(config.window_s)

    def record_request(self, now_s: float) -> None:
        """Count a request of a caller, which adds to the budget."""
        self._requests.record(now_s)

    def try_spend(self, now_s: float, nodes: int) -> bool:
        """Spend one retry if this node's share allows it."""
        if self.use(now_s, nodes).left < 1:
            return False
        self._retries.record(now_s)
        return True

    def use(self, now_s: float, nodes: int) -> BudgetUse:
        """Return this node's share and its use."""
        config = self._config
        requests = self._requests.count(now_s)
        extra = config.extra / max(nodes, 1)
        return BudgetUse(
            requests=requests,
            retries=self._retries.count(now_s),
            nodes=nodes,
            extra=extra,
            allowed=(config.ratio * requests + extra) * USABLE_SHARE,
        )
