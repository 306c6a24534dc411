"""Reconciles one fabric domain with the desired state while holding its lease.

Each step reads, decides and sends orders once. After a pause of the process, a
lost answer or a conflict the domain is read again before anything else is
done. Without the lease a step only observes it and tries to acquire it.
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
    domain_changes,
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

LEASE_POLL_INTERVAL_S = 2.5
SHORTAGE_GRACE_S = 5.0
MIN_BACKOFF_S = 0.5
MAX_BACKOFF_S = 8.0
LOG = logs.make_logger('replicas')


@attrs.frozen
class ControllerInputs:
    """Inputs that the loop reads for all domains; None if not known yet."""

    vms: tuple[vm_list.Vm, ...] | None
    desired: tuple[view_module.DesiredShare, ...] | None


@attrs.frozen
class Dependencies:
    """The dependencies of a controller."""

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
    """A domain as seen by this controller; operators get waiting_for."""

    domain: str
    holds_lease: bool
    waiting_for: tuple[str, ...]
    domain_object: domain_module.FabricDomain | None


class DomainController:
    """Reconciles one domain; owner is unique to this process incarnation."""

    def __init__(
        self, name: str, owner: str, dependencies: Dependencies
    ) -> None:
        """Start without the lease."""
        self._name = name
        self._owner = owner
        self._dependencies = dependencies
        self._store = domain_store.DomainStore(
            dependencies.objects, owner, dependencies.switches
        )
        self._monitor = domain_monitor.DomainMonitor(
            dependencies.orders,
            dependencies.clock,
            dependencies.entries,
            dependencies.switches,
        )
        self._sender = order_sender.OrderSender(
            dependencies.orders,
            dependencies.weights,
            dependencies.clock,
            dependencies.rng,
            dependencies.switches,
        )
        self._stored: domain_store.StoredDomain | None = None
        self._lease_observation: lease.Observation | None = None
        self._held_lease: lease.HeldLease | None = None
        self._last_step_s = dependencies.clock.monotonic_s()
        self._renewed_s = 0.0
        self._store_retry_at_s = 0.0
        self._backoff_s = 0.0
        self._store_unavailable_since_s: float | None = None
        self._short_deployments: frozenset[str] = frozenset()
        self._short_since_s: float | None = None

    async def step(self, inputs: ControllerInputs) -> None:
        """Reconcile once."""
        now_s = self._now_s()
        if now_s - self._last_step_s > lease.PAUSE_DETECTION_S:
            # Another process may have written while this one was paused.
            self._stored = None
        self._last_step_s = now_s
        self._drop_expired_lease()
        if self._stored is None or self._held_lease is None:
            await self._read_and_acquire()
        if self._stored is None or self._held_lease is None:
            return
        unrouted = self._monitor.unrouted_replicas(self._stored.domain)
        await self._monitor.probe(self._stored.domain)
        if (
            self._monitor.all_probes_failed()
            and self._dependencies.entries.is_isolated()
        ):
            # A controller that reaches neither its peers nor any engine would
            # break replicas that others see serving. One of those takes over.
            await self.release()
            return
        if self._monitor.members_known(self._stored.domain):
            await self._update_domain(inputs, unrouted)
        await self._send_orders(inputs)

    async def release(self) -> None:
        """Release the lease, so that the next holder need not wait."""
        self._drop_expired_lease()
        if self._stored is None or self._held_lease is None:
            return
        self._held_lease = None
        await self._store.write(
            self._stored, lease.released(self._stored.domain)
        )
        self._stored = None

    def status(self) -> DomainStatus:
        """Return the status of the domain for operators."""
        return DomainStatus(
            self._name,
            self._held_lease is not None,
            tuple(self._waiting_for()),
            self._stored.domain if self._stored else None,
        )

    def domain_state(self) -> move_policy.DomainState | None:
        """Return the domain and the deployments that it is short of.

        Returns None without the lease. A replica that lost a VM counts at once.
        One that could not be formed counts after SHORTAGE_GRACE_S, since VMs
        of a new domain are discovered one after another.
        """
        if self._stored is None or self._held_lease is None:
            return None
        short_deployments = set(self._short_deployments)
        if self._shortage_age_s() < SHORTAGE_GRACE_S:
            broken = domain_module.ReplicaState.BROKEN
            short_deployments &= {
                each.deployment
                for each in self._stored.domain.replicas
                if each.state == broken
            }
        return move_policy.DomainState(
            self._stored.domain, frozenset(short_deployments)
        )

    def _shortage_age_s(self) -> float:
        if self._short_since_s is None:
            return 0.0
        return self._now_s() - self._short_since_s

    def _record_shortage(
        self,
        next_domain: domain_module.FabricDomain,
        desired: tuple[view_module.DesiredShare, ...],
    ) -> None:
        self._short_deployments = domain_changes.short_deployments(
            next_domain, desired
        )
        if not self._short_deployments:
            self._short_since_s = None
        elif self._short_since_s is None:
            self._short_since_s = self._now_s()

    def _waiting_for(self) -> list[str]:
        reasons = []
        if self._store_unavailable_since_s is not None:
            unavailable_s = self._now_s() - self._store_unavailable_since_s
            reasons.append(
                f'the store has been unavailable for {unavailable_s:.0f} s'
            )
        waiting = self._sender.waiting_loads()
        if waiting:
            reasons.append(f'{waiting} replicas wait for the weight store')
        if self._short_since_s is not None:
            reasons.append('replicas wait for VMs')
        return reasons

    def _drop_expired_lease(self) -> None:
        if not self._dependencies.switches.enabled(order_sender.LEASE_CHECKED):
            return
        held_lease = self._held_lease
        if (
            held_lease is not None
            and held_lease.remaining_s(self._now_s()) <= 0
        ):
            LOG.warning('domain lease expired', extra={'domain': self._name})
            self._held_lease = None

    async def _read_and_acquire(self) -> None:
        if self._now_s() < self._store_retry_at_s:
            return
        answer = await self._store.read(self._name)
        if answer.is_error():
            self._record_store_failure(answer.error)
            return
        self._record_store_success()
        self._stored = answer.ok
        now_s = self._now_s()
        found = answer.ok.domain
        self._lease_observation = lease.observe(
            self._lease_observation, found, now_s
        )
        if self._held_lease is not None and self._still_holds(found):
            return
        self._held_lease = None
        is_holder = found.lease.holder == self._owner
        if not is_holder and not lease.may_acquire(
            self._lease_observation, now_s
        ):
            self._store_retry_at_s = now_s + LEASE_POLL_INTERVAL_S
            return
        await self._acquire(answer.ok)

    def _still_holds(self, found: domain_module.FabricDomain) -> bool:
        return (
            self._held_lease is not None
            and found.lease.holder == self._owner
            and found.fencing_number == self._held_lease.fencing_number
        )

    async def _acquire(self, stored: domain_store.StoredDomain) -> None:
        if stored.domain.schema_version > domain_module.SCHEMA_VERSION:
            # A newer version of the program wrote the domain. This version
            # would drop the fields that it does not know.
            return
        request_sent_s = self._now_s()
        had_holder = bool(stored.domain.lease.holder)
        answer = await self._store.write(
            stored, lease.acquired(stored.domain, self._owner)
        )
        if answer.is_error():
            self._record_store_failure(answer.error)
            self._stored = None
            return
        self._stored = answer.ok
        self._renewed_s = request_sent_s
        self._held_lease = lease.held_lease_after(
            answer.ok.domain,
            request_sent_s,
            self._now_s(),
            had_holder=had_holder,
        )
        LOG.info('domain lease acquired', extra={'domain': self._name})

    async def _update_domain(
        self, inputs: ControllerInputs, unrouted: frozenset[str]
    ) -> None:
        stored = self._stored
        if stored is None or self._now_s() < self._store_retry_at_s:
            return
        next_domain = self._next_domain(stored.domain, inputs, unrouted)
        due = self._now_s() - self._renewed_s >= lease.RENEW_INTERVAL_S
        if next_domain != stored.domain or due:
            await self._write(stored, next_domain)

    def _next_domain(
        self,
        current: domain_module.FabricDomain,
        inputs: ControllerInputs,
        unrouted: frozenset[str],
    ) -> domain_module.FabricDomain:
        updated = current
        if inputs.vms is not None:
            updated = domain_monitor.with_listed(current, inputs.vms)
        if inputs.desired is None:
            return updated
        view = self._monitor.view(updated, inputs.desired, unrouted)
        next_domain = placement.next_domain(
            view, self._dependencies.switches, self._dependencies.policy
        )
        self._record_shortage(next_domain, inputs.desired)
        return domain_changes.with_events(
            current, next_domain, self._dependencies.clock.wall_s()
        )

    async def _write(
        self,
        stored: domain_store.StoredDomain,
        next_domain: domain_module.FabricDomain,
    ) -> None:
        request_sent_s = self._now_s()
        answer = await self._store.write(stored, lease.renewed(next_domain))
        if answer.is_error():
            self._record_store_failure(answer.error)
            not_applied = (
                isinstance(answer.error, object_api.Unavailable)
                and not answer.error.maybe_applied
            )
            if not not_applied:
                self._stored = None
            return
        self._record_store_success()
        self._stored = answer.ok
        self._renewed_s = request_sent_s
        if self._held_lease is not None:
            self._held_lease = lease.extended(
                self._held_lease, answer.ok.domain, request_sent_s
            )

    async def _send_orders(self, inputs: ControllerInputs) -> None:
        if self._stored is None or self._held_lease is None:
            return
        view = self._monitor.view(
            self._stored.domain, inputs.desired or (), frozenset()
        )
        with invariants.unwrap_breaches():
            await self._sender.reconcile(view, self._held_lease)

    def _record_store_failure(self, problem: object_api.ObjectError) -> None:
        """Back off with jitter, so that controllers do not retry at once."""
        if not isinstance(problem, object_api.Unavailable):
            return
        now_s = self._now_s()
        if self._store_unavailable_since_s is None:
            self._store_unavailable_since_s = now_s
        self._backoff_s = min(
            max(2 * self._backoff_s, MIN_BACKOFF_S, problem.retry_after_s),
            max(MAX_BACKOFF_S, problem.retry_after_s),
        )
        jitter = self._dependencies.rng.uniform(0.5, 1)
        self._store_retry_at_s = now_s + self._backoff_s * jitter

    def _record_store_success(self) -> None:
        self._store_unavailable_since_s = None
        self._backoff_s = 0.0

    def _now_s(self) -> float:
        return self._dependencies.clock.monotonic_s()


def make_domain_controller(
    name: str, owner: str, dependencies: Dependencies
) -> DomainController:
    """Return the controller of one domain."""
    return DomainController(name, owner, dependencies)
