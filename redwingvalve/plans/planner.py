"""Compares a declaration with the fleet state and makes a plan; pure."""

import hashlib
import json
from collections import abc as collections_abc

import attrs

from redwingvalve.declaration import schema
from redwingvalve.plans import objects, plan
from redwingvalve.platform_api import vm_list
from redwingvalve.replicas import (
    codec,
    entry_reports,
    move_policy,
    shares,
    spares,
)
from redwingvalve.replicas import domain as domain_module

SECONDS_PER_MINUTE = 60.0
# A drained replica is reloaded only after all entries stopped sending to it.
CHANGE_DRAIN_S = entry_reports.SENDERS_STOP_TIMEOUT_S


@attrs.frozen
class FleetState:
    """Everything that a plan is computed from."""

    generation: int = 0
    declaration: schema.Declaration | None = None
    allocation: shares.Allocation = attrs.field(factory=shares.Allocation)
    domains: tuple[domain_module.FabricDomain, ...] = ()
    vms: tuple[vm_list.Vm, ...] = ()


@attrs.frozen
class Proposal:
    """Name, operator and time of a proposed plan."""

    name: str
    operator: str
    at_s: float


def make_plan(
    declaration: schema.Declaration, state: FleetState, proposal: Proposal
) -> plan.Plan:
    """Return the plan for a declaration, given the fleet state."""
    allocated = shares.allocate(
        state.generation + 1,
        declaration.deployments,
        capacities_of(state),
        state.allocation,
    )
    before = state.declaration or schema.Declaration(declaration.operator)
    changes = (
        *_object_changes(before, declaration),
        *_replica_changes(before, declaration, state, allocated),
    )
    return plan.Plan(
        name=proposal.name,
        proposed_by=proposal.operator,
        proposed_at_s=proposal.at_s,
        basis=basis_of(state),
        declaration=declaration,
        allocation=allocated,
        changes=changes,
        risks=tuple(_risks(before, declaration, state, allocated)),
        spares=tuple(_spares(declaration, state, allocated)),
    )


def basis_of(state: FleetState) -> plan.Basis:
    """Return the versions that a plan made from state depends on."""
    return plan.Basis(
        state.generation,
        tuple(sorted((each.name, fingerprint(each)) for each in state.domains)),
    )


def fingerprint(domain: domain_module.FabricDomain) -> str:
    """Return a digest of the VMs and replicas of a domain."""
    basis = [
        sorted((vm.name, vm.leaving, vm.missing) for vm in domain.vms),
        sorted((each.name, each.deployment) for each in domain.replicas),
    ]
    return hashlib.sha256(json.dumps(basis).encode()).hexdigest()[:16]


def capacities_of(state: FleetState) -> tuple[shares.DomainCapacity, ...]:
    """Return usable VMs per domain; missing and leaving VMs don't count."""
    missing = {
        vm.name for domain in state.domains for vm in domain.vms if vm.missing
    }
    usable: dict[str, int] = {}
    data_centres: dict[str, str] = {}
    for vm in state.vms:
        data_centres[vm.fabric_domain] = vm.data_centre
        is_usable = vm.state == vm_list.VmState.LIVE and vm.name not in missing
        usable[vm.fabric_domain] = usable.get(vm.fabric_domain, 0) + is_usable
    return tuple(
        shares.DomainCapacity(name, data_centres[name], usable[name])
        for name in sorted(usable)
    )


def placement_fits(made: plan.Plan, state: FleetState) -> bool:
    """Tell whether each domain has enough usable VMs for the plan."""
    usable = {each.domain: each.usable_vms for each in capacities_of(state)}
    sizes = {
        each.name: each.vms_per_replica for each in made.declaration.deployments
    }
    for share in made.allocation.shares:
        remaining = usable.get(share.domain, 0)
        usable[share.domain] = (
            remaining - share.replicas * sizes[share.deployment]
        )
    return all(remaining >= 0 for remaining in usable.values())


