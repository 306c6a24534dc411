"""State of the request path that all requests of a node share."""

import abc
import random
import time
from collections import abc as collections_abc

import attrs

from redwingvalve.http1 import byte_account, client, pool, response_limits
from redwingvalve.ingress import (
    answer_ends,
    caller_retries,
    duration_estimates,
    hedge_limit,
    hedge_policy,
    load_balancing,
    peer_routes,
    poison_trials,
    prompt_sizes,
    reachability,
    reservations,
    retry_budget,
    routes,
    stall_detection,
)
from redwingvalve.ingress import poison as poison_module
from redwingvalve.ingress import stop_admission as stop_admission_module


class InFlightRequest(abc.ABC):
    """A request that an endpoint is processing."""

    # None before it is sent.
    target: load_balancing.Target | None = None
    connection: client.Connection | None = None

    @abc.abstractmethod
    def head_stalled(self) -> None:
        """Move the request to another endpoint, if it can be moved."""


class TargetProvider(abc.ABC):
    """Provides the endpoints that currently take requests."""

    @abc.abstractmethod
    def find_targets(
        self, service: str, model: str
    ) -> tuple[load_balancing.Target, ...]:
        """Return the targets of a model, or of a plain service."""

    @abc.abstractmethod
    def suspect(self, endpoint_id: str, reason: str, born_ms: int = 0) -> None:
        """Take an endpoint out of use until it is known to be healthy.

        born_ms is the start of the process that failed, 0 if unknown.
        """

    def connect_failed(
        self, endpoint_id: str, reason: str, born_ms: int = 0
    ) -> None:
        """Handle a failed connect: the endpoint or the path to it is lost.

        born_ms is the start of the process that failed, 0 if unknown.
        """
        self.suspect(endpoint_id, reason, born_ms)

    def is_out_of_reach(self, service: str, model: str) -> bool:
        """Return whether this node can't connect to any target of a model."""
        return False

    @abc.abstractmethod
    def mark_leaving(self, endpoint_id: str, born_ms: int = 0) -> None:
        """Take an endpoint that is going to stop out of use for good."""

    @abc.abstractmethod
    def check_endpoint(
        self, endpoint_id: str, reason: str, born_ms: int = 0
    ) -> None:
        """Check whether an endpoint is healthy; it stays in use meanwhile."""

    @abc.abstractmethod
    def is_suspect(self, endpoint_id: str) -> bool:
        """Return whether an endpoint is out of use."""

    def is_evacuated(self, target: load_balancing.Target) -> bool:
        """Return whether nothing new may be sent to a target."""
        return False


def _no_requests(service: str, model: str) -> int:
    """Return 0, the count until the slot reserver is connected."""
    return 0


def _make_pool(state: 'IngressState') -> pool.Pool:
    return pool.Pool(limits=state.answer_limits)


