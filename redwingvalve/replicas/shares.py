"""Allocates the replicas of each deployment to fabric domains.

Load pattern: declarations change a few times an hour, and a domain becomes
unreachable once in months. Without one common allocation two domain controllers
could form the same replica twice, or neither would. If a new allocation did not
stay close to the previous one, every change would move healthy replicas.

The functions are pure. Controllers agree on an allocation by one conditional
write of one small object (12 KB for 150 domains of 5 deployments).
"""

import collections
import enum
import itertools
import math
from collections import abc as collections_abc

import attrs

from redwingvalve.declaration import schema

KIND = 'allocations'
NAME = 'current'

Counts = collections.Counter[tuple[str, str]]
Deployments = collections_abc.Iterable[schema.ModelDeployment]


@attrs.frozen
class DomainCapacity:
    """Usable VMs of a domain; an unreachable domain has none."""

    domain: str
    data_centre: str
    usable_vms: int


@attrs.frozen
class Share:
    """How many replicas of a deployment one domain should hold."""

    domain: str
    deployment: str
    replicas: int
    floor_replicas: int = 0


class MoveReason(enum.StrEnum):
    """Why a replica moves; it decides when the move is cancelled.

    RELIEF moves a replica that its domain cannot hold. ROOM frees VMs for a
    change in the domain.
    """

    RELIEF = 'relief'
    ROOM = 'room'


@attrs.frozen
class Move:
    """One replica that is formed in to_domain before from_domain drops it.

    Until the move completes, both domains have a share for the replica.
    """

    deployment: str
    from_domain: str
    to_domain: str
    reason: MoveReason


@attrs.frozen
class Allocation:
    """The shares of all domains, and the generation that they were made for.

    moves are in progress: each has already added one replica to its to_domain.
    """

    generation: int = 0
    shares: tuple[Share, ...] = ()
    moves: tuple[Move, ...] = ()

    def replicas(self, domain: str, deployment: str) -> int:
        """Return how many replicas of a deployment a domain should hold."""
        found = (
            share.replicas
            for share in self.shares
            if (share.domain, share.deployment) == (domain, deployment)
        )
        return next(found, 0)

    def total(self, deployment: str) -> int:
        """Return how many replicas are allocated in all domains."""
        return sum(
            share.replicas
            for share in self.shares
            if share.deployment == deployment
        )


def allocate(
    generation: int,
    deployments: Deployments,
    capacities: tuple[DomainCapacity, ...],
    previous: Allocation,
) -> Allocation:
    """Return new shares that stay close to the previous ones.

    The deployment with the highest downtime price per VM is placed first.
    Replicas whose move is in progress stay in the domain where they serve.
    """
    previous = cancel_moves(previous, previous.moves)
    free = {each.domain: each.usable_vms for each in capacities}
    counts: Counts = collections.Counter()
    ordered = sorted(deployments, key=_rank)
    for deployment in ordered:
        domains = _allowed_domains(deployment, capacities)
        _keep_previous(deployment, domains, free, counts, previous)
    for deployment in ordered:
        domains = _allowed_domains(deployment, capacities)
        _add_missing(deployment, domains, free, counts)
    return Allocation(generation, tuple(_shares(ordered, counts)))


def reallocate(
    deployments: Deployments,
    capacities: tuple[DomainCapacity, ...],
    before: Allocation,
) -> Allocation:
    """Move shares to domains with free VMs; those that fit nowhere stay.

    The generation is kept, since the operator's plan is the same and only the
    domains change.
    """
    declared = tuple(deployments)
    after = allocate(before.generation, declared, capacities, before)
    counts: Counts = collections.Counter()
    for share in after.shares:
        counts[share.domain, share.deployment] = share.replicas
    for deployment in declared:
        left = before.total(deployment.name) - after.total(deployment.name)
        for share in before.shares:
            if share.deployment != deployment.name or left <= 0:
                continue
            key = (share.domain, share.deployment)
            kept = min(max(share.replicas - counts[key], 0), left)
            counts[key] += kept
            left -= kept
    ordered = sorted(declared, key=_rank)
    return Allocation(before.generation, tuple(_shares(ordered, counts)))


def start_moves(allocation: Allocation, moves: tuple[Move, ...]) -> Allocation:
    """Return the allocation with moves started: one more in each to_domain."""
    counts = _counts(allocation)
    counts.update((each.to_domain, each.deployment) for each in moves)
    return _with_counts(allocation, counts, (*allocation.moves, *moves))


