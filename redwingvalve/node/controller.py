"""Keeps the fleet in replicas while this node holds the lease."""

import typing

import anyio.abc

from redwingvalve.core import clock
from redwingvalve.fleet import demand, endpoints, history, serving
from redwingvalve.fleet import registry as registry_module
from redwingvalve.ingress import routes
from redwingvalve.node import (
    endpoint_prober,
    endpoint_scheduler,
    replica_orders,
    tasks,
)
from redwingvalve.observability import logs
from redwingvalve.platform import endpoint_orders

LOG = logs.make_logger('controller')
# Between two looks at the fleet; a loss is mended in about a second.
LOOK_S = 0.05
# A replica that was found whole is not asked again sooner than this, unless
# it is suspect anew: until it is asked it serves nobody.
INSPECT_AGAIN_S = 1.5
SUSPECT_AGAIN_S = 0.3
# An endpoint that did not answer is left alone until its entry has surely
# lapsed, which takes three heartbeats: ordered to join, it would hold up three
# others that live.
LOST_S = 5.0
# All endpoints of a fleet that starts are listed within this of the first.
SETTLE_S = 0.8
_ACTIVE = frozenset((endpoints.MemberState.OPEN, endpoints.MemberState.CLOSING))


class Controller:
    """Decides what is done next for one service with an engine."""

    def __init__(
        self,
        service: str,
        registry: registry_module.Registry,
        table: serving.ServingTable,
        client: endpoint_orders.EndpointClient,
        prober: endpoint_prober.EndpointProber,
        group: anyio.abc.TaskGroup,
        holds_lease: typing.Callable[[], bool],
        in_use: typing.Callable[[str, str], float],
    ) -> None:
        """Run tasks in group; give orders while holds_lease says so.

        in_use returns the places that a service's model has in use.

        It is asked before each order: a task that was held up with the whole
        process goes on before anything else notices.
        """
        self.term = 0
        self.has_served = False
        self._service = service
        self._registry = registry
        self._table = table
        self._tasks = tasks.EndpointTasks(group)
        self._orders = replica_orders.ReplicaOrders(
            client, prober, registry, holds_lease
        )
        self._scheduler = endpoint_scheduler.EndpointScheduler(
            client, self._orders, self._tasks
        )
        self._inspected_s: dict[replica_orders.Key, float] = {}
        self._history = history.ReplicaHistory()
        self._demand = demand.ModelDemand()
        self._in_use = in_use
        self._engine: routes.Engine | None = None
        self._count = 0
        self._changed_s = 0.0
        registry.on_change.append(self.record_fleet_state)

    def configure(self, engine: routes.Engine) -> None:
        """Take how the service's endpoints work."""
        is_first = self._engine is None
        self._engine = engine
        if is_first:
            # Endpoints may be listed before the configuration is known. Not
            # noted, members whose head isn't listed yet would count as free.
            self.record_fleet_state()

    def record_fleet_state(self) -> None:
        """Remember what is only told by passing states."""
        engine = self._engine
        if engine is None:
            return
        live = self._live()
        for endpoint in live:
            self._scheduler.note(endpoint)
        replicas = endpoints.group_replicas(live).get(self._service, [])
        self._history.update(replicas, engine, clock.boot_s())

    def reconcile(self, engine: routes.Engine) -> None:
        """Start what is to be done now."""
        live = self._live()
        if not self._is_settled(live):
            return
        self._scheduler.term = self.term
        replicas = endpoints.group_replicas(live).get(self._service, [])
        for replica in replicas:
            self._look_at(replica, engine)
        free = self._free(live, replicas)
        if self._is_early() and any(not one.staged for one in free):
            self._scheduler.start_all(free, engine)
            return
        self._scheduler.form_all(free, engine)
        self._scheduler.load_all(free, live, engine, self._needed_vms(engine))

    def _needed_vms(self, engine: routes.Engine) -> dict[str, float]:
        now_s = clock.boot_s()
        for model in engine.models:
            places = self._in_use(self._service, model.name)
            self._demand.record(model.name, places, now_s)
        return self._demand.needed_vms(engine.models, engine.slots)

    def _is_early(self) -> bool:
        # Whoever holds the lease: it may pass on before the first replica is
        # formed, and loads are free only until the first request.
        return not self.has_served

    def _live(self) -> list[endpoints.Endpoint]:
        return [
            endpoint
            for endpoint in self._registry.live.values()
            if endpoint.service == self._service
        ]

    def _is_settled(self, live: list[endpoints.Endpoint]) -> bool:
        if not self._is_early():
            return True
        now_s = clock.boot_s()
        if len(live) != self._count:
            self._count = len(live)
            self._changed_s = now_s
        return bool(live) and now_s - self._changed_s >= SETTLE_S

    def _look_at(
        self, replica: endpoints.Replica, engine: routes.Engine
    ) -> None:
        head = replica.head
        model = engine.find_model(replica.model)
        is_missing = model is None or len(replica.members) != model.size
        if head is None or self._tasks.is_any_busy(replica.members):
            return
        state = head.membership.state
        if state is endpoints.MemberState.OPEN and replica.is_leaving:
            self._tasks.start(replica.members, self._retire(replica))
            return
        is_suspect = self._table.is_suspect(head.endpoint_id)
        if state in _ACTIVE and is_suspect:
            self._start_inspection(replica, SUSPECT_AGAIN_S)
        elif state in _ACTIVE and is_missing:
            self._start_inspection(replica, INSPECT_AGAIN_S)

    def _start_inspection(
        self, replica: endpoints.Replica, again_s: float
    ) -> None:
        now_s = clock.boot_s()
        asked_s = self._inspected_s.get(replica.key, 0)
        if now_s - asked_s < again_s:
            return
        self._inspected_s[replica.key] = now_s
        past = self._history.get(replica.key)
        known = past.whole if past and past.whole else replica
        self._tasks.start(known.members, self._inspect(known))

    async def _retire(self, replica: endpoints.Replica) -> None:
        await self._orders.retire(replica.members[0], clock.boot_s())
        self._mark_ended(replica.key)

    async def _end_missing(
        self, replica: endpoints.Replica, gone_s: float
    ) -> None:
        if await self._orders.end_missing(replica.members[0], gone_s):
            self._mark_ended(replica.key)

    async def _settle(self, replica: endpoints.Replica) -> None:
        """Open a replica that is ready, or see to it that it never opens."""
        past = self._history.get(replica.key)
        known = past.whole if past is not None else None
        is_whole = known and len(known.members) == len(replica.members)
        if is_whole and await self._orders.open_ready(replica):
            return
        if await self._orders.abandon(replica.members[0]):
            self._mark_ended(replica.key)

    def _mark_ended(self, key: replica_orders.Key) -> None:
        past = self._history.get(key)
        if past is not None:
            past.is_head_stopped = True

    async def _inspect(self, replica: endpoints.Replica) -> None:
        is_whole = await self._orders.inspect(replica.members)
        if not is_whole:
            self._mark_ended(replica.key)
            return
        LOG.info('replica is whole', extra={'replica': replica.name})
        self._table.mark_healthy(replica.members[0].endpoint_id)

    def _free(
        self,
        live: list[endpoints.Endpoint],
        replicas: list[endpoints.Replica],
    ) -> list[endpoints.Endpoint]:
        """Return endpoints that belong to no replica that may serve."""
        taken: set[str] = set()
        for replica in replicas:
            if self._may_serve(replica):
                taken.update(one.endpoint_id for one in replica.members)
        return [
            endpoint
            for endpoint in live
            if endpoint.endpoint_id not in taken
            and not endpoint.draining
            and not self._tasks.is_busy(endpoint)
            and not self._is_lost(endpoint)
        ]

    def _is_lost(self, endpoint: endpoints.Endpoint) -> bool:
        lost_s = self._orders.lost.get(endpoint.incarnation)
        return lost_s is not None and clock.boot_s() - lost_s < LOST_S

    def _may_open(
        self, replica: endpoints.Replica, head: endpoints.Endpoint
    ) -> bool:
        """Return whether a head serves, or may begin to by a late order.

        An order to open that was never answered may be carried out seconds
        later, when the other members have joined another replica.
        """
        if head.membership.state in _ACTIVE:
            return True
        past = self._history.get(replica.key)
        if (
            past is None
            or past.is_head_stopped
            or not self._was_ready(past, replica)
        ):
            return False
        if head.membership.state is endpoints.MemberState.BROKEN:
            return False
        if not self._tasks.is_any_busy(replica.members):
            self._tasks.start(replica.members, self._settle(replica))
        return True

    def _was_ready(
        self, past: history.ReplicaRecord, replica: endpoints.Replica
    ) -> bool:
        # The states in between may pass too fast to be seen.
        return past.was_ready or replica.key in self._orders.told_to_open

    def _may_serve(self, replica: endpoints.Replica) -> bool:
        head = replica.head
        if head is not None:
            return self._may_open(replica, head)
        past = self._history.get(replica.key)
        if (
            past is None
            or past.is_head_stopped
            or past.head_missing_since_s is None
        ):
            return False
        gone_s = past.head_missing_since_s
        is_seen_ready = past.has_served or self._was_ready(past, replica)
        if past.whole is None or not is_seen_ready:
            # Nobody here knows the head, or saw it get ready: it may have
            # opened while the store was away, and has time to finish.
            return clock.boot_s() - gone_s < replica_orders.LEAVING_S
        if not self._tasks.is_any_busy(past.whole.members):
            self._tasks.start(
                past.whole.members, self._end_missing(past.whole, gone_s)
            )
        return True
