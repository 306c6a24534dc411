"""Keeps the fleet in replicas while this node holds the lease."""

import time
import typing

import anyio
import attrs

from redwingvalve.fleet import (
    endpoints,
    planning,
    registry as registry_module,
    serving,
)
from redwingvalve.ingress import routes
from redwingvalve.node import replica_orders
from redwingvalve.observability import logs
from redwingvalve.platform import endpoint_orders

LOG = logs.make_logger('controller')
# Between two looks at the fleet; a loss is mended in about a second.
LOOK_S = 0.05
# A replica that was found whole is not asked again sooner than this.
INSPECT_AGAIN_S = 1.5
# An endpoint that did not answer is left alone for this long.
LOST_S = 3.0
# All endpoints of a fleet that starts are listed within this of the first.
SETTLE_S = 0.8
# Loads take a tenth of the time before the first request.
EARLY_LOAD_SHARE = 0.1
# An order to load that shows no effect is given again after twice the time.
LOAD_PATIENCE = 2.0
_ACTIVE = frozenset(
    (endpoints.MemberState.OPEN, endpoints.MemberState.CLOSING)
)
_UNFORMED = frozenset(
    (endpoints.MemberState.READY, endpoints.MemberState.JOINING)
)


@attrs.define(eq=False)
class _Loading:
    model: str
    until_s: float


