"""Builds the targets of all models and plain services from the entries."""

from collections import abc as collections_abc

import attrs

from redwingvalve.fleet import (
    complete_replicas,
    endpoints,
    evacuations,
    leaving_marks,
)
from redwingvalve.ingress import load_balancing, routes

_SERVING_STATES = frozenset(
    (endpoints.MemberState.READY, endpoints.MemberState.OPEN)
)
# By service and model, '' for a plain service.
Targets = dict[tuple[str, str], tuple[load_balancing.Target, ...]]


@attrs.frozen
class TargetBuilder:
    """Chooses the heads and plain endpoints that take requests."""

    evacuations: evacuations.Evacuations
    leaving: leaving_marks.LeavingMarks
    complete_replicas: complete_replicas.CompleteReplicas
    is_suspect: collections_abc.Callable[[str], bool]

    def build(
        self,
        configuration: routes.Configuration,
        usable: list[endpoints.Endpoint],
    ) -> Targets:
        """Return the targets among the usable endpoints."""
        by_id = {endpoint.endpoint_id: endpoint for endpoint in usable}
        replicas = endpoints.group_replicas(usable)
        targets: Targets = {}
        for service in configuration.services.values():
            if service.engine is None:
                targets[service.name, ''] = self._plain_targets(
                    service.name, usable
                )
                continue
            for model in service.engine.models:
                targets[service.name, model.name] = self._head_targets(
                    replicas.get(service.name, []), model, service.engine, by_id
                )
        return targets

    def _plain_targets(
        self, service: str, usable: list[endpoints.Endpoint]
    ) -> tuple[load_balancing.Target, ...]:
        ready = [
            endpoint
            for endpoint in usable
            if endpoint.service == service
            and not self.leaving.is_leaving(endpoint)
            and not self.evacuations.is_evacuated(endpoint.data_centre)
        ]
        healthy = [
            endpoint
            for endpoint in ready
            if not self.is_suspect(endpoint.endpoint_id)
        ]
        # If all are suspect, any of them may still answer.
        return tuple(_plain_target(endpoint) for endpoint in healthy or ready)

    def _head_targets(
        self,
        replicas: list[endpoints.Replica],
        model: routes.Model,
        engine: routes.Engine,
        by_id: dict[str, endpoints.Endpoint],
    ) -> tuple[load_balancing.Target, ...]:
        serving = []
        for observed in replicas:
            if observed.model != model.name:
                continue
            replica = self.complete_replicas.usable(observed, model.size, by_id)
            if replica is None or self.complete_replicas.is_evacuated(
                replica.key
            ):
                continue
            if self._is_serving(replica):
                serving.append(replica)
        staying = [one for one in serving if not one.is_leaving]
        return tuple(
            _head_target(replica, engine.slots)
            for replica in staying or serving
        )

    def _is_serving(self, replica: endpoints.Replica) -> bool:
        head = replica.head
        if head is None or head.membership is None:
            return False
        if self.leaving.is_leaving(head):
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
        domain=head.domain,
    )