def cancel_moves(allocation: Allocation, moves: tuple[Move, ...]) -> Allocation:
    """Return the allocation with moves in progress cancelled."""
    counts = _counts(allocation)
    counts.subtract((each.to_domain, each.deployment) for each in moves)
    return _with_counts(allocation, counts, _remaining_moves(allocation, moves))


def complete_moves(
    allocation: Allocation, moves: tuple[Move, ...]
) -> Allocation:
    """Return the allocation with moves completed: one less in from_domain."""
    counts = _counts(allocation)
    counts.subtract((each.from_domain, each.deployment) for each in moves)
    return _with_counts(allocation, counts, _remaining_moves(allocation, moves))


def add_replicas(allocation: Allocation, additions: Counts) -> Allocation:
    """Return the allocation with replicas added to some shares."""
    return _with_counts(
        allocation, _counts(allocation) + additions, allocation.moves
    )


def differences(before: Allocation, after: Allocation) -> tuple[Counts, Counts]:
    """Return the replicas that each share loses and those that it gains."""
    old, new = _counts(before), _counts(after)
    return old - new, new - old


def _counts(allocation: Allocation) -> Counts:
    return collections.Counter(
        {
            (share.domain, share.deployment): share.replicas
            for share in allocation.shares
        }
    )


def _remaining_moves(
    allocation: Allocation, moves: tuple[Move, ...]
) -> tuple[Move, ...]:
    left = collections.Counter(allocation.moves)
    left.subtract(moves)
    return tuple((+left).elements())


def _with_counts(
    allocation: Allocation, counts: Counts, moves: tuple[Move, ...]
) -> Allocation:
    """Return the allocation with other counts and recomputed floors."""
    floors: collections.Counter[str] = collections.Counter()
    for share in allocation.shares:
        floors[share.deployment] += share.floor_replicas
    parts = (_shares_of(name, floors[name], counts) for name in floors)
    changed = tuple(itertools.chain.from_iterable(parts))
    return Allocation(allocation.generation, changed, moves)


def _rank(deployment: schema.ModelDeployment) -> tuple[float, str]:
    value_per_vm = (
        deployment.prices.downtime_per_replica_minute
        / deployment.vms_per_replica
    )
    return (-value_per_vm, deployment.name)


def _allowed_domains(
    deployment: schema.ModelDeployment,
    capacities: tuple[DomainCapacity, ...],
) -> list[str]:
    desired = deployment.data_centres
    return sorted(
        each.domain
        for each in capacities
        if not desired or each.data_centre in desired
    )


def _keep_previous(
    deployment: schema.ModelDeployment,
    domains: list[str],
    free: dict[str, int],
    counts: Counts,
    previous: Allocation,
) -> None:
    left = deployment.replicas
    for name in domains:
        kept = min(
            previous.replicas(name, deployment.name),
            free[name] // deployment.vms_per_replica,
            left,
        )
        _assign(deployment, name, kept, free, counts)
        left -= kept


def _add_missing(
    deployment: schema.ModelDeployment,
    domains: list[str],
    free: dict[str, int],
    counts: Counts,
) -> None:
    held = sum(counts[name, deployment.name] for name in domains)
    for _ in range(deployment.replicas - held):
        freest = max(domains, key=free.__getitem__, default='')
        if not freest or free[freest] < deployment.vms_per_replica:
            return
        _assign(deployment, freest, 1, free, counts)


def _assign(
    deployment: schema.ModelDeployment,
    domain: str,
    replicas: int,
    free: dict[str, int],
    counts: Counts,
) -> None:
    free[domain] -= replicas * deployment.vms_per_replica
    counts[domain, deployment.name] += replicas


def _shares(
    deployments: list[schema.ModelDeployment],
    counts: Counts,
) -> collections_abc.Iterator[Share]:
    for deployment in deployments:
        yield from _shares_of(
            deployment.name, deployment.floor_replicas, counts
        )


def _shares_of(
    deployment: str, floor_replicas: int, counts: Counts
) -> collections_abc.Iterator[Share]:
    """Split the floor over the domains so that the parts add up to it."""
    floor_left = floor_replicas
    held = {
        domain: count
        for (domain, name), count in counts.items()
        if name == deployment and count > 0
    }
    total = sum(held.values())
    for domain in sorted(held):
        exact = floor_replicas * held[domain] / max(total, 1)
        floor = min(held[domain], floor_left, math.ceil(exact))
        floor_left -= floor
        yield Share(domain, deployment, held[domain], floor)