def _object_changes(
    before: schema.Declaration, after: schema.Declaration
) -> collections_abc.Iterator[plan.Change]:
    before_by_name = objects.declared_objects(before)
    after_by_name = objects.declared_objects(after)
    for kind, name in sorted(set(before_by_name) | set(after_by_name)):
        change = _object_change(
            before_by_name.get((kind, name)), after_by_name.get((kind, name))
        )
        if change is not None:
            yield plan.Change(change[0], f'{kind}/{name}', 1, change[1])


def _object_change(
    old: object | None, new: object | None
) -> tuple[plan.ChangeKind, str] | None:
    if old is None:
        return plan.ChangeKind.FORMED, 'is added'
    if new is None:
        return plan.ChangeKind.STOPPED, 'is removed'
    if old == new:
        return None
    return plan.ChangeKind.CHANGED, _difference(old, new)


def _difference(old: object, new: object) -> str:
    before = codec.to_body(old)
    after = codec.to_body(new)
    parts = [
        f'{name}: {_format(name, before[name])} to {_format(name, after[name])}'
        for name in sorted(set(before) & set(after))
        if before[name] != after[name]
    ]
    return '; '.join(parts)


def _format(name: str, content: object) -> str:
    return '...' if name == 'credential_sha256' else str(content)


def _replica_changes(
    before: schema.Declaration,
    after: schema.Declaration,
    state: FleetState,
    allocated: shares.Allocation,
) -> collections_abc.Iterator[plan.Change]:
    after_by_name = {each.name: each for each in after.deployments}
    before_by_name = {each.name: each for each in before.deployments}
    for name in sorted(set(before_by_name) | set(after_by_name)):
        running = _running_replicas(state, name)
        subject = f'replicas of {name}'
        placed = allocated.total(name)
        if placed > running:
            yield plan.Change(
                plan.ChangeKind.FORMED,
                subject,
                placed - running,
                _placement_text(allocated, name),
            )
        if placed < running:
            yield plan.Change(
                plan.ChangeKind.STOPPED,
                subject,
                running - placed,
                'drained first; no request is cut off',
            )
        yield from _moved_replicas(state, allocated, name, subject)
        declared = after_by_name.get(name)
        if declared is not None:
            yield from _deployment_changes(
                declared, before_by_name.get(name), placed
            )


def _deployment_changes(
    deployment: schema.ModelDeployment,
    before: schema.ModelDeployment | None,
    placed: int,
) -> collections_abc.Iterator[plan.Change]:
    subject = f'replicas of {deployment.name}'
    if placed < deployment.replicas:
        yield plan.Change(
            plan.ChangeKind.NOT_PLACED,
            subject,
            deployment.replicas - placed,
            f'no fabric domain has {deployment.vms_per_replica} usable VMs '
            'left for another',
        )
    if before is not None and needs_reload(before, deployment):
        yield plan.Change(
            plan.ChangeKind.CHANGED,
            subject,
            placed,
            f'reloaded one after another: {before.model} {before.version} to '
            f'{deployment.model} {deployment.version}',
        )


def needs_reload(
    before: schema.ModelDeployment, after: schema.ModelDeployment
) -> bool:
    """Tell whether running replicas have to be loaded again."""
    return any(
        getattr(before, name) != getattr(after, name)
        for name in ('model', 'version', 'adapters', 'vms_per_replica')
    )


def _moved_replicas(
    state: FleetState, allocated: shares.Allocation, name: str, subject: str
) -> collections_abc.Iterator[plan.Change]:
    for domain in state.domains:
        running = sum(each.deployment == name for each in domain.replicas)
        lost = running - allocated.replicas(domain.name, name)
        if lost > 0 and allocated.total(name) >= _running_replicas(state, name):
            yield plan.Change(
                plan.ChangeKind.MOVED, subject, lost, f'out of {domain.name}'
            )


def _running_replicas(state: FleetState, deployment: str) -> int:
    return sum(
        each.deployment == deployment
        for domain in state.domains
        for each in domain.replicas
    )


