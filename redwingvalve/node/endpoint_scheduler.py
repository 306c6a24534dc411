"""Schedules free endpoints: as members of replicas, as spares, or for loads."""

import attrs

from redwingvalve.core import clock
from redwingvalve.fleet import endpoints, planning
from redwingvalve.ingress import routes
from redwingvalve.node import replica_orders, replica_spec, tasks
from redwingvalve.observability import logs
from redwingvalve.platform import endpoint_orders

LOG = logs.make_logger('forming')
# Before the fleet's first request, loads take a tenth of their usual time.
STARTUP_LOAD_FACTOR = 0.1
# A load that has had no effect after twice its expected duration may be ordered
# again.
LOAD_TIMEOUT_FACTOR = 2.0
# Duration of a join when the endpoint's last replica was of the same model.
WARM_JOIN_DURATION_S = 0.2

Endpoints = list[endpoints.Endpoint]


@attrs.define(eq=False)
class _PendingLoad:
    model: str
    expires_s: float


class EndpointScheduler:
    """Decides what the free endpoints of one service do next."""

    def __init__(
        self,
        client: endpoint_orders.EndpointClient,
        orders: replica_orders.ReplicaOrders,
        endpoint_tasks: tasks.EndpointTasks,
    ) -> None:
        """Send orders from tasks in endpoint_tasks."""
        self.term = 0
        self._client = client
        self._orders = orders
        self._tasks = endpoint_tasks
        self._replica_number = 0
        self._pending_loads: dict[tuple[str, int], _PendingLoad] = {}
        self._last_model: dict[tuple[str, int], str] = {}
        self._load_limiter: planning.LoadLimiter | None = None

    def record_model(self, endpoint: endpoints.Endpoint) -> None:
        """Record the model of an endpoint's current replica, if any."""
        membership = endpoint.membership
        if membership is not None:
            model = endpoints.model_of(membership.replica)
            self._last_model[endpoint.incarnation] = model

    def assign_initial_models(
        self, free: Endpoints, engine: routes.Engine
    ) -> None:
        """Assign models to the empty endpoints of a fleet that is starting."""
        empty = [
            one
            for one in free
            if not one.staged and one.incarnation not in self._pending_loads
        ]
        assigned = planning.assign_models(
            planning.group_by_domain(empty), engine.models
        )
        for model in engine.models:
            chosen = [
                one
                for one in empty
                if assigned.get(one.endpoint_id) == model.name
            ]
            for members in planning.group_by_domain(chosen).values():
                self._form_initial_replicas(members, model)

    def form_replicas(self, free: Endpoints, engine: routes.Engine) -> None:
        """Form replicas, the largest models first, and warm up the spares."""
        for model in sorted(engine.models, key=_model_size, reverse=True):
            spares = self._form_replicas_of(free, model)
            for spare in spares:
                if not self._is_warm(spare, model):
                    self._start_warm_up(spare, model, model.load_from_host_s)

    def load_models(
        self,
        free: Endpoints,
        live: Endpoints,
        engine: routes.Engine,
        needed_vms: dict[str, float],
    ) -> None:
        """Let empty endpoints load a model, as fast as the weight store allows.

        If none is empty, a spare of a model with a surplus of VMs loads a model
        that has too few.
        """
        if self._load_limiter is None:
            self._load_limiter = planning.LoadLimiter(
                engine.loads_per_s, engine.max_concurrent_loads
            )
        empty = [one for one in free if not self._held_model(one)]
        for endpoint in empty:
            inventory = self._inventory(live, needed_vms)
            name = planning.model_to_load(endpoint, inventory, engine.models)
            if not self._load(endpoint, engine.find_model(name)):
                return
        if empty:
            return
        spares = [one for one in free if not self._loading_model(one)]
        inventory = self._inventory(live, needed_vms)
        spare_and_model = planning.pick_spare_to_reload(
            spares, inventory, engine.models
        )
        if spare_and_model is not None:
            self._load(
                spare_and_model[0], engine.find_model(spare_and_model[1])
            )

    def _load(
        self, endpoint: endpoints.Endpoint, model: routes.Model | None
    ) -> bool:
        """Start a load if the rate limit allows it; return whether it did."""
        now_s = clock.boot_s()
        if model is None or self._load_limiter is None:
            return False
        if not self._load_limiter.try_acquire(now_s, model.load_s):
            return False
        self._pending_loads[endpoint.incarnation] = _PendingLoad(
            model.name, now_s + model.load_s * LOAD_TIMEOUT_FACTOR
        )
        self._tasks.start((endpoint,), self._stage(endpoint, model.name))
        return True

    def _inventory(
        self, live: Endpoints, needed_vms: dict[str, float]
    ) -> planning.ModelInventory:
        held = ((one, self._held_model(one)) for one in live)
        return planning.ModelInventory(tuple(held), needed_vms)

    def _held_model(self, endpoint: endpoints.Endpoint) -> str:
        """Return the model that an endpoint is loading, or else the latest."""
        staged = endpoint.staged[-1] if endpoint.staged else ''
        return self._loading_model(endpoint) or staged

    def _form_initial_replicas(
        self, members: Endpoints, model: routes.Model
    ) -> None:
        load_s = model.load_s * STARTUP_LOAD_FACTOR
        while len(members) >= model.size:
            self._form(tuple(members[: model.size]), model, load_s)
            members = members[model.size :]
        for spare in members:
            self._start_warm_up(spare, model, load_s)

    def _form_replicas_of(
        self, free: Endpoints, model: routes.Model
    ) -> Endpoints:
        """Form replicas while members suffice; return the spares left over."""

        def is_warm(one: endpoints.Endpoint) -> bool:
            return self._is_warm(one, model)

        while True:
            staged = [
                one
                for one in free
                if model.name in one.staged and not self._tasks.is_busy(one)
            ]
            members = planning.pick_members(staged, model, is_warm)
            if members is None:
                return staged
            expected_join_s = model.load_from_host_s
            if all(map(is_warm, members)):
                expected_join_s = WARM_JOIN_DURATION_S
            self._form(members, model, expected_join_s)

    def _loading_model(self, endpoint: endpoints.Endpoint) -> str:
        pending = self._pending_loads.get(endpoint.incarnation)
        if pending is None or pending.expires_s < clock.boot_s():
            return ''
        return pending.model

    def _is_warm(
        self, endpoint: endpoints.Endpoint, model: routes.Model
    ) -> bool:
        return self._last_model.get(endpoint.incarnation) == model.name

    def _form(
        self,
        members: tasks.Members,
        model: routes.Model,
        expected_join_s: float,
    ) -> None:
        spec = self._make_spec(members, model, expected_join_s)
        LOG.info(
            'replica forming',
            extra={
                'replica': spec.name,
                'domain': members[0].domain,
                'members': spec.member_ids,
                'expected_s': expected_join_s,
            },
        )
        self._tasks.start(members, self._orders.form(spec))

    def _start_warm_up(
        self,
        spare: endpoints.Endpoint,
        model: routes.Model,
        expected_join_s: float,
    ) -> None:
        """Let a spare join a replica alone, so that its next join is fast."""
        spec = self._make_spec((spare,), model, expected_join_s)
        self._last_model[spare.incarnation] = model.name
        self._tasks.start((spare,), self._orders.form(spec, opens=False))

    def _make_spec(
        self,
        members: tasks.Members,
        model: routes.Model,
        expected_join_s: float,
    ) -> replica_spec.ReplicaSpec:
        self._replica_number += 1
        return replica_spec.ReplicaSpec(
            name=endpoints.replica_name(
                model.name, self.term, self._replica_number
            ),
            epoch=self.term * replica_orders.EPOCHS_PER_TERM
            + self._replica_number,
            members=members,
            expected_join_s=expected_join_s,
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


def _model_size(model: routes.Model) -> int:
    return model.size
