"""Which endpoints take requests now: whole open replicas and plain ones."""

import time
from collections import abc as collections_abc

import attrs

from redwingvalve.fleet import endpoints
from redwingvalve.fleet import registry as registry_module
from redwingvalve.ingress import load_balancing, routes, state
from redwingvalve.observability import logs, node_metrics

LOG = logs.make_logger('serving')
# A head whose replica lost a member stands still for this long before it
# says so itself; the controller mends it long before.
HEAD_SUSPECT_S = 6.0
# A plain endpoint that was not reached is tried again after this.
PLAIN_SUSPECT_S = 1.0
_SERVING_STATES = frozenset(
    (endpoints.MemberState.READY, endpoints.MemberState.OPEN)
)


@attrs.frozen
class Suspicion:
    """An endpoint out of use, for one forming of its replica."""

    endpoint_id: str
    epoch: int
    until_s: float
    since_s: float


class ServingTable(state.TargetProvider):
    """Targets by service and model, made anew at each change."""

    def __init__(self, registry: registry_module.Registry) -> None:
        """Follow the registry."""
        self.on_suspect: collections_abc.Callable[[Suspicion], None] | None
        self.on_suspect = None
        self.on_check_requested: (
            collections_abc.Callable[[str, str], None] | None
        )
        self.on_check_requested = None
        self.on_cleared: collections_abc.Callable[[str, int], None] | None
        self.on_cleared = None
        self.on_announce_healthy: (
            collections_abc.Callable[[str, int], None] | None
        )
        self.on_announce_healthy = None
        self.on_reported_healthy: (
            collections_abc.Callable[[str, float], None] | None
        )
        self.on_reported_healthy = None
        self.on_reinstated: collections_abc.Callable[[str, float], None] | None
        self.on_reinstated = None
        self.on_rebuilt: collections_abc.Callable[[], None] | None = None
        self._registry = registry
        self._configuration: routes.Configuration | None = None
        self._targets: dict[
            tuple[str, str], tuple[load_balancing.Target, ...]
        ] = {}
        self._suspicions: dict[str, Suspicion] = {}
        self._own: set[str] = set()
        # Members of replicas that were seen whole, by name and epoch.
        self._whole: dict[tuple[str, int], endpoints.Replica] = {}
        registry.on_change.append(self.rebuild)

    def find_targets(
        self, service: str, model: str
    ) -> tuple[load_balancing.Target, ...]:
        """Return the targets for a model, or of a plain service."""
        return self._targets.get((service, model), ())

    def configure(self, configuration: routes.Configuration) -> None:
        """Take the services of a new configuration."""
        self._configuration = configuration
        self.rebuild()

    def suspect(self, endpoint_id: str, reason: str) -> None:
        """Take an endpoint out of use and tell others."""
        endpoint = self._registry.live.get(endpoint_id)
        if endpoint is None:
            return
        membership = endpoint.membership
        epoch = membership.epoch if membership else 0
        wait_s = HEAD_SUSPECT_S if membership else PLAIN_SUSPECT_S
        now_s = time.monotonic()
        suspicion = Suspicion(endpoint_id, epoch, now_s + wait_s, now_s)
        self._own.add(endpoint_id)
        if self.add_suspicion(suspicion):
            node_metrics.METRICS.count('redwingvalve_suspicions')
            LOG.warning(
                'endpoint out of use',
                extra={
                    'endpoint': endpoint_id,
                    'epoch': epoch,
                    'reason': reason,
                },
            )
            if self.on_suspect is not None:
                self.on_suspect(suspicion)

    def check_endpoint(self, endpoint_id: str, reason: str) -> None:
        """Let whoever can ask find out about an endpoint."""
        if self.on_check_requested is None:
            self.suspect(endpoint_id, reason)
        elif not self.is_suspect(endpoint_id):
            self.on_check_requested(endpoint_id, reason)

    def add_suspicion(self, suspicion: Suspicion) -> bool:
        """Take an endpoint out of use; return whether that is new."""
        known = self._suspicions.get(suspicion.endpoint_id)
        is_known = known is not None and known.epoch >= suspicion.epoch
        if is_known and known.until_s > time.monotonic():
            return False
        self._suspicions[suspicion.endpoint_id] = suspicion
        self.rebuild()
        return True

    def mark_healthy(self, endpoint_id: str) -> None:
        """Put an endpoint back into use here and elsewhere."""
        suspicion = self._suspicions.get(endpoint_id)
        if suspicion is not None and self.on_cleared is not None:
            self.on_cleared(endpoint_id, suspicion.epoch)
        self.clear_suspicion(endpoint_id)

    def announce_healthy(self, endpoint_id: str) -> None:
        """Let other nodes know that an endpoint in use was found sound."""
        endpoint = self._registry.live.get(endpoint_id)
        if endpoint is None or endpoint.membership is None:
            return
        if self.on_announce_healthy is not None:
            self.on_announce_healthy(endpoint_id, endpoint.membership.epoch)

    def clear_suspicion(self, endpoint_id: str) -> None:
        """Put an endpoint back into use."""
        self._own.discard(endpoint_id)
        if self._suspicions.pop(endpoint_id, None) is None:
            return
        if self.on_reinstated is not None:
            self.on_reinstated(endpoint_id, time.monotonic())
        self.rebuild()

    def clear_if_older(
        self, endpoint_id: str, epoch: int, cleared_s: float
    ) -> None:
        """Put an endpoint back into use unless it is suspect anew."""
        if self.on_reported_healthy is not None:
            self.on_reported_healthy(endpoint_id, cleared_s)
        suspicion = self._suspicions.get(endpoint_id)
        if suspicion is None or suspicion.epoch > epoch:
            return
        if suspicion.since_s < cleared_s:
            self.clear_suspicion(endpoint_id)

    def replica_of(self, head_id: str) -> endpoints.Replica | None:
        """Return the replica of a head with all its members, if known."""
        head = self._registry.live.get(head_id)
        if head is None or head.membership is None:
            return None
        return self._whole.get(head.membership.key)

    def local_suspicions(self) -> list[Suspicion]:
        """Return suspicions that this node itself holds."""
        now_s = time.monotonic()
        return [
            suspicion
            for suspicion in self._suspicions.values()
            if suspicion.until_s > now_s and suspicion.endpoint_id in self._own
        ]

    def is_suspect(self, endpoint_id: str) -> bool:
        """Return whether an endpoint is out of use."""
        suspicion = self._suspicions.get(endpoint_id)
        if suspicion is None:
            return False
        if suspicion.until_s <= time.monotonic():
            return False
        endpoint = self._registry.live.get(endpoint_id)
        if endpoint is None or endpoint.membership is None:
            return True
        return endpoint.membership.epoch <= suspicion.epoch

    def rebuild(self) -> None:
        """Make the targets from what is known."""
        configuration = self._configuration
        if configuration is None:
            return
        usable = self._registry.usable()
        by_id = {endpoint.endpoint_id: endpoint for endpoint in usable}
        replicas = endpoints.group_replicas(usable)
        targets: dict[tuple[str, str], tuple[load_balancing.Target, ...]] = {}
        for service in configuration.services.values():
            if service.engine is None:
                targets[service.name, ''] = self._plain(service.name, usable)
                continue
            for model in service.engine.models:
                targets[service.name, model.name] = self._heads(
                    replicas.get(service.name, []), model, service.engine, by_id
                )
        self._targets = targets
        if self.on_rebuilt is not None:
            self.on_rebuilt()

    def _plain(
        self, service: str, usable: list[endpoints.Endpoint]
    ) -> tuple[load_balancing.Target, ...]:
        ready = [
            endpoint
            for endpoint in usable
            if endpoint.service == service and not endpoint.draining
        ]
        sound = [
            endpoint
            for endpoint in ready
            if not self.is_suspect(endpoint.endpoint_id)
        ]
        # If none is sound, any may still answer.
        return tuple(_plain_target(endpoint) for endpoint in sound or ready)

    def _heads(
        self,
        replicas: list[endpoints.Replica],
        model: routes.Model,
        engine: routes.Engine,
        by_id: dict[str, endpoints.Endpoint],
    ) -> tuple[load_balancing.Target, ...]:
        found = []
        for seen in replicas:
            if seen.model != model.name:
                continue
            replica = self._whole_replica(seen, model.size, by_id)
            if replica is not None and self._serves(replica):
                found.append(replica)
        staying = [one for one in found if not one.is_leaving]
        return tuple(
            _head_target(replica, engine.slots) for replica in staying or found
        )

    def _whole_replica(
        self,
        seen: endpoints.Replica,
        size: int,
        by_id: dict[str, endpoints.Endpoint],
    ) -> endpoints.Replica | None:
        """Return the replica with all its members, or None.

        A member whose entry alone has lapsed may live on, cut off from the
        store; the replica is used until its head falls silent. A member that
        says that it is elsewhere, or has started again, is gone for good.
        """
        if len(seen.members) == size:
            self._whole[seen.key] = seen
            return seen
        known = self._whole.get(seen.key)
        if known is None or seen.head is None:
            return None
        present = {member.endpoint_id for member in seen.members}
        for member in known.members:
            if member.endpoint_id in present:
                continue
            if member.endpoint_id in by_id or member.draining:
                return None
        return seen

    def _serves(self, replica: endpoints.Replica) -> bool:
        head = replica.head
        if head is None or head.draining or head.membership is None:
            return False
        if head.membership.state is not endpoints.MemberState.OPEN:
            return False
        if self.is_suspect(head.endpoint_id):
            return False
        return all(
            member.membership.state in _SERVING_STATES
            for member in replica.members
            if member.membership is not None
        )


def _plain_target(endpoint: endpoints.Endpoint) -> load_balancing.Target:
    return load_balancing.Target(
        endpoint_id=endpoint.endpoint_id,
        host=endpoint.host,
        port=endpoint.port,
        slots=endpoint.slots,
        data_centre=endpoint.data_centre,
        born_ms=endpoint.born_ms,
    )


def _head_target(
    replica: endpoints.Replica, slots: int
) -> load_balancing.Target:
    head = replica.members[0]
    return load_balancing.Target(
        endpoint_id=head.endpoint_id,
        host=head.host,
        port=head.port,
        slots=slots,
        data_centre=head.data_centre,
        born_ms=head.born_ms,
        replica=replica.name,
        epoch=replica.epoch,
    )
