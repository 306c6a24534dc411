"""Compares a declaration with what runs and makes the plan; pure."""

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
# Entries stop sending before a drained replica is loaded anew.
CHANGE_DRAIN_S = entry_reports.SENDERS_STOP_TIMEOUT_S


@attrs.frozen
class FleetState:
    """What a plan is made from, read at one time."""

    generation: int = 0
    declaration: schema.Declaration | None = None
    allocation: shares.Allocation = attrs.field(factory=shares.Allocation)
    domains: tuple[domain_module.FabricDomain, ...] = ()
    vms: tuple[vm_list.Vm, ...] = ()


@attrs.frozen
class Proposal:
    """Who proposes what, when, under which name."""

    name: str
    operator: str
    at_s: float


def make_plan(
    declaration: schema.Declaration, state: FleetState, proposal: Proposal
) -> plan.Plan:
    """Return the plan for a declaration in the world as it was read."""
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
    """Return the versions that a plan made from world depends on."""
    return plan.Basis(
        state.generation,
        tuple(sorted((each.name, fingerprint(each)) for each in state.domains)),
    )


def fingerprint(domain: domain_module.FabricDomain) -> str:
    """Return a digest of the VMs and members that a plan depends on."""
    basis = [
        sorted((vm.name, vm.leaving, vm.missing) for vm in domain.vms),
        sorted((each.name, each.deployment) for each in domain.replicas),
    ]
    return hashlib.sha256(json.dumps(basis).encode()).hexdigest()[:16]


def capacities_of(state: FleetState) -> tuple[shares.DomainCapacity, ...]:
    """Return what each domain can hold; missing and leaving VMs not at all."""
    missing = {
        vm.name for domain in state.domains for vm in domain.vms if vm.missing
    }
    usable: dict[str, int] = {}
    places: dict[str, str] = {}
    for vm in state.vms:
        places[vm.fabric_domain] = vm.data_centre
        counts = vm.state == vm_list.VmState.LIVE and vm.name not in missing
        usable[vm.fabric_domain] = usable.get(vm.fabric_domain, 0) + counts
    return tuple(
        shares.DomainCapacity(name, places[name], usable[name])
        for name in sorted(usable)
    )


def placement_fits(made: plan.Plan, state: FleetState) -> bool:
    """Tell whether each domain still has the VMs that a plan counts on."""
    usable = {each.domain: each.usable_vms for each in capacities_of(state)}
    sizes = {
        each.name: each.vms_per_replica for each in made.declaration.deployments
    }
    for share in made.allocation.shares:
        left = usable.get(share.domain, 0)
        usable[share.domain] = left - share.replicas * sizes[share.deployment]
    return all(left >= 0 for left in usable.values())


def _object_changes(
    before: schema.Declaration, after: schema.Declaration
) -> collections_abc.Iterator[plan.Change]:
    old = objects.declared_objects(before)
    new = objects.declared_objects(after)
    for kind, name in sorted(set(old) | set(new)):
        change = _object_change(old.get((kind, name)), new.get((kind, name)))
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
        f'{name}: {_shown(name, before[name])} to {_shown(name, after[name])}'
        for name in sorted(set(before) & set(after))
        if before[name] != after[name]
    ]
    return '; '.join(parts)


def _shown(name: str, content: object) -> str:
    return '...' if name == 'credential_sha256' else str(content)


def _replica_changes(
    before: schema.Declaration,
    after: schema.Declaration,
    state: FleetState,
    allocated: shares.Allocation,
) -> collections_abc.Iterator[plan.Change]:
    new = {each.name: each for each in after.deployments}
    old = {each.name: each for each in before.deployments}
    for name in sorted(set(old) | set(new)):
        running = _running(state, name)
        subject = f'replicas of {name}'
        placed = allocated.total(name)
        if placed > running:
            yield plan.Change(
                plan.ChangeKind.FORMED,
                subject,
                placed - running,
                _spread(allocated, name),
            )
        if placed < running:
            yield plan.Change(
                plan.ChangeKind.STOPPED,
                subject,
                running - placed,
                'drained first; no request is cut off',
            )
        yield from _moves(state, allocated, name, subject)
        declared = new.get(name)
        if declared is not None:
            yield from _per_deployment(declared, old.get(name), placed)


def _per_deployment(
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
    """Tell whether running replicas have to load something else."""
    return any(
        getattr(before, name) != getattr(after, name)
        for name in ('model', 'version', 'adapters', 'vms_per_replica')
    )


def _moves(
    state: FleetState, allocated: shares.Allocation, name: str, subject: str
) -> collections_abc.Iterator[plan.Change]:
    for domain in state.domains:
        running = sum(each.deployment == name for each in domain.replicas)
        lost = running - allocated.replicas(domain.name, name)
        if lost > 0 and allocated.total(name) >= _running(state, name):
            yield plan.Change(
                plan.ChangeKind.MOVED, subject, lost, f'out of {domain.name}'
            )


def _running(state: FleetState, deployment: str) -> int:
    return sum(
        each.deployment == deployment
        for domain in state.domains
        for each in domain.replicas
    )


def _spread(allocated: shares.Allocation, name: str) -> str:
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
    old = {each.name: each for each in before.deployments}
    for deployment in after.deployments:
        short = deployment.replicas - allocated.total(deployment.name)
        if short > 0:
            yield _risk(
                deployment, short, SECONDS_PER_MINUTE, 'not placed, each minute'
            )
        known = old.get(deployment.name)
        if known is not None and needs_reload(known, deployment):
            yield from _change_risks(deployment, after, state, allocated)


def _change_risks(
    deployment: schema.ModelDeployment,
    after: schema.Declaration,
    state: FleetState,
    allocated: shares.Allocation,
) -> collections_abc.Iterator[plan.Risk]:
    """Say what a change costs where no domain has room for one replica more.

    Each replica is then drained and loaded in turn, or, unless that is
    accepted or while the floor allows none, the change waits.
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
    """Advise on all domains together, the roomiest first to hold sets."""
    needs = {
        capacity.domain: _needs_of(capacity.domain, declaration, allocated)
        for capacity in capacities_of(state)
    }
    free = {
        capacity.domain: capacity.usable_vms
        - sum(need.vms() for need in needs[capacity.domain])
        for capacity in capacities_of(state)
    }
    roomiest = sorted(free, key=free.__getitem__, reverse=True)
    used = [
        name for name in roomiest if any(need.vms() for need in needs[name])
    ]
    kept = tuple(needs[name] for name in used)
    advice = spares.advise_pool(kept, declaration.failures)
    price = spares.pool_price_per_minute(
        kept, declaration.failures, tuple(free[name] for name in used)
    )
    for name, advised in sorted(zip(used, advice.spares, strict=True)):
        yield plan.SpareAdvice(
            name,
            free[name],
            advised,
            round(price, 4),
            round(advice.price_per_minute, 4),
        )


def _needs_of(
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
