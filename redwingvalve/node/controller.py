"""Reconciles the replicas of a service while this node holds the lease."""

import typing

import anyio.abc

from redwingvalve.core import clock
from redwingvalve.fleet import (
    demand,
    endpoints,
    head_evidence,
    history,
    serving,
)
from redwingvalve.fleet import registry as registry_module
from redwingvalve.ingress import routes
from redwingvalve.node import (
    departures,
    endpoint_prober,
    endpoint_scheduler,
    head_stops,
    replica_orders,
    replica_spec,
    tasks,
)
from redwingvalve.observability import logs, node_metrics
from redwingvalve.platform import endpoint_orders

LOG = logs.make_logger('controller')
# The replacement of a lost replica member takes about a second in total.
RECONCILE_INTERVAL_S = 0.05
# Minimum time between two checks of a replica. It is shorter for a suspect one,
# which gets no requests until it has been checked.
RECHECK_INTERVAL_S = 1.5
SUSPECT_RECHECK_INTERVAL_S = 0.3
# An endpoint that did not answer is not used until its entry is certain to have
# expired, which takes three heartbeats: if it were ordered to join a replica,
# it would delay three live endpoints.
UNRESPONSIVE_HOLD_S = 5.0
# When a fleet starts, all endpoints are listed within this time of the first.
STARTUP_SETTLE_S = 0.8
_MS_PER_S = 1000
_ACTIVE = frozenset((endpoints.MemberState.OPEN, endpoints.MemberState.CLOSING))


