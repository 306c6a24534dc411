"""The data shown to operators, as plain JSON; pure."""

import typing
from collections import abc as collections_abc

from redwingvalve.declaration import schema
from redwingvalve.membership import members
from redwingvalve.plans import objects
from redwingvalve.platform_api import object_api
from redwingvalve.replicas import domain as domain_module

Row = dict[str, typing.Any]
MAX_ROWS = 200


def status(
    generation: int,
    deployments: collections_abc.Sequence[schema.ModelDeployment],
    domains: collections_abc.Sequence[domain_module.FabricDomain],
) -> Row:
    """Return the state of deployments and domains, and what is at risk."""
    rows = [_deployment(each, domains) for each in deployments]
    return {
        'generation': generation,
        'deployments': rows,
        'domains': [_domain(each) for each in domains],
        'at_risk': list(_at_risk(deployments, rows)),
    }


def replica_rows(
    domains: collections_abc.Sequence[domain_module.FabricDomain],
) -> list[Row]:
    """Return all replicas with their location and state."""
    return [
        {
            'name': replica.name,
            'deployment': replica.deployment,
            'state': replica.state.value,
            'epoch': replica.epoch,
            'fabric_domain': domain.name,
            'data_centre': domain.data_centre,
            'members': list(replica.members),
            'version': replica.version,
            'reason': replica.reason,
        }
        for domain in domains
        for replica in domain.replicas
    ]


def event_rows(
    domains: collections_abc.Sequence[domain_module.FabricDomain],
) -> list[Row]:
    """Return the events of the controllers, newest first."""
    rows: list[Row] = [
        {
            'at_s': event.at_s,
            'fabric_domain': domain.name,
            'subject': event.subject,
            'message': event.message,
        }
        for domain in domains
        for event in domain.events
    ]
    rows.sort(key=lambda row: row['at_s'], reverse=True)
    return rows[:MAX_ROWS]


def member_rows(
    known: collections_abc.Iterable[members.Member],
    not_in_force: frozenset[str],
) -> list[Row]:
    """Return all processes; not_in_force names those that lack a version."""
    return [
        {
            'name': member.name,
            'role': member.role,
            'data_centre': member.data_centre,
            'region': member.region,
            'address': f'{member.host}:{member.http_port}',
            'state': member.state.value,
            'incarnation': member.incarnation,
            'in_force': member.name not in not_in_force,
        }
        for member in sorted(known, key=lambda each: each.name)
    ]


def stored_rows(
    listed: object_api.ObjectList,
) -> list[Row]:
    """Return the newest objects of a kind, newest first."""
    newest = sorted(
        listed.objects, key=lambda stored: int(stored.version), reverse=True
    )
    return [
        {'name': stored.name, **stored.body} for stored in newest[:MAX_ROWS]
    ]


def declared_deployments(
    listed: object_api.ObjectList,
) -> tuple[schema.ModelDeployment, ...]:
    """Return the declared deployments, without removed ones."""
    found = (
        objects.read_declared(stored, schema.ModelDeployment)
        for stored in listed.objects
    )
    return tuple(each for each in found if each is not None)


def _deployment(
    deployment: schema.ModelDeployment,
    domains: collections_abc.Sequence[domain_module.FabricDomain],
) -> Row:
    counts = {state: 0 for state in domain_module.ReplicaState}
    for domain in domains:
        for replica in domain.replicas:
            if replica.deployment == deployment.name:
                counts[replica.state] += 1
    row: Row = {state.value: count for state, count in counts.items()}
    return {
        'name': deployment.name,
        'wanted': deployment.replicas,
        'floor': deployment.floor_replicas,
        **row,
    }


def _domain(domain: domain_module.FabricDomain) -> Row:
    return {
        'name': domain.name,
        'data_centre': domain.data_centre,
        'vms': len(domain.vms),
        'missing': sum(vm.missing for vm in domain.vms),
        'spares': len(domain.spare_vms()),
        'lease_holder': domain.lease.holder,
        'fencing_number': domain.fencing_number,
    }


def _at_risk(
    deployments: collections_abc.Sequence[schema.ModelDeployment],
    rows: collections_abc.Sequence[Row],
) -> collections_abc.Iterator[str]:
    for deployment, row in zip(deployments, rows, strict=True):
        short = deployment.replicas - row['serving']
        if short <= 0:
            continue
        price = short * deployment.prices.downtime_per_replica_minute
        below = ''
        if row['serving'] < deployment.floor_replicas:
            below = ', below the declared floor'
        yield (
            f'{deployment.name}: {short} of {deployment.replicas} replicas do '
            f'not serve, {price:.2f} a minute{below}'
        )
