"""Keeps one fabric domain as it is declared, while it holds the lease.

Each step reads, decides and orders once. What is not certain is read again
before anything else is done: after a pause, after a lost answer, after a
conflict. Without the lease a step does nothing but watch it.
"""

import random

import attrs

from redwingvalve.core import clock, invariants
from redwingvalve.observability import logs
from redwingvalve.platform_api import (
    engine_orders,
    object_api,
    vm_list,
    weight_store,
)
from redwingvalve.replicas import domain as domain_module
from redwingvalve.replicas import (
    domain_monitor,
    domain_store,
    draft,
    entry_reports,
    lease,
    move_policy,
    order_sender,
    placement,
)
from redwingvalve.replicas import view as view_module

WATCH_EVERY_S = 2.5
SHORT_FOR_S = 5.0
FIRST_BACKOFF_S = 0.5
LONGEST_BACKOFF_S = 8.0
LOG = logs.make_logger('replicas')


@attrs.frozen
class ControllerInputs:
    """What the loop reads once for all domains; None when it is unknown."""

    vms: tuple[vm_list.Vm, ...] | None
    wanted: tuple[view_module.DesiredShare, ...] | None


@attrs.frozen
class Dependencies:
    """What a controller works with."""

    objects: object_api.ObjectApi
    orders: engine_orders.EngineOrders
    weights: weight_store.WeightStore
    clock: clock.Clock
    entries: entry_reports.EntryReports = attrs.field(
        factory=entry_reports.NoEntryReports
    )
    rng: random.Random = attrs.field(factory=random.Random)
    switches: invariants.SafeguardSwitches = attrs.field(
        factory=invariants.SafeguardSwitches
    )
    policy: draft.PlacementPolicy = attrs.field(factory=draft.PlacementPolicy)


@attrs.frozen
class DomainStatus:
    """A domain as this controller sees it; waiting_for is for operators."""

    domain: str
    holds_lease: bool
    waiting_for: tuple[str, ...]
    domain_object: domain_module.FabricDomain | None


