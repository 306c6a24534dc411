"""Counts the slots of one pool, grants them and queues requests for them.

Load pattern: requests for a model arrive at hundreds of nodes, a few per second
at each, and each slot is reassigned several times a second. What a node knows
of the requests of other nodes is outdated before a request ends. So one node,
the owner, counts the slots of a pool and keeps the queue for them.
"""

import math
import random
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.allocation import (
    cold_starts,
    hold_table,
    messages,
    owner_knowledge,
    rate_limits,
)
from redwingvalve.allocation import endpoint_slots as endpoint_slots_module
from redwingvalve.ingress import (
    duration_estimates,
    load_balancing,
    outlier_detection,
    pool_queue,
    refusals,
    reservations,
    wait_queue,
)
from redwingvalve.observability import logs

LOG = logs.make_logger('allocation')
# Slots that late requests leave free: in standard deviations of the number in
# use, and at most this share of all slots.
RESERVED_STDDEVS = 0.5
MAX_RESERVED_SHARE = 0.25
# Limit on the endpoints whose domains are known, including those that are gone.
MAX_KNOWN_DOMAINS = 10_000

_Rank: typing.TypeAlias = tuple[bool, bool, float, float]
Clock = collections_abc.Callable[[], float]
OnLimitedStart: typing.TypeAlias = collections_abc.Callable[
    [hold_table.Key, str], None
]
Targets = collections_abc.Callable[
    [], collections_abc.Sequence[load_balancing.Target]
]


