"""What the request path of a node shares between its requests."""

import abc
import random
from collections import abc as collections_abc

import attrs

from redwingvalve.http1 import pool
from redwingvalve.ingress import (
    caller_retries,
    duration_estimates,
    load_balancing,
    reservations,
    retry_budget,
    routes,
    stall_detection,
)
from redwingvalve.ingress import poison as poison_module


class InFlightRequest(abc.ABC):
    """A send under way."""

    @abc.abstractmethod
    def head_stalled(self) -> None:
        """End the send, to go on elsewhere."""


class TargetProvider(abc.ABC):
    """Knows which endpoints take requests now."""

    @abc.abstractmethod
    def find_targets(
        self, service: str, model: str
    ) -> tuple[load_balancing.Target, ...]:
        """Return the targets for a model, or of a plain service."""

    @abc.abstractmethod
    def suspect(self, endpoint_id: str, reason: str) -> None:
        """Take an endpoint out of use until it is known to be sound."""

    @abc.abstractmethod
    def check_endpoint(self, endpoint_id: str, reason: str) -> None:
        """Find out whether an endpoint is sound; use it meanwhile."""

    @abc.abstractmethod
    def is_suspect(self, endpoint_id: str) -> bool:
        """Return whether an endpoint is out of use."""


def _nothing_in_use(service: str, model: str) -> int:
    """Return 0: nothing is granted yet."""
    return 0


@attrs.define(eq=False)
class IngressState:
    """Everything that one request needs of the node."""

    targets: TargetProvider
    allowance: retry_budget.RetryBudgetConfig
    configuration: routes.Configuration | None = None
    is_leaving: bool = False
    # Nodes that serve callers, this one included.
    node_count: int = 1
    loads: load_balancing.EndpointLoads = attrs.field(
        factory=load_balancing.EndpointLoads
    )
    connections: pool.Pool = attrs.field(factory=pool.Pool)
    stall_detector: stall_detection.StallDetector = attrs.field(
        factory=stall_detection.StallDetector
    )
    chance: random.Random = attrs.field(factory=random.Random)
    poison: poison_module.PoisonRequestTracker = attrs.field(
        factory=poison_module.PoisonRequestTracker
    )
    first_deadlines: caller_retries.FirstDeadlines = attrs.field(
        factory=caller_retries.FirstDeadlines
    )
    reserver: reservations.Reserver | None = None
    # Places of a service and model in use and wanted, in the whole fleet.
    slot_demand: collections_abc.Callable[[str, str], int] = _nothing_in_use
    # Requests that wait for places which this node grants.
    waiting_requests: collections_abc.Callable[[str, str], int] = (
        _nothing_in_use
    )
    # Sends that end when their head falls silent, by endpoint.
    in_flight_requests: dict[str, set['InFlightRequest']] = attrs.field(
        factory=dict
    )
    _begin: dict[tuple[str, str], duration_estimates.DurationEstimate] = (
        attrs.field(factory=dict)
    )
    _prompts: dict[str, stall_detection.PromptReadTimes] = attrs.field(
        factory=dict
    )
    _windows: dict[str, retry_budget.RetryBudget] = attrs.field(factory=dict)

    def begin(
        self, service: str, model: str
    ) -> duration_estimates.DurationEstimate:
        """Return how long answers of a model take to begin."""
        key = (service, model)
        if key not in self._begin:
            self._begin[key] = duration_estimates.make_first_event_estimate()
        return self._begin[key]

    def retry_budget(self, service: str) -> retry_budget.RetryBudget:
        """Return the retries of a service."""
        if service not in self._windows:
            self._windows[service] = retry_budget.RetryBudget(self.allowance)
        return self._windows[service]

    def prompts(self, model: str) -> stall_detection.PromptReadTimes:
        """Return how long prompts of a model were lately."""
        if model not in self._prompts:
            self._prompts[model] = stall_detection.PromptReadTimes()
        return self._prompts[model]