class DomainController:
    """Steps one domain; owner is unique to this process's incarnation."""

    def __init__(self, name: str, owner: str, tools: Dependencies) -> None:
        """Hold nothing yet."""
        self._name = name
        self._owner = owner
        self._tools = tools
        self._store = domain_store.DomainStore(
            tools.objects, owner, tools.switches
        )
        self._watcher = domain_monitor.DomainWatcher(
            tools.orders, tools.clock, tools.entries, tools.switches
        )
        self._sender = order_sender.OrderSender(
            tools.orders,
            tools.weights,
            tools.clock,
            tools.rng,
            tools.switches,
        )
        self._read: domain_store.StoredDomain | None = None
        self._observation: lease.Observation | None = None
        self._holding: lease.Holding | None = None
        self._last_step_s = tools.clock.monotonic_s()
        self._renewed_s = 0.0
        self._store_from_s = 0.0
        self._backoff_s = 0.0
        self._store_lost_s: float | None = None
        self._short: frozenset[str] = frozenset()
        self._short_since_s: float | None = None

    async def step(self, inputs: ControllerInputs) -> None:
        """Make one pass."""
        now_s = self._now_s()
        if now_s - self._last_step_s > lease.PAUSE_NOTICED_S:
            # While this process was paused anything may have been written.
            self._read = None
        self._last_step_s = now_s
        self._drop_lapsed_lease()
        if self._read is None or self._holding is None:
            await self._read_and_take()
        if self._read is None or self._holding is None:
            return
        stopped = self._watcher.stopped_replicas(self._read.domain)
        await self._watcher.probe(self._read.domain)
        if self._watcher.sees_none() and self._tools.entries.is_isolated():
            # Cut off from its peers and from every engine, it would break
            # replicas that others see serving; those others take over.
            await self.release()
            return
        if self._watcher.judged(self._read.domain):
            await self._decide(inputs, stopped)
        await self._order(inputs)

    async def release(self) -> None:
        """Give the lease back, so that the next holder need not wait."""
        self._drop_lapsed_lease()
        if self._read is None or self._holding is None:
            return
        self._holding = None
        await self._store.write(self._read, lease.released(self._read.domain))
        self._read = None

    def status(self) -> DomainStatus:
        """Return what an operator should know."""
        return DomainStatus(
            self._name,
            self._holding is not None,
            tuple(self._waiting_for()),
            self._read.domain if self._read else None,
        )

    def domain_state(self) -> move_policy.DomainState | None:
        """Return the domain and what it cannot hold; None without the lease.

        What lost a VM counts at once. What could not be formed counts after
        SHORT_FOR_S, since VMs of a new domain are seen one after another.
        """
        if self._read is None or self._holding is None:
            return None
        short = set(self._short)
        if self._short_for_s() < SHORT_FOR_S:
            broken = domain_module.ReplicaState.BROKEN
            short &= {
                each.deployment
                for each in self._read.domain.replicas
                if each.state == broken
            }
        return move_policy.DomainState(self._read.domain, frozenset(short))

    def _short_for_s(self) -> float:
        if self._short_since_s is None:
            return 0.0
        return self._now_s() - self._short_since_s

    def _note_shortage(
        self,
        following: domain_module.FabricDomain,
        wanted: tuple[view_module.DesiredShare, ...],
    ) -> None:
        self._short = _short(following, wanted)
        if not self._short:
            self._short_since_s = None
        elif self._short_since_s is None:
            self._short_since_s = self._now_s()

    def _waiting_for(self) -> list[str]:
        reasons = []
        if self._store_lost_s is not None:
            lost_s = self._now_s() - self._store_lost_s
            reasons.append(f'the store gives no answer for {lost_s:.0f} s')
        waiting = self._sender.waiting_loads()
        if waiting:
            reasons.append(f'{waiting} replicas wait for the weight store')
        if self._short_since_s is not None:
            reasons.append('replicas wait for VMs')
        return reasons

    def _drop_lapsed_lease(self) -> None:
        if not self._tools.switches.enabled(order_sender.LEASE_CHECKED):
            return
        holding = self._holding
        if holding is not None and holding.remaining_s(self._now_s()) <= 0:
            LOG.warning('The lease lapsed', extra={'domain': self._name})
            self._holding = None

    async def _read_and_take(self) -> None:
        if self._now_s() < self._store_from_s:
            return
        answer = await self._store.read(self._name)
        if answer.is_error():
            self._note_failure(answer.error)
            return
        self._note_success()
        self._read = answer.ok
        now_s = self._now_s()
        found = answer.ok.domain
        self._observation = lease.observe(self._observation, found, now_s)
        if self._holding is not None and self._still_mine(found):
            return
        self._holding = None
        mine = found.lease.holder == self._owner
        if not mine and not lease.may_take(self._observation, now_s):
            self._store_from_s = now_s + WATCH_EVERY_S
            return
        await self._take(answer.ok)

    def _still_mine(self, found: domain_module.FabricDomain) -> bool:
        return (
            self._holding is not None
            and found.lease.holder == self._owner
            and found.fencing_number == self._holding.fencing_number
        )

    async def _take(self, read: domain_store.StoredDomain) -> None:
        if read.domain.schema_version > domain_module.SCHEMA_VERSION:
            # A newer program wrote it; an older one could drop its fields.
            return
        sent_s = self._now_s()
        had_holder = bool(read.domain.lease.holder)
        answer = await self._store.write(
            read, lease.taken(read.domain, self._owner)
        )
        if answer.is_error():
            self._note_failure(answer.error)
            self._read = None
            return
        self._read = answer.ok
        self._renewed_s = sent_s
        self._holding = lease.holding_from(
            answer.ok.domain, sent_s, self._now_s(), had_holder=had_holder
        )
        LOG.info('The lease was taken', extra={'domain': self._name})

    async def _decide(
        self, inputs: ControllerInputs, stopped: frozenset[str]
    ) -> None:
        read = self._read
        if read is None or self._now_s() < self._store_from_s:
            return
        following = self._following(read.domain, inputs, stopped)
        due = self._now_s() - self._renewed_s >= lease.RENEW_AFTER_S
        if following != read.domain or due:
            await self._write(read, following)

    def _following(
        self,
        current: domain_module.FabricDomain,
        inputs: ControllerInputs,
        stopped: frozenset[str],
    ) -> domain_module.FabricDomain:
        noted = current
        if inputs.vms is not None:
            noted = domain_monitor.with_listed(current, inputs.vms)
        if inputs.wanted is None:
            return noted
        view = self._watcher.view(noted, inputs.wanted, stopped)
        following = placement.next_domain(
            view, self._tools.switches, self._tools.policy
        )
        self._note_shortage(following, inputs.wanted)
        return _with_events(current, following, self._tools.clock.wall_s())

    async def _write(
        self,
        read: domain_store.StoredDomain,
        following: domain_module.FabricDomain,
    ) -> None:
        sent_s = self._now_s()
        answer = await self._store.write(read, lease.renewed(following))
        if answer.is_error():
            self._note_failure(answer.error)
            surely_not = (
                isinstance(answer.error, object_api.Unavailable)
                and not answer.error.maybe_applied
            )
            if not surely_not:
                self._read = None
            return
        self._note_success()
        self._read = answer.ok
        self._renewed_s = sent_s
        if self._holding is not None:
            self._holding = lease.extended(
                self._holding, answer.ok.domain, sent_s
            )

    async def _order(self, inputs: ControllerInputs) -> None:
        if self._read is None or self._holding is None:
            return
        view = self._watcher.view(
            self._read.domain, inputs.wanted or (), frozenset()
        )
        with invariants.unwrap_breaches():
            await self._sender.converge(view, self._holding)

    def _note_failure(self, problem: object_api.ObjectError) -> None:
        """Back off with jitter, so that all do not return at one moment."""
        if not isinstance(problem, object_api.Unavailable):
            return
        now_s = self._now_s()
        if self._store_lost_s is None:
            self._store_lost_s = now_s
        self._backoff_s = min(
            max(2 * self._backoff_s, FIRST_BACKOFF_S, problem.retry_after_s),
            max(LONGEST_BACKOFF_S, problem.retry_after_s),
        )
        jitter = self._tools.rng.uniform(0.5, 1)
        self._store_from_s = now_s + self._backoff_s * jitter

    def _note_success(self) -> None:
        self._store_lost_s = None
        self._backoff_s = 0.0

    def _now_s(self) -> float:
        return self._tools.clock.monotonic_s()