@attrs.define(eq=False)
class SlotPool(wait_queue.SlotCapacity):
    """The slots of one pool, and the queue for them."""

    targets: Targets
    rng: random.Random
    clock: Clock
    limits: rate_limits.RateLimits = attrs.field(factory=rate_limits.RateLimits)
    cold: cold_starts.ColdStarts = attrs.field(
        factory=cold_starts.make_unlimited
    )
    # What is known here of the starts of the last second.
    knowledge: collections_abc.Callable[[], owner_knowledge.Knowledge] = (
        lambda: owner_knowledge.Knowledge.ALL
    )
    # Called with each hold that counts against a limit.
    on_limited_start: OnLimitedStart = lambda key, endpoint_id: None
    _hold_time: duration_estimates.DurationEstimate = attrs.field(
        factory=duration_estimates.make_hold_time_estimate
    )
    # Domains by endpoint, also of endpoints that are gone.
    _domains: dict[str, str] = attrs.field(factory=dict)
    _outliers: outlier_detection.OutlierDetector = attrs.field(init=False)
    endpoint_slots: endpoint_slots_module.EndpointSlots = attrs.field(
        init=False
    )
    queue: pool_queue.PoolQueue = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the queue, the slots and the outlier detector."""
        self.endpoint_slots = endpoint_slots_module.EndpointSlots(
            self.clock, self.limits, self.cold, self.knowledge
        )
        self.queue = pool_queue.PoolQueue(self.clock, self)
        self.holds.on_change = self.queue.change_held
        self._outliers = outlier_detection.OutlierDetector(self.clock)
        self.endpoint_slots.on_forgotten = self._outliers.forget

    @property
    def holds(self) -> hold_table.HoldTable:
        """Return the slots that are held."""
        return self.endpoint_slots.holds

    @property
    def is_busy(self) -> bool:
        """Return whether slots are held or waited for."""
        return bool(len(self.holds) or len(self.queue))

    def acquire(
        self, sender: messages.Sender, ask: messages.Ask
    ) -> load_balancing.Target | None:
        """Hold a slot for an ask if one is free; return its target."""
        probed = self._choose_probe_target(ask)
        target = probed or self._choose_target(ask)
        if target is None:
            return None
        if probed is not None:
            self._outliers.start_probe(probed.endpoint_id)
        key = (sender, ask.number)
        self.endpoint_slots.hold(
            key,
            target,
            is_probe=probed is not None,
            account=ask.need.account,
        )
        if self.endpoint_slots.is_limited(target.endpoint_id):
            self.on_limited_start(key, target.endpoint_id)
        return target

    def release(
        self,
        key: hold_table.Key,
        leaving: reservations.ReleaseState,
        result: reservations.EndpointResult,
    ) -> None:
        """Free a slot and serve the queue."""
        hold = self.holds.release(key)
        if hold is None:
            return
        now_s = self.clock()
        self._record_result(hold, key[0].vm, result)
        if leaving is reservations.ReleaseState.REFUSED:
            self.endpoint_slots.mark_refused(hold.endpoint_id)
        elif leaving is reservations.ReleaseState.UNCERTAIN:
            self.endpoint_slots.mark_uncertain(hold.endpoint_id)
        elif result is not reservations.EndpointResult.FAILURE:
            self._hold_time.observe(now_s - hold.since_s)
        self.queue.dispatch()

    def reconcile(
        self,
        sender: messages.Sender,
        holdings: messages.Holdings,
    ) -> None:
        """Replace the holds of a node with those that it reports."""
        self.holds.reconcile(
            sender,
            holdings.endpoint_ids,
            self.clock(),
            holdings.accounts,
            holdings.born_ms,
        )
        self.queue.dispatch()

    def drop_node(self, vm: str) -> None:
        """Free the slots of a node that is gone."""
        if self.holds.drop_node(vm):
            self.queue.dispatch()

    def tick(self) -> None:
        """Drop expired state, then serve the queue."""
        self.endpoint_slots.drop_expired()
        domains = {one.endpoint_id: one.domain for one in self.targets()}
        self._outliers.tick(domains)
        if len(self._domains) > MAX_KNOWN_DOMAINS:
            self._domains.clear()
        self._domains.update(domains)
        self.queue.dispatch()

    def expected_wait_s(self, ask: wait_queue.SlotRequest) -> float:
        """Return the expected wait of a new request."""
        next_s = 1 / max(self.freed_per_s(), wait_queue.MIN_FREED_PER_S)
        return max(self.queue.expected_wait_s(ask), next_s)

    def free_slots(self) -> int:
        """Return the number of free slots in use."""
        return sum(map(self.endpoint_slots.free_at, self._in_use()))

    def slots(self) -> int:
        """Return the number of usable slots in use, held or free."""
        hold_s = self._hold_time.seconds
        return math.ceil(self.endpoint_slots.usable(self._in_use(), hold_s))

    def freed_per_s(self) -> float:
        """Return the slots freed per second while all are held."""
        hold_s = self._hold_time.seconds
        return self.endpoint_slots.usable(self._in_use(), hold_s) / hold_s

    def blocked_s(self) -> float:
        """Return how long limits keep all endpoints from a request."""
        return min(
            (
                self.endpoint_slots.blocked_s(target.endpoint_id)
                for target in self._in_use()
            ),
            default=0.0,
        )

    def retry_after_s(self) -> float:
        """Return after how many seconds a refused caller should retry."""
        not_before_s = refusals.before_jitter_s(self.blocked_s())
        return max(self.queue.retry_after_s(), not_before_s)

    def has_free_slots(self) -> bool:
        """Return False if no request can get a slot now."""
        free = self.endpoint_slots.with_free(self.targets())
        return next(free, None) is not None

    def has_spare_slots(self) -> bool:
        """Return whether late requests may take a slot now.

        Some slots are reserved for requests that can still be on time: half of
        the square root of all slots, that is, half the standard deviation of
        the number in use.
        """
        slots = self.slots()
        reserved = RESERVED_STDDEVS * math.sqrt(slots)
        return self.free_slots() > min(reserved, slots * MAX_RESERVED_SHARE)

    def _record_result(
        self,
        hold: hold_table.Hold,
        reporter: str,
        result: reservations.EndpointResult,
    ) -> None:
        if result is reservations.EndpointResult.UNKNOWN:
            return
        endpoint_id = hold.endpoint_id
        is_failure = result is reservations.EndpointResult.FAILURE
        was_ejected = self._outliers.is_ejected(endpoint_id)
        if hold.is_probe:
            self._outliers.record_probe(endpoint_id, is_failure=is_failure)
        else:
            self._outliers.record(endpoint_id, reporter, is_failure=is_failure)
        is_ejected = self._outliers.is_ejected(endpoint_id)
        if is_ejected != was_ejected:
            change = 'ejected' if is_ejected else 'returned by probe'
            LOG.warning(f'endpoint {change}', extra={'endpoint': endpoint_id})

    def _in_use(self) -> collections_abc.Sequence[load_balancing.Target]:
        """Return the endpoints that get more than probes."""
        return _usable(self.targets(), self._outliers)

    def _choose_probe_target(
        self, ask: messages.Ask
    ) -> load_balancing.Target | None:
        if not ask.need.may_probe:
            return None
        for target in self.targets():
            is_due = self._outliers.needs_probe(target.endpoint_id)
            if target.endpoint_id in ask.resting:
                continue
            if is_due and self.endpoint_slots.free_at(target) > 0:
                return target
        return None

    def _choose_target(self, ask: messages.Ask) -> load_balancing.Target | None:
        """Return the least loaded endpoint, of another domain if possible.

        A domain fails as a whole, and its heads stall all at once: a stream
        that one of them has lost must not be resumed at the next one.
        """
        excluded = {*ask.avoid, *ask.resting}
        untried = [
            target
            for target in self.targets()
            if target.endpoint_id not in excluded
        ]
        free = list(self.endpoint_slots.with_free(untried))
        in_use = _usable(free, self._outliers)
        # An ejected endpoint is better than none, except for a hedge.
        if free and not (in_use or ask.need.is_hedge):
            in_use = [] if _usable(untried, self._outliers) else free
        failed_domains = {
            self._domains.get(endpoint_id, '') for endpoint_id in ask.avoid
        } - {''}

        def rank(target: load_balancing.Target) -> _Rank:
            load = self.holds.count(target.endpoint_id) / target.slots
            is_slow = self.endpoint_slots.is_slow(target.endpoint_id)
            penalty = self._outliers.penalty(target.endpoint_id)
            is_failed = target.domain in failed_domains
            return is_failed, is_slow, load + penalty, self.rng.random()

        return min(in_use, key=rank, default=None)


def _usable(
    targets: collections_abc.Iterable[load_balancing.Target],
    outliers: outlier_detection.OutlierDetector,
) -> list[load_balancing.Target]:
    """Return those of the endpoints that get more than probes."""
    return [one for one in targets if outliers.is_usable(one.endpoint_id)]


PoolTargets: typing.TypeAlias = collections_abc.Callable[
    [messages.Pool], collections_abc.Sequence[load_balancing.Target]
]
