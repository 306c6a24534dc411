"""What a change of a fabric domain means: shortages, and events to record."""

from redwingvalve.replicas import domain as domain_module
from redwingvalve.replicas import view as view_module


def short_deployments(
    domain: domain_module.FabricDomain,
    desired: tuple[view_module.DesiredShare, ...],
) -> frozenset[str]:
    """Return the deployments of which the domain does not hold its share."""
    broken = domain_module.ReplicaState.BROKEN
    return frozenset(
        share.deployment.name
        for share in desired
        if share.replicas
        > sum(
            each.deployment == share.deployment.name and each.state != broken
            for each in domain.replicas
        )
    )


def with_events(
    before: domain_module.FabricDomain,
    after: domain_module.FabricDomain,
    at_s: float,
) -> domain_module.FabricDomain:
    """Return the domain after a change, with an event for each replica."""
    updated = after
    for replica in after.replicas:
        old = before.replica(replica.name)
        if old is not None and (old.state, old.epoch) == (
            replica.state,
            replica.epoch,
        ):
            continue
        reason = f': {replica.reason}' if replica.reason else ''
        updated = updated.with_event(
            domain_module.DomainEvent(
                at_s, replica.name, f'{replica.state.value}{reason}'
            )
        )
    for gone in before.replicas:
        if after.replica(gone.name) is None:
            updated = updated.with_event(
                domain_module.DomainEvent(at_s, gone.name, 'ended')
            )
    return updated
