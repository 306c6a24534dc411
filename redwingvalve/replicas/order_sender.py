"""Reconciles the engines of a domain with the domain object.

Load pattern: a few orders after a change or for a new controller, hundreds
after the loss of a rack. Orders are idempotent, since each states the desired
state. Two kinds could do harm: an order sent without the lease, and one that
stops an engine with requests in flight. Both are checked right before sending.

A new lease holder also sends its fencing number to engines that are already in
the desired state. Otherwise an engine that refuses old fencing numbers would
not know yet that the number of the previous holder is old.
"""

import random

import anyio
import attrs

from redwingvalve.core import clock, invariants
from redwingvalve.declaration import schema
from redwingvalve.observability import logs
from redwingvalve.platform_api import engine_orders, weight_store
from redwingvalve.replicas import domain as domain_module
from redwingvalve.replicas import lease
from redwingvalve.replicas import view as view_module

LEASE_CHECKED = invariants.Safeguard.LEASE_CHECKED_BEFORE_ORDER
DRAIN_BEFORE_STOP = invariants.Safeguard.DRAIN_BEFORE_STOP
MAX_CONCURRENT_ORDERS = 16
MIN_ORDER_TIMEOUT_S = 0.2
READ_TIMEOUT_S = 0.5
RESERVATION_RETRY_S = 2.0
LOG = logs.make_logger('replicas')


@attrs.frozen
class LoadReservation:
    """Answer of the weight store for one replica and epoch.

    Until until_s the load may start if it is granted; else the weight store is
    not asked again before then.
    """

    granted: bool
    until_s: float