def _short(
    domain: domain_module.FabricDomain,
    wanted: tuple[view_module.DesiredShare, ...],
) -> frozenset[str]:
    """Return the deployments of which the domain cannot hold its share."""
    broken = domain_module.ReplicaState.BROKEN
    return frozenset(
        share.deployment.name
        for share in wanted
        if share.replicas
        > sum(
            each.deployment == share.deployment.name and each.state != broken
            for each in domain.replicas
        )
    )


def _with_events(
    before: domain_module.FabricDomain,
    after: domain_module.FabricDomain,
    at_s: float,
) -> domain_module.FabricDomain:
    noted = after
    for replica in after.replicas:
        old = before.replica(replica.name)
        if old is not None and (old.state, old.epoch) == (
            replica.state,
            replica.epoch,
        ):
            continue
        reason = f': {replica.reason}' if replica.reason else ''
        noted = noted.with_event(
            domain_module.DomainEvent(
                at_s, replica.name, f'{replica.state.value}{reason}'
            )
        )
    for gone in before.replicas:
        if after.replica(gone.name) is None:
            noted = noted.with_event(
                domain_module.DomainEvent(at_s, gone.name, 'ended')
            )
    return noted


def make_domain_controller(
    name: str, owner: str, tools: Dependencies
) -> DomainController:
    """Return the controller of one domain."""
    return DomainController(name, owner, tools)
