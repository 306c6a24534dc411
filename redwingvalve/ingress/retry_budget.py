"""This node's share of the fleet-wide retry budget.

Load pattern: a fabric domain fails and dozens of streams move to other
endpoints within a second; or an endpoint fails half of its requests for many
seconds. The first must not be held back, the second must not double the work.
Each node keeps to its own share, so that the fleet stays within the budget
without coordination, while nodes restart or can't reach one another.

A share is spent once per window, whichever process of the node spends it. A
process doesn't know what the previous one spent before its end, so it may spend
little until it is a window old. The fixed part of the budget is divided by all
nodes that the store has listed: one that is silent may be spending its share.
"""

import abc
import math

import attrs

from redwingvalve.ingress import sliding_window

# The windows of the nodes overlap only partly, so a part of the budget stays
# unused as a safety margin.
USABLE_SHARE = 0.8
# The part of its share of the fixed budget that a new process may spend at
# once. The margin covers it if all nodes restart at the same time.
STARTING_SHARE = 0.1


class Fleet(abc.ABC):
    """What this node knows of the nodes that share a budget."""

    @abc.abstractmethod
    def size(self) -> int:
        """Return the number of nodes, silent ones included; 0 if unknown."""

    @abc.abstractmethod
    def has_restarted_within(self, window_s: float) -> bool:
        """Return whether the previous process of this node was as young."""


class SingleNode(Fleet):
    """A node without peers."""

    def size(self) -> int:
        """Return 1."""
        return 1

    def has_restarted_within(self, window_s: float) -> bool:
        """Return False."""
        return False


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
    # Nodes that the fixed part of the budget is divided by, 0 if unknown.
    nodes: int
    # What this process may spend of the fixed part.
    extra: float
    allowed: float

    @property
    def left(self) -> float:
        """Return the retries that are left."""
        return max(0.0, self.allowed - self.retries)


class RetryBudget:
    """Retry budget of one service: requests and retries within the window."""

    def __init__(
        self,
        config: RetryBudgetConfig,
        fleet: Fleet,
        started_s: float = -math.inf,
    ) -> None:
        """Start without requests in a process that started at started_s."""
        self._config = config
        self._fleet = fleet
        self._started_s = started_s
        self._requests = sliding_window.SlidingWindowCounter(config.window_s)
        self._retries = sliding_window.SlidingWindowCounter(config.window_s)

    def record_request(self, now_s: float) -> None:
        """Count a request of a caller, which adds to the budget."""
        self._requests.record(now_s)

    def try_spend(self, now_s: float) -> bool:
        """Spend one retry if this node's share allows it."""
        if not self.has_left(now_s):
            return False
        self._retries.record(now_s)
        return True

    def has_left(self, now_s: float) -> bool:
        """Return whether this node's share allows another retry."""
        return self.use(now_s).left >= 1

    def use(self, now_s: float) -> BudgetUse:
        """Return this node's share and its use."""
        requests = self._requests.count(now_s)
        nodes = self._fleet.size()
        extra = self._extra(nodes, now_s)
        allowed = self._config.ratio * requests + extra
        return BudgetUse(
            requests=requests,
            retries=self._retries.count(now_s),
            nodes=nodes,
            extra=extra,
            allowed=allowed * USABLE_SHARE,
        )

    def _extra(self, nodes: int, now_s: float) -> float:
        if not nodes:
            return 0
        share = self._config.extra / nodes
        window_s = self._config.window_s
        if now_s - self._started_s >= window_s:
            return share
        if self._fleet.has_restarted_within(window_s):
            return 0
        return share * STARTING_SHARE