class OrderSender:
    """Sends orders for one domain while its lease lasts."""

    def __init__(
        self,
        orders: engine_orders.EngineOrders,
        weights: weight_store.WeightStore,
        time_source: clock.Clock,
        rng: random.Random,
        switches: invariants.SafeguardSwitches,
    ) -> None:
        """Send through orders; loads need a reservation by weights."""
        self._orders = orders
        self._weights = weights
        self._clock = time_source
        self._rng = rng
        self._switches = switches
        self._reservations: dict[tuple[str, int], LoadReservation] = {}

    async def reconcile(
        self, view: view_module.DomainView, held_lease: lease.HeldLease
    ) -> None:
        """Send an order to every engine that differs from the domain object."""
        if not self._may_order(view, held_lease):
            return
        self._drop_stale_reservations(view.domain)
        for replica in view.domain.replicas:
            if replica.state == domain_module.ReplicaState.FORMING:
                await self._reserve_load(view, replica)
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_ORDERS)
        replica_by_vm = {
            member: owner
            for owner in view.domain.replicas
            for member in owner.members
        }
        async with anyio.create_task_group() as group:
            for vm in view.domain.vms:
                order = self._desired_order(
                    view.vm(vm.name), replica_by_vm.get(vm.name), held_lease
                )
                if order is not None:
                    group.start_soon(
                        self._send,
                        view,
                        vm.address,
                        order,
                        held_lease,
                        limiter,
                    )

    def waiting_loads(self) -> int:
        """Return how many replicas wait for the weight store."""
        return sum(
            not reservation.granted
            for reservation in self._reservations.values()
        )

    def _may_order(
        self, view: view_module.DomainView, held_lease: lease.HeldLease
    ) -> bool:
        # An order of the previous holder may still be in flight. An engine that
        # ignores fencing would obey it after one of this process, and two
        # replicas would share a VM. After the wait no such order can arrive.
        trusts = {each.endpoint_trust for each in view.domain.replicas}
        trusts.update(each.deployment.endpoint_trust for each in view.desired)
        if schema.EndpointTrust.IGNORES_FENCING not in trusts:
            return True
        return (
            self._clock.monotonic_s() >= held_lease.unfenced_orders_from_s
            or not self._switches.enabled(LEASE_CHECKED)
        )

    def _drop_stale_reservations(
        self, domain: domain_module.FabricDomain
    ) -> None:
        live = {(each.name, each.epoch) for each in domain.replicas}
        self._reservations = {
            key: reservation
            for key, reservation in self._reservations.items()
            if key in live
        }

    async def _reserve_load(
        self, view: view_module.DomainView, replica: domain_module.DomainReplica
    ) -> None:
        ordered = all(
            view_module.runs_as_ordered(view.vm(name).state, replica, name)
            for name in replica.members
        )
        key = (replica.name, replica.epoch)
        now_s = self._clock.monotonic_s()
        reservation = self._reservations.get(key)
        if ordered or (reservation is not None and now_s < reservation.until_s):
            return
        answer = await self._weights.reserve_load(
            replica.model, replica.version
        )
        now_s = self._clock.monotonic_s()
        if answer.is_ok():
            until_s = now_s + answer.ok.expires_after_s
            self._reservations[key] = LoadReservation(
                granted=True, until_s=until_s
            )
            return
        # Jitter keeps the replicas of a lost rack from retrying all at once.
        wait_s = max(answer.error.retry_after_s, RESERVATION_RETRY_S)
        wait_s *= self._rng.uniform(1, 1.5)
        self._reservations[key] = LoadReservation(
            granted=False, until_s=now_s + wait_s
        )

    def _desired_order(
        self,
        vm_view: view_module.VmView,
        replica: domain_module.DomainReplica | None,
        held_lease: lease.HeldLease,
    ) -> engine_orders.EngineOrder | None:
        if not vm_view.reachable or vm_view.state is None:
            return None
        if replica is None:
            order = _idle_order(vm_view.name, held_lease.fencing_number)
        elif replica.state == domain_module.ReplicaState.BROKEN:
            # Its engines get no order, so that a replica whose VMs return can
            # be adopted without loading it again.
            return None
        else:
            order = _replica_order(
                vm_view.name, replica, held_lease.fencing_number
            )
        if _matches_order(vm_view.state, order):
            is_fenced = (
                vm_view.state.highest_fencing_number
                >= held_lease.fencing_number
            )
            return None if is_fenced else order
        if replica is not None and not self._may_load(replica):
            return None
        return order

    def _may_load(self, replica: domain_module.DomainReplica) -> bool:
        reservation = self._reservations.get((replica.name, replica.epoch))
        return reservation is not None and reservation.granted

    async def _send(
        self,
        view: view_module.DomainView,
        address: str,
        order: engine_orders.EngineOrder,
        held_lease: lease.HeldLease,
        limiter: anyio.CapacityLimiter,
    ) -> None:
        async with limiter:
            if not await self._may_stop(view, address, order):
                return
            timeout_s = self._order_timeout_s(held_lease)
            if timeout_s <= 0:
                return
            answer = await self._orders.send(address, order, timeout_s)
        if answer.is_error() and isinstance(
            answer.error, engine_orders.OrderRefused
        ):
            LOG.warning(
                'engine refused an order: fencing number is outdated',
                extra={'vm': order.vm, 'fencing_number': order.fencing_number},
            )

    async def _may_stop(
        self,
        view: view_module.DomainView,
        address: str,
        order: engine_orders.EngineOrder,
    ) -> bool:
        state = view.vm(order.vm).state
        if not _interrupts_replica(view, state, order):
            return True
        # An entry that learned late of the drain may have sent a request since
        # the probe. A stop would interrupt it, so the engine's state is read
        # again right before the order.
        answer = await self._orders.read_state(address, READ_TIMEOUT_S)
        if answer.is_error():
            return False
        if answer.ok.in_flight and self._switches.enabled(DRAIN_BEFORE_STOP):
            return False
        invariants.require(
            not answer.ok.in_flight,
            'a planned stop cuts off no request in progress',
            f'{order.vm}: {answer.ok.in_flight} in flight',
        )
        return True

    def _order_timeout_s(self, held_lease: lease.HeldLease) -> float:
        """Return the timeout for the order; zero means that it must not go out.

        The lease of a holder that was paused may have expired, and another one
        may be sending orders to the same engines, which this order would undo.
        The lease is therefore checked after the last wait, and the order times
        out no later than the lease.
        """
        remaining_s = held_lease.remaining_s(self._clock.monotonic_s())
        checked = self._switches.enabled(LEASE_CHECKED)
        if checked and remaining_s < MIN_ORDER_TIMEOUT_S:
            return 0.0
        invariants.require(
            remaining_s > 0,
            'an order is sent under a lease',
            f'the lease expired {-remaining_s:.3f} s ago',
        )
        return min(lease.ORDER_TIMEOUT_S, remaining_s)


def _idle_order(vm: str, fencing_number: int) -> engine_orders.EngineOrder:
    return engine_orders.EngineOrder(
        vm=vm,
        fencing_number=fencing_number,
        replica='',
        epoch=0,
        model='',
        version='',
        role='idle',
    )


def _replica_order(
    vm: str, replica: domain_module.DomainReplica, fencing_number: int
) -> engine_orders.EngineOrder:
    return engine_orders.EngineOrder(
        vm=vm,
        fencing_number=fencing_number,
        replica=replica.name,
        epoch=replica.epoch,
        model=replica.model,
        version=replica.version,
        role=view_module.role_of(replica, vm),
        members=replica.members,
        adapters=replica.adapters,
    )


def _matches_order(
    state: engine_orders.EngineState, order: engine_orders.EngineOrder
) -> bool:
    if order.role == 'idle':
        return not state.replica
    names = ('replica', 'epoch', 'model', 'version', 'role')
    same = all(getattr(state, name) == getattr(order, name) for name in names)
    return (
        same
        and tuple(state.members) == order.members
        and tuple(state.adapters) == order.adapters
    )


def _interrupts_replica(
    view: view_module.DomainView,
    state: engine_orders.EngineState | None,
    order: engine_orders.EngineOrder,
) -> bool:
    """Tell whether the order may interrupt requests of a complete replica.

    The requests in flight at a replica with a missing VM are already lost.
    """
    if state is None or not state.replica or _matches_order(state, order):
        return False
    return all(view.vm(name).reachable for name in state.members)