@attrs.define(eq=False)
class IngressState:
    """Shared state and services for handling requests."""

    targets: TargetProvider
    retry_budget_config: retry_budget.RetryBudgetConfig
    configuration: routes.Configuration | None = None
    account: byte_account.ByteAccount = byte_account.UNLIMITED
    is_leaving: bool = False
    stop_admission: stop_admission_module.StopAdmission = attrs.field(
        factory=stop_admission_module.StopAdmission
    )
    # Nodes that seem to serve callers, including this one.
    node_count: int = 1
    # Those that share the retry budgets.
    fleet: retry_budget.Fleet = attrs.field(factory=retry_budget.SingleNode)
    peers: peer_routes.PeerProvider = attrs.field(factory=peer_routes.NoPeers)
    reach: reachability.EndpointReach = attrs.field(
        factory=reachability.AssumedReach
    )
    # Of this process, by the monotonic clock.
    started_s: float = attrs.field(factory=time.monotonic)
    loads: load_balancing.EndpointLoads = attrs.field(
        factory=load_balancing.EndpointLoads
    )
    connections: pool.Pool = attrs.field(
        default=attrs.Factory(_make_pool, takes_self=True)
    )
    stall_detector: stall_detection.StallDetector = attrs.field(
        factory=stall_detection.StallDetector
    )
    rng: random.Random = attrs.field(factory=random.Random)
    poison: poison_module.PoisonRequestTracker = attrs.field(
        factory=poison_module.PoisonRequestTracker
    )
    end_checker: answer_ends.AnswerEndChecker = attrs.field(
        factory=answer_ends.AssumedWhole
    )
    # Without it refused requests aren't tried again.
    trial_claimer: poison_trials.TrialClaimer | None = None
    deadline_history: caller_retries.DeadlineHistory = attrs.field(
        factory=caller_retries.DeadlineHistory
    )
    prompt_ranks: prompt_sizes.PromptSizes = attrs.field(
        factory=prompt_sizes.PromptSizes
    )
    reserver: reservations.Reserver | None = None
    # What the operator accepts; nothing is hedged by default.
    hedge_shares: hedge_limit.HedgeShares = attrs.field(
        factory=hedge_limit.HedgeShares
    )
    hedge_latencies: hedge_policy.HedgePolicy = attrs.field(
        factory=hedge_policy.HedgePolicy
    )
    # Slots of a service and model in use or waited for in the whole fleet.
    slot_demand: collections_abc.Callable[[str, str], int] = _no_requests
    # Requests that wait for slots which this node grants.
    waiting_requests: collections_abc.Callable[[str, str], int] = _no_requests
    # Requests to be moved if their head stalls, by endpoint id.
    in_flight_requests: dict[str, set['InFlightRequest']] = attrs.field(
        factory=dict
    )
    _first_event_estimates: dict[
        tuple[str, str], duration_estimates.DurationEstimate
    ] = attrs.field(factory=dict)
    _prompt_read_times: dict[str, stall_detection.PromptReadTimes] = (
        attrs.field(factory=dict)
    )
    _retry_budgets: dict[str, retry_budget.RetryBudget] = attrs.field(
        factory=dict
    )
    _hedge_limits: dict[str, hedge_limit.HedgeLimit] = attrs.field(factory=dict)

    def answer_limits(self) -> response_limits.ResponseLimits:
        """Return the limits of answers under the configuration in force."""
        if self.configuration is None:
            return response_limits.DEFAULT
        limits = self.configuration.limits
        return response_limits.make_limits(limits.head_bytes, limits.body_bytes)

    def is_out_of_reach(self, service: str, model: str) -> bool:
        """Return whether another node may reach endpoints that this can't."""
        if self.reach.is_cut_off:
            return True
        return self.targets.is_out_of_reach(service, model)

    def first_event_estimate(
        self, service: str, model: str
    ) -> duration_estimates.DurationEstimate:
        """Return the estimated time to the first event of a model."""
        key = (service, model)
        if key not in self._first_event_estimates:
            self._first_event_estimates[key] = (
                duration_estimates.make_first_event_estimate()
            )
        return self._first_event_estimates[key]

    def retry_budget(self, service: str) -> retry_budget.RetryBudget:
        """Return the retry budget of a service."""
        if service not in self._retry_budgets:
            self._retry_budgets[service] = retry_budget.RetryBudget(
                self.retry_budget_config, self.fleet, self.started_s
            )
        return self._retry_budgets[service]

    def hedge_limit(self, service: str) -> hedge_limit.HedgeLimit:
        """Return the limit of a service's hedged requests."""
        if service not in self._hedge_limits:
            self._hedge_limits[service] = hedge_limit.HedgeLimit(
                self.hedge_shares.share(service),
                self.retry_budget_config.window_s,
            )
        return self._hedge_limits[service]

    def prompt_read_times(self, model: str) -> stall_detection.PromptReadTimes:
        """Return the recent prompt read times of a model."""
        if model not in self._prompt_read_times:
            self._prompt_read_times[model] = stall_detection.PromptReadTimes()
        return self._prompt_read_times[model]
