"""Decides when replicas move between fabric domains; all functions are pure.

Load pattern: a VM or a rack is lost in a domain without a spare, a domain
becomes unreachable, or a version rolls through domains without room for one
more replica. If a share were moved from one domain to another in one step, the
downtime would last for a whole load whenever the replica in the old domain
still serves or returns first.

A move therefore starts by adding the replica to the new domain. The old domain
drops its replica only when the new one serves its whole share, and the VMs so
freed are the room for the next replica. A move is cancelled if the new domain
cannot hold the replica or the old one no longer needs the move. Each step is
one conditional write of the allocation, so that any controller can continue
after another one has died.
"""

import collections

import attrs

from redwingvalve.declaration import schema
from redwingvalve.replicas import domain as domain_module
from redwingvalve.replicas import shares

State = domain_module.ReplicaState
Deployments = dict[str, schema.ModelDeployment]


@attrs.frozen
class DomainState:
    """A domain as seen by its controller.

    short_deployments are those of which it cannot hold all its replicas.
    """

    domain: domain_module.FabricDomain
    short_deployments: frozenset[str] = frozenset()


def needs_step(
    domain_state: DomainState,
    allocation: shares.Allocation,
    deployments: Deployments,
) -> bool:
    """Tell whether the domain may have to start, complete or cancel a move."""
    name = domain_state.domain.name
    return (
        bool(domain_state.short_deployments)
        or any(each.from_domain == name for each in allocation.moves)
        or any(
            needs_room(domain_state.domain, each)
            for each in deployments.values()
        )
    )


def needs_room(
    domain: domain_module.FabricDomain, deployment: schema.ModelDeployment
) -> bool:
    """Tell whether a change waits because the domain has too few free VMs."""
    held = [
        each for each in domain.replicas if each.deployment == deployment.name
    ]
    busy = any(each.state in {State.FORMING, State.DRAINING} for each in held)
    outdated = any(_outdated(each, deployment) for each in held)
    lacking = free_vms(domain) < deployment.vms_per_replica
    return outdated and lacking and not busy


def free_vms(domain: domain_module.FabricDomain) -> int:
    """Return how many VMs are available and belong to no replica."""
    return sum(not vm.missing and not vm.leaving for vm in domain.spare_vms())


def moves_to_cancel(
    domain_state: DomainState,
    allocation: shares.Allocation,
    deployments: Deployments,
) -> tuple[shares.Move, ...]:
    """Return the moves in progress that the domain should cancel."""
    return tuple(
        move
        for move in allocation.moves
        if _target_is_short(move, domain_state)
        or _is_unneeded(move, domain_state, deployments)
    )


def _target_is_short(move: shares.Move, domain_state: DomainState) -> bool:
    return (
        move.to_domain == domain_state.domain.name
        and move.deployment in domain_state.short_deployments
    )


def _is_unneeded(
    move: shares.Move, domain_state: DomainState, deployments: Deployments
) -> bool:
    if move.from_domain != domain_state.domain.name:
        return False
    deployment = deployments.get(move.deployment)
    if deployment is None:
        return True
    if move.reason == shares.MoveReason.RELIEF:
        return move.deployment not in domain_state.short_deployments
    return not any(
        _outdated(each, deployment) for each in domain_state.domain.replicas
    )


def serves_full_share(
    domain: domain_module.FabricDomain,
    allocation: shares.Allocation,
    deployment: str,
) -> bool:
    """Tell whether a domain serves its whole share of a deployment."""
    serving = domain_module.count_serving((domain,), deployment)
    return serving >= allocation.replicas(domain.name, deployment)


def relief_moves(
    deployments: Deployments,
    capacities: tuple[shares.DomainCapacity, ...],
    allocation: shares.Allocation,
) -> shares.Allocation:
    """Start moves of replicas that their domains cannot hold.

    A replica that fits into no other domain stays.
    """
    target = shares.complete_moves(allocation, allocation.moves)
    desired = shares.reallocate(deployments.values(), capacities, target)
    lost, gained = shares.differences(target, desired)
    moves: list[shares.Move] = []
    for (domain, name), count in sorted(lost.items()):
        for _ in range(count):
            to_domain = _take_target(gained, name)
            if to_domain:
                moves.append(
                    shares.Move(
                        name, domain, to_domain, shares.MoveReason.RELIEF
                    )
                )
    return shares.add_replicas(
        shares.start_moves(allocation, tuple(moves)), +gained
    )


