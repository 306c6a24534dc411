"""Builds the routing table: heads of open replicas, and plain endpoints."""

import time
from collections import abc as collections_abc

import attrs

from redwingvalve.fleet import (
    clearances,
    complete_replicas,
    endpoints,
    incarnation_tracker,
    leaving_marks,
    lost_paths,
    reached_targets,
    target_builder,
)
from redwingvalve.fleet import evacuations as evacuations_module
from redwingvalve.fleet import registry as registry_module
from redwingvalve.ingress import load_balancing, routes, state
from redwingvalve.observability import logs, node_metrics

LOG = logs.make_logger('serving')
# A head whose replica lost a member stalls for this long before it reports the
# loss itself; the controller repairs the replica long before.
HEAD_SUSPICION_S = 6.0
# Time until a plain endpoint that could not be reached is tried again.
PLAIN_SUSPICION_S = 1.0


@attrs.frozen
class Suspicion:
    """An endpoint taken out of use, for one formation of its replica."""

    endpoint_id: str
    epoch: int
    until_s: float
    since_s: float
    # Start of the process that is suspected, 0 if unknown.
    born_ms: int = 0


class ServingTable(state.TargetProvider):
    """Targets by service and model, rebuilt at each change."""

    def __init__(
        self,
        registry: registry_module.Registry,
        evacuations: evacuations_module.Evacuations | None = None,
    ) -> None:
        """Rebuild the table at each change of the registry or evacuations."""
        self.evacuations = evacuations or evacuations_module.Evacuations(None)
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
        self.on_path_doubted: collections_abc.Callable[[], None] | None = None
        self.paths = lost_paths.LostPaths()
        self.targets = reached_targets.ReachedTargets(self.paths)
        self._registry = registry
        self._configuration: routes.Configuration | None = None
        self._suspicions: dict[str, Suspicion] = {}
        self._locally_suspected: set[str] = set()
        self._clearances = clearances.Clearances()
        self._leaving = leaving_marks.LeavingMarks(registry.tracker)
        self._complete_replicas = complete_replicas.CompleteReplicas(
            self.evacuations
        )
        self._builder = target_builder.TargetBuilder(
            self.evacuations,
            self._leaving,
            self._complete_replicas,
            self.is_suspect,
        )
        registry.on_change.append(self.rebuild)
        registry.on_new_incarnation.append(self._forget)
        self.evacuations.on_change.append(self.rebuild)

    def find_targets(
        self, service: str, model: str
    ) -> tuple[load_balancing.Target, ...]:
        """Return this node's targets of a model, or of a plain service."""
        return self.targets.find(service, model)

    def is_out_of_reach(self, service: str, model: str) -> bool:
        """Return whether this node can't connect to any target of a model."""
        return self.targets.is_out_of_reach(service, model)

    def configure(self, configuration: routes.Configuration) -> None:
        """Apply the services of a new configuration."""
        self._configuration = configuration
        self._registry.set_services(
            {
                service.name: service.engine is not None
                for service in configuration.services.values()
            }
        )
        self.rebuild()

    def suspect(self, endpoint_id: str, reason: str, born_ms: int = 0) -> None:
        """Take an endpoint out of use and notify other nodes.

        born_ms is the start of the process that failed, 0 if unknown.
        """
        endpoint = self._registry.live.get(endpoint_id)
        if endpoint is None or not incarnation_tracker.is_same(
            endpoint.born_ms, born_ms
        ):
            return
        if self.paths.is_lost(endpoint_id, endpoint.born_ms):
            return
        membership = endpoint.membership
        epoch = membership.epoch if membership else 0
        wait_s = HEAD_SUSPICION_S if membership else PLAIN_SUSPICION_S
        now_s = time.monotonic()
        suspicion = Suspicion(
            endpoint_id, epoch, now_s + wait_s, now_s, endpoint.born_ms
        )
        self._locally_suspected.add(endpoint_id)
        self.paths.doubt(endpoint_id, endpoint.born_ms, now_s)
        self._notify_path_doubted()
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

    def connect_failed(
        self, endpoint_id: str, reason: str, born_ms: int = 0
    ) -> None:
        """Suspect an endpoint, or avoid it here only if its path is lost."""
        endpoint = self._registry.live.get(endpoint_id)
        if endpoint is None or not incarnation_tracker.is_same(
            endpoint.born_ms, born_ms
        ):
            return
        if self.paths.record_failure(
            endpoint_id,
            endpoint.born_ms,
            time.monotonic(),
            is_suspect=self.is_suspect(endpoint_id),
        ):
            self.suspect(endpoint_id, reason, born_ms)
            return
        self._notify_path_doubted()
        self.rebuild()

    def mark_leaving(self, endpoint_id: str, born_ms: int = 0) -> None:
        """Take an endpoint that is going to stop out of use for good.

        Its entry may say so later or never. born_ms is the start of the process
        that leaves, 0 if unknown.
        """
        if self._leaving.add(endpoint_id, born_ms):
            LOG.info('endpoint leaves', extra={'endpoint': endpoint_id})
            self.rebuild()

    def check_endpoint(
        self, endpoint_id: str, reason: str, born_ms: int = 0
    ) -> None:
        """Request a check of an endpoint, or suspect it if nobody checks.

        born_ms is the start of the process that failed, 0 if unknown.
        """
        if self._registry.tracker.is_past(endpoint_id, born_ms):
            return
        if self.on_check_requested is None:
            self.suspect(endpoint_id, reason)
        elif not self.is_suspect(endpoint_id):
            self.on_check_requested(endpoint_id, reason)

    def add_suspicion(self, suspicion: Suspicion) -> bool:
        """Take an endpoint out of use; return False if it already was.

        An expired suspicion, or one of an older epoch, is replaced. One that is
        older than a clearance, or of a previous process, is ignored.
        """
        endpoint_id, born_ms = suspicion.endpoint_id, suspicion.born_ms
        if self._registry.tracker.is_past(endpoint_id, born_ms):
            return False
        if self._clearances.overrules(
            endpoint_id, suspicion.epoch, suspicion.since_s, born_ms
        ):
            return False
        known = self._suspicions.get(endpoint_id)
        is_known = (
            known is not None
            and known.epoch >= suspicion.epoch
            and incarnation_tracker.is_same(known.born_ms, born_ms)
        )
        if known is not None and is_known and known.until_s > time.monotonic():
            return False
        self._suspicions[suspicion.endpoint_id] = suspicion
        self.rebuild()
        return True

    def mark_healthy(self, endpoint_id: str) -> None:
        """Put an endpoint back into use on all nodes."""
        suspicion = self._suspicions.get(endpoint_id)
        if suspicion is not None:
            self._clearances.record(
                endpoint_id,
                suspicion.epoch,
                time.monotonic(),
                suspicion.born_ms,
            )
        if suspicion is not None and self.on_cleared is not None:
            self.on_cleared(endpoint_id, suspicion.epoch)
        self.clear_suspicion(endpoint_id)

    def announce_healthy(self, endpoint_id: str) -> None:
        """Tell other nodes that an endpoint in use was found healthy."""
        endpoint = self._registry.live.get(endpoint_id)
        if endpoint is None or endpoint.membership is None:
            return
        if self.on_announce_healthy is not None:
            self.on_announce_healthy(endpoint_id, endpoint.membership.epoch)

    def clear_suspicion(self, endpoint_id: str) -> None:
        """Put an endpoint back into use on this node."""
        self._locally_suspected.discard(endpoint_id)
        self.paths.probe_soon(endpoint_id, time.monotonic())
        self._notify_path_doubted()
        if self._suspicions.pop(endpoint_id, None) is None:
            return
        if self.on_reinstated is not None:
            self.on_reinstated(endpoint_id, time.monotonic())
        self.rebuild()

    def clear_if_older(
        self,
        endpoint_id: str,
        epoch: int,
        cleared_s: float,
        born_ms: int = 0,
    ) -> None:
        """Put an endpoint back into use unless a newer suspicion exists."""
        if self._registry.tracker.is_past(endpoint_id, born_ms):
            return
        self._clearances.record(endpoint_id, epoch, cleared_s, born_ms)
        if self.on_reported_healthy is not None:
            self.on_reported_healthy(endpoint_id, cleared_s)
        suspicion = self._suspicions.get(endpoint_id)
        if suspicion is None or suspicion.epoch > epoch:
            return
        if not incarnation_tracker.is_same(suspicion.born_ms, born_ms):
            return
        if suspicion.since_s < cleared_s:
            self.clear_suspicion(endpoint_id)

    def replica_of(self, head_id: str) -> endpoints.Replica | None:
        """Return the complete replica of a head, if it is known."""
        head = self._registry.live.get(head_id)
        if head is None or head.membership is None:
            return None
        return self._complete_replicas.find(head.membership.key)

    def local_suspicions(self) -> list[Suspicion]:
        """Return the active suspicions that this node raised itself."""
        now_s = time.monotonic()
        return [
            suspicion
            for suspicion in self._suspicions.values()
            if suspicion.until_s > now_s
            and suspicion.endpoint_id in self._locally_suspected
        ]

    def is_suspect(self, endpoint_id: str) -> bool:
        """Return whether an endpoint is out of use."""
        suspicion = self._suspicions.get(endpoint_id)
        if suspicion is None:
            return False
        if suspicion.until_s <= time.monotonic():
            return False
        endpoint = self._registry.live.get(endpoint_id)
        if endpoint is None:
            return True
        if not incarnation_tracker.is_same(endpoint.born_ms, suspicion.born_ms):
            return False
        if endpoint.membership is None:
            return True
        return endpoint.membership.epoch <= suspicion.epoch

    def is_evacuated(self, target: load_balancing.Target) -> bool:
        """Return whether a member of a target is being evacuated."""
        self.evacuations.check_pause()
        if self.evacuations.is_evacuated(target.data_centre):
            return True
        return self._complete_replicas.is_evacuated(
            (target.replica, target.epoch)
        )

    def rebuild(self) -> None:
        """Rebuild the targets from the registry and the suspicions."""
        configuration = self._configuration
        if configuration is None:
            return
        targets = self._builder.build(configuration, self._registry.usable())
        self.targets.update(targets)
        if self.on_rebuilt is not None:
            self.on_rebuilt()

    def _forget(self, endpoint_id: str) -> None:
        """Forget what is known of the previous processes of an endpoint."""
        born_ms = self._registry.tracker.born_ms(endpoint_id)
        self._leaving.forget(endpoint_id, born_ms)
        self._clearances.forget(endpoint_id, born_ms)
        self.paths.forget(endpoint_id, born_ms)
        suspicion = self._suspicions.get(endpoint_id)
        if suspicion is not None and born_ms and suspicion.born_ms == born_ms:
            return
        self._suspicions.pop(endpoint_id, None)
        self._locally_suspected.discard(endpoint_id)

    def _notify_path_doubted(self) -> None:
        if self.on_path_doubted is not None:
            self.on_path_doubted()
