"""Turns free endpoints into replicas, spares and VMs that load a model."""

import attrs

from redwingvalve.core import clock
from redwingvalve.fleet import endpoints, planning
from redwingvalve.ingress import routes
from redwingvalve.node import replica_orders, tasks
from redwingvalve.observability import logs
from redwingvalve.platform import endpoint_orders

LOG = logs.make_logger('forming')
# Loads take a tenth of the time before the first request.
EARLY_LOAD_SHARE = 0.1
# An order to load that shows no effect is given again after twice the time.
LOAD_PATIENCE = 2.0
# A join of an endpoint whose last replica was of the same model.
WARM_JOIN_S = 0.2

Endpoints = list[endpoints.Endpoint]


@attrs.define(eq=False)
class _Loading:
    model: str
    until_s: float


class EndpointScheduler:
    """Decides what free endpoints of one service do next."""

    def __init__(
        self,
        client: endpoint_orders.EndpointClient,
        orders: replica_orders.ReplicaOrders,
        running: tasks.EndpointTasks,
    ) -> None:
        """Run orders as tasks."""
        self.term = 0
        self._client = client
        self._orders = orders
        self._tasks = running
        self._number = 0
        self._loading: dict[tuple[str, int], _Loading] = {}
        self._last_model: dict[tuple[str, int], str] = {}
        self._loads: planning.LoadLimiter | None = None

    def note(self, endpoint: endpoints.Endpoint) -> None:
        """Remember the model of an endpoint's last replica."""
        membership = endpoint.membership
        if membership is not None:
            model = endpoints.model_of(membership.replica)
            self._last_model[endpoint.incarnation] = model

    def start_all(self, free: Endpoints, engine: routes.Engine) -> None:
        """Deal models to a fleet that has served nobody yet."""
        empty = [
            one
            for one in free
            if not one.staged and one.incarnation not in self._loading
        ]
        dealt = planning.assign_models(
            planning.group_by_domain(empty), engine.models
        )
        for model in engine.models:
            chosen = [
                one for one in empty if dealt.get(one.endpoint_id) == model.name
            ]
            for members in planning.group_by_domain(chosen).values():
                self._start_domain(members, model)

    def form_all(self, free: Endpoints, engine: routes.Engine) -> None:
        """Form what can be formed, the largest models first."""
        for model in sorted(engine.models, key=_size, reverse=True):
            spares = self._form_model(free, model)
            for spare in spares:
                if not self._is_warm(spare, model):
                    self._warm(spare, model, model.load_from_host_s)

    def load_all(
        self,
        free: Endpoints,
        live: Endpoints,
        engine: routes.Engine,
        needed_vms: dict[str, float],
    ) -> None:
        """Let empty endpoints load a model, as fast as the store allows.

        When none is empty, a spare of a model that has plenty loads one that
        is short.
        """
        if self._loads is None:
            self._loads = planning.LoadLimiter(
                engine.loads_per_s, engine.max_concurrent_loads
            )
        empty = [one for one in free if not self._model_held(one)]
        for endpoint in empty:
            stock = self._stock(live, needed_vms)
            name = planning.model_to_load(endpoint, stock, engine.models)
            if not self._load(endpoint, engine.find_model(name)):
                return
        if empty:
            return
        spares = [one for one in free if not self._model_loading(one)]
        stock = self._stock(live, needed_vms)
        moved = planning.pick_spare_to_reload(spares, stock, engine.models)
        if moved is not None:
            self._load(moved[0], engine.find_model(moved[1]))

    def _load(
        self, endpoint: endpoints.Endpoint, model: routes.Model | None
    ) -> bool:
        """Start a load; return whether the store's rate allows it."""
        now_s = clock.boot_s()
        if model is None or self._loads is None:
            return False
        if not self._loads.try_acquire(now_s, model.load_s):
            return False
        self._loading[endpoint.incarnation] = _Loading(
            model.name, now_s + model.load_s * LOAD_PATIENCE
        )
        self._tasks.start((endpoint,), self._stage(endpoint, model.name))
        return True

    def _stock(
        self, live: Endpoints, needed_vms: dict[str, float]
    ) -> planning.ModelInventory:
        held = ((one, self._model_held(one)) for one in live)
        return planning.ModelInventory(tuple(held), needed_vms)

    def _model_held(self, endpoint: endpoints.Endpoint) -> str:
        """Return the model that an endpoint loads, or else has."""
        staged = endpoint.staged[-1] if endpoint.staged else ''
        return self._model_loading(endpoint) or staged

    def _start_domain(self, members: Endpoints, model: routes.Model) -> None:
        load_s = model.load_s * EARLY_LOAD_SHARE
        while len(members) >= model.size:
            self._form(tuple(members[: model.size]), model, load_s)
            members = members[model.size :]
        for spare in members:
            self._warm(spare, model, load_s)

    def _form_model(self, free: Endpoints, model: routes.Model) -> Endpoints:
        """Form replicas while there are members; return what is left."""

        def is_warm(one: endpoints.Endpoint) -> bool:
            return self._is_warm(one, model)

        while True:
            staged = [
                one
                for one in free
                if model.name in one.staged and not self._tasks.is_busy(one)
            ]
            picked = planning.pick_members(staged, model, is_warm)
            if picked is None:
                return staged
            join_s = model.load_from_host_s
            if all(map(is_warm, picked)):
                join_s = WARM_JOIN_S
            self._form(picked, model, join_s)

    def _model_loading(self, endpoint: endpoints.Endpoint) -> str:
        loading = self._loading.get(endpoint.incarnation)
        if loading is None or loading.until_s < clock.boot_s():
            return ''
        return loading.model

    def _is_warm(
        self, endpoint: endpoints.Endpoint, model: routes.Model
    ) -> bool:
        return self._last_model.get(endpoint.incarnation) == model.name

    def _form(
        self, members: tasks.Members, model: routes.Model, join_s: float
    ) -> None:
        forming = self._make_forming(members, model, join_s)
        LOG.info(
            'replica forming',
            extra={
                'replica': forming.name,
                'domain': members[0].domain,
                'members': forming.member_ids,
                'expected_s': join_s,
            },
        )
        self._tasks.start(members, self._orders.form(forming))

    def _warm(
        self, spare: endpoints.Endpoint, model: routes.Model, join_s: float
    ) -> None:
        """Let a spare join alone, so that its next join takes a moment."""
        forming = self._make_forming((spare,), model, join_s)
        self._last_model[spare.incarnation] = model.name
        self._tasks.start((spare,), self._orders.form(forming, opens=False))

    def _make_forming(
        self, members: tasks.Members, model: routes.Model, join_s: float
    ) -> replica_orders.Forming:
        self._number += 1
        return replica_orders.Forming(
            name=endpoints.replica_name(model.name, self.term, self._number),
            epoch=self.term * replica_orders.EPOCHS_PER_TERM + self._number,
            members=members,
            join_s=join_s,
        )

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


def _size(model: routes.Model) -> int:
    return model.size