def room_moves(
    domain_state: DomainState,
    deployments: Deployments,
    capacities: tuple[shares.DomainCapacity, ...],
    domains: tuple[domain_module.FabricDomain, ...],
    allocation: shares.Allocation,
) -> tuple[shares.Move, ...]:
    """Return moves that free VMs for one replica of each waiting deployment."""
    name = domain_state.domain.name
    moving = {
        each.deployment for each in allocation.moves if each.from_domain == name
    }
    found: list[shares.Move] = []
    for deployment in deployments.values():
        if deployment.name in moving or not needs_room(
            domain_state.domain, deployment
        ):
            continue
        host = _choose_target(
            name, deployment, deployments, capacities, domains, allocation
        )
        if host:
            move = shares.Move(
                deployment.name, name, host, shares.MoveReason.ROOM
            )
            found.append(move)
            allocation = shares.start_moves(allocation, (move,))
    return tuple(found)


def _choose_target(
    source_domain: str,
    deployment: schema.ModelDeployment,
    deployments: Deployments,
    capacities: tuple[shares.DomainCapacity, ...],
    domains: tuple[domain_module.FabricDomain, ...],
    allocation: shares.Allocation,
) -> str:
    """Choose the domain with the most free VMs that has no change to make."""
    busy = {each.to_domain for each in allocation.moves}
    busy.update(each.from_domain for each in allocation.moves)
    left = unallocated_vms(deployments, capacities, allocation)
    allowed = {
        each.domain
        for each in capacities
        if not deployment.data_centres
        or each.data_centre in deployment.data_centres
    }
    candidates = [
        domain.name
        for domain in domains
        if domain.name in allowed - busy - {source_domain}
        and left.get(domain.name, 0) >= deployment.vms_per_replica
        and free_vms(domain) >= deployment.vms_per_replica
        and _is_settled(domain, deployments)
    ]
    return max(candidates, key=left.__getitem__, default='')


def without_room(
    domain_state: DomainState,
    deployments: Deployments,
    capacities: tuple[shares.DomainCapacity, ...],
    allocation: shares.Allocation,
) -> frozenset[str]:
    """Return the deployments whose change has room in no domain."""
    moving = {each.deployment for each in allocation.moves}
    return frozenset(
        each.name
        for each in deployments.values()
        if needs_room(domain_state.domain, each)
        and each.name not in moving
        and not has_room(each, deployments, capacities, allocation)
    )


def has_room(
    deployment: schema.ModelDeployment,
    deployments: Deployments,
    capacities: tuple[shares.DomainCapacity, ...],
    allocation: shares.Allocation,
) -> bool:
    """Tell whether any domain can hold one more replica of a deployment."""
    left = unallocated_vms(deployments, capacities, allocation)
    return any(
        left[each.domain] >= deployment.vms_per_replica
        for each in capacities
        if not deployment.data_centres
        or each.data_centre in deployment.data_centres
    )


def unallocated_vms(
    deployments: Deployments,
    capacities: tuple[shares.DomainCapacity, ...],
    allocation: shares.Allocation,
) -> dict[str, int]:
    """Return the usable VMs of each domain that no share needs."""
    left = {each.domain: each.usable_vms for each in capacities}
    for share in allocation.shares:
        declared = deployments.get(share.deployment)
        if declared is not None and share.domain in left:
            left[share.domain] -= share.replicas * declared.vms_per_replica
    return left


def _is_settled(
    domain: domain_module.FabricDomain, deployments: Deployments
) -> bool:
    return all(
        each.state == State.SERVING
        and each.deployment in deployments
        and not _outdated(each, deployments[each.deployment])
        for each in domain.replicas
    )


def _outdated(
    replica: domain_module.DomainReplica, deployment: schema.ModelDeployment
) -> bool:
    return (
        replica.deployment == deployment.name
        and not domain_module.matches_deployment(replica, deployment)
    )


def _take_target(
    gained: collections.Counter[tuple[str, str]], name: str
) -> str:
    """Take one replica of a deployment off the gains and return its domain.

    Returns an empty string if there is none.
    """
    for domain, deployment in sorted(+gained):
        if deployment == name:
            gained[domain, name] -= 1
            return domain
    return ''