class Controller:
    """Reconciles one service with an engine."""

    def __init__(
        self,
        service: str,
        registry: registry_module.Registry,
        table: serving.ServingTable,
        client: endpoint_orders.EndpointClient,
        prober: endpoint_prober.EndpointProber,
        group: anyio.abc.TaskGroup,
        may_order: typing.Callable[[], bool],
        slot_demand: typing.Callable[[str, str], float],
    ) -> None:
        """Run tasks in group; send orders only while may_order returns True.

        It is called before each order: after a pause of the whole process, a
        task may resume before anything else notices that the lease has expired.

        slot_demand returns the number of slots that a service's model uses, or
        that requests wait for, in the whole fleet.
        """
        self.term = 0
        self.has_served = False
        self._service = service
        self._registry = registry
        self._table = table
        self._tasks = tasks.EndpointTasks(group)
        self._history = history.ReplicaHistory()
        self._orders = replica_orders.ReplicaOrders(
            client, prober, registry, may_order, self._history
        )
        self._scheduler = endpoint_scheduler.EndpointScheduler(
            client, self._orders, self._tasks
        )
        self._checked_s: dict[replica_spec.ReplicaKey, float] = {}
        self._demand = demand.ModelDemand()
        self._slot_demand = slot_demand
        self._engine: routes.Engine | None = None
        self._endpoint_count = 0
        self._count_changed_s = 0.0
        registry.on_change.append(self.record_fleet_state)

    def configure(self, engine: routes.Engine) -> None:
        """Set the engine configuration of the service's endpoints."""
        is_first = self._engine is None
        self._engine = engine
        lag_s = engine.report_lag_ms / _MS_PER_S
        self._orders.head_stops.report_lag_s = lag_s
        if is_first:
            # Endpoints may be listed before the configuration is known. If they
            # were not recorded here, members whose head isn't listed yet would
            # count as free.
            self.record_fleet_state()

    def record_fleet_state(self) -> None:
        """Record transient states that later ones would not reveal."""
        engine = self._engine
        if engine is None:
            return
        live = self._live_endpoints()
        for endpoint in live:
            self._scheduler.record_model(endpoint)
        replicas = endpoints.group_replicas(live).get(self._service, [])
        self._history.update(replicas, engine, clock.boot_s())

    def reconcile(self, engine: routes.Engine) -> None:
        """Start the tasks that move the service towards its desired state."""
        live = self._live_endpoints()
        if not self._is_settled(live):
            return
        self._scheduler.term = self.term
        replicas = endpoints.group_replicas(live).get(self._service, [])
        for replica in replicas:
            self._reconcile_replica(replica, engine)
        free = self._free_endpoints(live, replicas)
        if self._is_fleet_starting() and any(not one.staged for one in free):
            self._scheduler.assign_initial_models(free, engine)
            return
        self._scheduler.form_replicas(free, engine)
        self._scheduler.load_models(
            free, live, engine, self._needed_vms(engine)
        )

    def _needed_vms(self, engine: routes.Engine) -> dict[str, float]:
        now_s = clock.boot_s()
        for model in engine.models:
            slots = self._slot_demand(self._service, model.name)
            self._demand.record(model.name, slots, now_s)
        return self._demand.needed_vms(engine.models, engine.slots)

    def _is_fleet_starting(self) -> bool:
        # Fleet-wide rather than per lease holder: the lease may change hands
        # before the first replica is formed, and loads are cheap only until the
        # first request.
        return not self.has_served

    def _live_endpoints(self) -> list[endpoints.Endpoint]:
        return [
            endpoint
            for endpoint in self._registry.live.values()
            if endpoint.service == self._service and endpoint.has_model_fields
        ]

    def _is_settled(self, live: list[endpoints.Endpoint]) -> bool:
        if not self._is_fleet_starting():
            return True
        now_s = clock.boot_s()
        if len(live) != self._endpoint_count:
            self._endpoint_count = len(live)
            self._count_changed_s = now_s
        return bool(live) and now_s - self._count_changed_s >= STARTUP_SETTLE_S

    def _reconcile_replica(
        self, replica: endpoints.Replica, engine: routes.Engine
    ) -> None:
        head = replica.head
        model = engine.find_model(replica.model)
        is_incomplete = model is None or len(replica.members) != model.size
        if head is None or self._tasks.is_any_busy(replica.members):
            return
        if self._has_stopped_for_good(replica.key):
            return
        state = head.membership.state
        if state is endpoints.MemberState.OPEN and replica.is_leaving:
            self._tasks.start(replica.members, self._drain(replica))
            return
        is_suspect = self._table.is_suspect(head.endpoint_id)
        if state in _ACTIVE and is_suspect:
            self._start_health_check(replica, SUSPECT_RECHECK_INTERVAL_S)
        elif state in _ACTIVE and is_incomplete:
            self._start_health_check(replica, RECHECK_INTERVAL_S)

    def _start_health_check(
        self, replica: endpoints.Replica, min_interval_s: float
    ) -> None:
        now_s = clock.boot_s()
        checked_s = self._checked_s.get(replica.key, 0)
        if now_s - checked_s < min_interval_s:
            return
        self._checked_s[replica.key] = now_s
        record = self._history.get(replica.key)
        last_complete = record.whole if record and record.whole else replica
        self._tasks.start(
            last_complete.members, self._check_replica(last_complete)
        )

    async def _drain(self, replica: endpoints.Replica) -> None:
        evidence = await self._orders.head_stops.drain(
            replica.members[0], clock.boot_s()
        )
        self._mark_head_stopped(replica.key, evidence)

    async def _stop_missing_head(
        self,
        replica: endpoints.Replica,
        missing_since_s: float,
        has_served: bool,
    ) -> None:
        evidence = await self._orders.head_stops.stop_missing_head(
            replica.members[0], missing_since_s, has_served=has_served
        )
        self._mark_head_stopped(replica.key, evidence)

    async def _open_or_dissolve(self, replica: endpoints.Replica) -> None:
        """Open a ready replica, or make sure that it can never open."""
        record = self._history.get(replica.key)
        last_complete = record.whole if record is not None else None
        is_complete = last_complete and len(last_complete.members) == len(
            replica.members
        )
        # A holder between two terms of this one may have ordered its members to
        # join another replica.
        is_own = replica.epoch // replica_orders.EPOCHS_PER_TERM == self.term
        if is_complete and is_own and await self._orders.open_if_ready(replica):
            return
        evidence = await self._orders.head_stops.make_head_leave(
            replica.members[0]
        )
        self._mark_head_stopped(replica.key, evidence)

    def _mark_head_stopped(
        self,
        key: replica_spec.ReplicaKey,
        evidence: head_evidence.Evidence | None,
    ) -> None:
        record = self._history.get(key)
        if record is None or evidence is None:
            return
        record.stopped_by = evidence
        missing_since_s = record.head_missing_since_s
        missing_s = clock.boot_s() - (missing_since_s or clock.boot_s())
        node_metrics.METRICS.count(
            'redwingvalve_stopped_heads', evidence=evidence.value
        )
        LOG.info(
            'head stopped',
            extra={
                'replica': key[0],
                'epoch': key[1],
                'evidence': evidence.value,
                'entry_missing_ms': int(missing_s * 1000),
            },
        )

    async def _check_replica(self, replica: endpoints.Replica) -> None:
        head = replica.members[0]
        check = await self._orders.check_replica(
            replica.members,
            is_suspect=self._table.is_suspect(head.endpoint_id),
        )
        self._mark_head_stopped(replica.key, check.evidence)
        if check.result is not replica_orders.CheckResult.HEALTHY:
            return
        LOG.info('replica is whole', extra={'replica': replica.name})
        self._table.mark_healthy(head.endpoint_id)

    def _free_endpoints(
        self,
        live: list[endpoints.Endpoint],
        replicas: list[endpoints.Replica],
    ) -> list[endpoints.Endpoint]:
        """Return available endpoints that are in no replica that may serve."""
        in_replicas: set[str] = set()
        for replica in replicas:
            if self._may_serve(replica):
                in_replicas.update(one.endpoint_id for one in replica.members)
        return [
            endpoint
            for endpoint in live
            if endpoint.endpoint_id not in in_replicas
            and not endpoint.draining
            and not self._tasks.is_busy(endpoint)
            and not self._is_unresponsive(endpoint)
        ]

    def _is_unresponsive(self, endpoint: endpoints.Endpoint) -> bool:
        unresponsive_s = self._orders.unresponsive_since_s.get(
            endpoint.incarnation
        )
        return (
            unresponsive_s is not None
            and clock.boot_s() - unresponsive_s < UNRESPONSIVE_HOLD_S
        )

    def _has_stopped_for_good(self, key: replica_spec.ReplicaKey) -> bool:
        """Return whether a head never serves again, whatever its entry says."""
        record = self._history.get(key)
        return record is not None and head_evidence.is_final(record.stopped_by)

    def _may_open(
        self, replica: endpoints.Replica, head: endpoints.Endpoint
    ) -> bool:
        """Return whether a head serves, or may still open by a late order.

        An order to open that was never answered may be executed seconds later,
        when the other members have joined another replica.
        """
        if head.membership.state in _ACTIVE:
            return not self._has_stopped_for_good(replica.key)
        record = self._history.get(replica.key)
        if (
            record is None
            or record.stopped_by
            or not _may_have_been_opened(record, head, self._orders.ordered)
        ):
            return False
        if not self._tasks.is_any_busy(replica.members):
            self._tasks.start(replica.members, self._open_or_dissolve(replica))
        return True

    def _may_serve(self, replica: endpoints.Replica) -> bool:
        head = replica.head
        if head is not None:
            return self._may_open(replica, head)
        record = self._history.get(replica.key)
        if (
            record is None
            or record.stopped_by
            or record.head_missing_since_s is None
            or self._orders.ordered.can_never_open(replica.key)
        ):
            return False
        missing_since_s = record.head_missing_since_s
        was_seen_ready = record.has_served or _was_ready(
            record, replica.key, self._orders.ordered
        )
        if record.whole is None or not was_seen_ready:
            # This node doesn't know the head, or never saw it ready: it may
            # have opened while the store was unavailable, and gets time to
            # finish its requests.
            return clock.boot_s() - missing_since_s < head_stops.LEAVE_TIMEOUT_S
        if not self._tasks.is_any_busy(record.whole.members):
            self._tasks.start(
                record.whole.members,
                self._stop_missing_head(
                    record.whole, missing_since_s, record.has_served
                ),
            )
        return True


def _may_have_been_opened(
    record: history.ReplicaRecord,
    head: endpoints.Endpoint,
    ordered: departures.OrderedReplicas,
) -> bool:
    membership = head.membership
    assert membership is not None
    if membership.state is endpoints.MemberState.BROKEN:
        return False
    if _was_ready(record, membership.key, ordered):
        return True
    # Another lease holder may have ordered it to open.
    is_ready = membership.state is endpoints.MemberState.READY
    return is_ready and not ordered.can_never_open(membership.key)


def _was_ready(
    record: history.ReplicaRecord,
    key: replica_spec.ReplicaKey,
    ordered: departures.OrderedReplicas,
) -> bool:
    # The ready state may pass too quickly to be observed.
    return record.was_ready or ordered.is_open_ordered(key)