def _placement_text(allocated: shares.Allocation, name: str) -> str:
    parts = [
        f'{share.domain}: {share.replicas}'
        for share in allocated.shares
        if share.deployment == name
    ]
    return ', '.join(parts)


def _risks(
    before: schema.Declaration,
    after: schema.Declaration,
    state: FleetState,
    allocated: shares.Allocation,
) -> collections_abc.Iterator[plan.Risk]:
    before_by_name = {each.name: each for each in before.deployments}
    for deployment in after.deployments:
        unplaced = deployment.replicas - allocated.total(deployment.name)
        if unplaced > 0:
            yield _risk(
                deployment,
                unplaced,
                SECONDS_PER_MINUTE,
                'not placed, each minute',
            )
        previous = before_by_name.get(deployment.name)
        if previous is not None and needs_reload(previous, deployment):
            yield from _change_risks(deployment, after, state, allocated)


def _change_risks(
    deployment: schema.ModelDeployment,
    after: schema.Declaration,
    state: FleetState,
    allocated: shares.Allocation,
) -> collections_abc.Iterator[plan.Risk]:
    """Yield the cost of a change if no domain can take another replica.

    In that case the replicas are drained and reloaded one after another. If
    the deployment does not accept that, or if its floor leaves no replica to
    drain, the change waits.
    """
    deployments = {each.name: each for each in after.deployments}
    capacities = capacities_of(state)
    if move_policy.has_room(deployment, deployments, capacities, allocated):
        return
    placed = allocated.total(deployment.name)
    accepted = deployment.accepts_change_in_place
    above_floor = placed - deployment.floor_replicas
    reason = 'reloaded in place above the floor'
    if not accepted:
        reason = 'the change waits; accepts_change_in_place would reload'
    elif above_floor <= 0:
        reason = 'the change waits: the floor leaves no replica to drain'
    yield _risk(
        deployment,
        placed,
        deployment.load_time_s + CHANGE_DRAIN_S,
        f'{reason}: no domain has VMs free for a whole replica',
    )


def _spares(
    declaration: schema.Declaration,
    state: FleetState,
    allocated: shares.Allocation,
) -> collections_abc.Iterator[plan.SpareAdvice]:
    """Advise on the spares of all domains as one pool.

    The domains with the most free VMs come first, since the pool places spare
    VMs for whole replicas in the first domains.
    """
    demands = {
        capacity.domain: _demands_in(capacity.domain, declaration, allocated)
        for capacity in capacities_of(state)
    }
    free = {
        capacity.domain: capacity.usable_vms
        - sum(demand.vms() for demand in demands[capacity.domain])
        for capacity in capacities_of(state)
    }
    by_free_vms = sorted(free, key=free.__getitem__, reverse=True)
    domains_in_use = [
        name
        for name in by_free_vms
        if any(demand.vms() for demand in demands[name])
    ]
    demands_in_use = tuple(demands[name] for name in domains_in_use)
    advice = spares.advise_pool(demands_in_use, declaration.failures)
    price = spares.pool_price_per_minute(
        demands_in_use,
        declaration.failures,
        tuple(free[name] for name in domains_in_use),
    )
    for name, advised in sorted(
        zip(domains_in_use, advice.spares, strict=True)
    ):
        yield plan.SpareAdvice(
            name,
            free[name],
            advised,
            round(price, 4),
            round(advice.price_per_minute, 4),
        )


def _demands_in(
    domain: str, declaration: schema.Declaration, allocated: shares.Allocation
) -> tuple[spares.DeploymentDemand, ...]:
    return tuple(
        spares.DeploymentDemand(each, allocated.replicas(domain, each.name))
        for each in declaration.deployments
    )


def _risk(
    deployment: schema.ModelDeployment,
    replicas: int,
    time_s: float,
    reason: str,
) -> plan.Risk:
    minutes = replicas * time_s / SECONDS_PER_MINUTE
    price = minutes * deployment.prices.downtime_per_replica_minute
    return plan.Risk(deployment.name, replicas, time_s, round(price, 2), reason)