class Controller:
    """Decides what is done next for one service with an engine."""

    def __init__(
        self,
        service: str,
        registry: registry_module.Registry,
        table: serving.ServingTable,
        client: endpoint_orders.EndpointClient,
        group: anyio.abc.TaskGroup,
    ) -> None:
        """Run tasks in group."""
        self.term = 0
        self.has_served = False
        self.holds = False
        self._service = service
        self._registry = registry
        self._table = table
        self._client = client
        self._group = group
        self._orders = replica_orders.ReplicaOrders(
            client, registry, lambda: self.holds
        )
        self._number = 0
        self._busy: set[str] = set()
        self._loading: dict[tuple[str, int], _Loading] = {}
        self._last_model: dict[tuple[str, int], str] = {}
        self._inspected_s: dict[replica_orders.Key, float] = {}
        self._whole: dict[replica_orders.Key, endpoints.Replica] = {}
        self._count = 0
        self._changed_s = 0.0
        self._loads: planning.LoadBudget | None = None

    def note_fleet(self) -> None:
        """Remember what is only told by passing states."""
        for endpoint in self._registry.live.values():
            membership = endpoint.membership
            if membership is not None:
                model = endpoints.model_of(membership.replica)
                self._last_model[endpoint.incarnation] = model

    def look(self, engine: routes.Engine) -> None:
        """Start what is to be done now."""
        live = self._live()
        if not self._is_settled(live):
            return
        if self._loads is None:
            self._loads = planning.LoadBudget(
                engine.loads_per_s, engine.loads_at_once
            )
        replicas = endpoints.find_replicas(live).get(self._service, [])
        for replica in replicas:
            self._look_at(replica, engine)
        free = self._free(live, replicas)
        if self._is_first_start(free):
            self._first_start(free, engine)
            return
        self._form_all(free, engine)
        self._load_all(free, live, engine)

    def _live(self) -> list[endpoints.Endpoint]:
        return [
            endpoint
            for endpoint in self._registry.live.values()
            if endpoint.service == self._service
        ]

    def _is_settled(self, live: list[endpoints.Endpoint]) -> bool:
        now_s = time.monotonic()
        if self._count == 0 and live:
            self._changed_s = now_s
        if len(live) != self._count and not self.has_served:
            self._changed_s = now_s
        self._count = len(live)
        if self.has_served or self.term > 1:
            return True
        return bool(live) and now_s - self._changed_s >= SETTLE_S

    def _look_at(
        self, replica: endpoints.Replica, engine: routes.Engine
    ) -> None:
        head = replica.head
        size = _size_of(replica.model, engine)
        if len(replica.members) == size:
            self._whole[replica.key] = replica
        if head is None or self._is_any_busy(replica.members):
            return
        state = head.membership.state
        if state is endpoints.MemberState.OPEN and replica.is_leaving:
            self._start(replica.members, self._orders.retire(replica))
            return
        if state not in _ACTIVE:
            return
        is_missing = len(replica.members) != size
        if is_missing or self._table.is_suspect(head.endpoint_id):
            self._start_inspection(replica)

    def _start_inspection(self, replica: endpoints.Replica) -> None:
        now_s = time.monotonic()
        asked_s = self._inspected_s.get(replica.key, 0)
        if now_s - asked_s < INSPECT_AGAIN_S:
            return
        self._inspected_s[replica.key] = now_s
        known = self._whole.get(replica.key, replica)
        self._start(known.members, self._inspect(known))

    async def _inspect(self, replica: endpoints.Replica) -> None:
        is_whole = await self._orders.inspect(replica.members)
        if is_whole:
            LOG.info('replica is whole', extra={'replica': replica.name})
            self._table.found_sound(replica.members[0].endpoint_id)

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
        now_s = time.monotonic()
        return [
            endpoint
            for endpoint in live
            if endpoint.endpoint_id not in taken
            and endpoint.endpoint_id not in self._busy
            and not endpoint.draining
            and now_s - self._orders.lost.get(endpoint.incarnation, -LOST_S)
            >= LOST_S
        ]

    def _may_serve(self, replica: endpoints.Replica) -> bool:
        head = replica.head
        if head is None:
            known = self._whole.get(replica.key)
            if known is None:
                return False
            gone = known.members[0]
            seen = self._registry.live.get(gone.endpoint_id)
            # Its entry has lapsed. It may be open and cut off from the store;
            # inspection has found it gone, or tries to close it.
            is_lost = gone.incarnation in self._orders.lost
            if seen is None and not is_lost:
                if gone.membership.state in _ACTIVE:
                    self._start_inspection(known)
                    return True
            return False
        return head.membership.state in _ACTIVE

    def _is_first_start(self, free: list[endpoints.Endpoint]) -> bool:
        if self.has_served or self.term > 1:
            return False
        return any(not endpoint.staged for endpoint in free)

    def _first_start(
        self, free: list[endpoints.Endpoint], engine: routes.Engine
    ) -> None:
        empty = [
            one
            for one in free
            if not one.staged and one.incarnation not in self._loading
        ]
        dealt = planning.deal_models(planning.by_domain(empty), engine.models)
        for model in engine.models:
            chosen = [
                one
                for one in empty
                if dealt.get(one.endpoint_id) == model.name
            ]
            load_s = model.load_s * EARLY_LOAD_SHARE
            for members in planning.by_domain(chosen).values():
                while len(members) >= model.size:
                    picked = tuple(members[: model.size])
                    members = members[model.size :]
                    self._start_forming(picked, model, load_s)
                for spare in members:
                    self._start_warming(spare, model, load_s)

    def _form_all(
        self, free: list[endpoints.Endpoint], engine: routes.Engine
    ) -> None:
        # The model with the least open replicas for its share goes first.
        for model in sorted(engine.models, key=_by_size, reverse=True):
            while True:
                staged = [
                    one
                    for one in free
                    if model.name in one.staged
                    and one.endpoint_id not in self._busy
                ]
                picked = planning.pick_members(
                    staged, model, lambda one: self._is_warm(one, model)
                )
                if picked is None:
                    break
                is_warm = all(self._is_warm(one, model) for one in picked)
                join_s = 0.2 if is_warm else model.load_from_host_s
                self._start_forming(picked, model, join_s)
            for spare in staged:
                if not self._is_warm(spare, model):
                    self._start_warming(spare, model, model.load_from_host_s)

    def _load_all(
        self,
        free: list[endpoints.Endpoint],
        live: list[endpoints.Endpoint],
        engine: routes.Engine,
    ) -> None:
        now_s = time.monotonic()
        held = [
            (one, one.staged[-1] if one.staged else self._model_loading(one))
            for one in live
        ]
        for endpoint in free:
            if endpoint.staged or self._model_loading(endpoint):
                continue
            name = planning.newcomer_model(endpoint, held, engine.models)
            model = _model(name, engine)
            if not self._loads.try_take(now_s, model.load_s):
                return
            self._loading[endpoint.incarnation] = _Loading(
                name, now_s + model.load_s * LOAD_PATIENCE
            )
            held.append((endpoint, name))
            self._start((endpoint,), self._stage(endpoint, name))

    def _model_loading(self, endpoint: endpoints.Endpoint) -> str:
        loading = self._loading.get(endpoint.incarnation)
        if loading is None or loading.until_s < time.monotonic():
            return ''
        return loading.model

    def _is_warm(
        self, endpoint: endpoints.Endpoint, model: routes.Model
    ) -> bool:
        return self._last_model.get(endpoint.incarnation) == model.name

    def _start_forming(
        self,
        members: tuple[endpoints.Endpoint, ...],
        model: routes.Model,
        join_s: float,
    ) -> None:
        self._number += 1
        forming = replica_orders.Forming(
            name=endpoints.replica_name(model.name, self.term, self._number),
            epoch=self.term * replica_orders.EPOCHS_PER_TERM + self._number,
            members=members,
            join_s=join_s,
        )
        self._start(members, self._orders.form(forming))

    def _start_warming(
        self, spare: endpoints.Endpoint, model: routes.Model, join_s: float
    ) -> None:
        """Let a spare join alone, so that its next join takes a moment."""
        self._number += 1
        forming = replica_orders.Forming(
            name=endpoints.replica_name(model.name, self.term, self._number),
            epoch=self.term * replica_orders.EPOCHS_PER_TERM + self._number,
            members=(spare,),
            join_s=join_s,
        )
        self._last_model[spare.incarnation] = model.name
        self._start((spare,), self._orders.form(forming, opens=False))

    async def _stage(self, endpoint: endpoints.Endpoint, model: str) -> None:
        result = await self._client.stage(endpoint, model)
        LOG.info(
            'load ordered',
            extra={
                'endpoint': endpoint.endpoint_id,
                'model': model,
                'result': result.value,
            },
        )

    def _is_any_busy(
        self, members: tuple[endpoints.Endpoint, ...]
    ) -> bool:
        return any(one.endpoint_id in self._busy for one in members)

    def _start(
        self,
        members: tuple[endpoints.Endpoint, ...],
        work: typing.Coroutine[typing.Any, typing.Any, typing.Any],
    ) -> None:
        for member in members:
            self._busy.add(member.endpoint_id)
        self._group.start_soon(self._run, members, work)

    async def _run(
        self,
        members: tuple[endpoints.Endpoint, ...],
        work: typing.Coroutine[typing.Any, typing.Any, typing.Any],
    ) -> None:
        try:
            await work
        finally:
            for member in members:
                self._busy.discard(member.endpoint_id)


def _size_of(model: str, engine: routes.Engine) -> int:
    for known in engine.models:
        if known.name == model:
            return known.size
    return 0


def _model(name: str, engine: routes.Engine) -> routes.Model:
    for known in engine.models:
        if known.name == name:
            return known
    raise KeyError(name)


def _by_size(model: routes.Model) -> int:
    return model.size
