"""Computes the next state of the replicas of one fabric domain.

Load pattern: VMs die, pause, return and are replaced one by one (47 a day at
9,600 VMs), now and then a rack or the whole domain fails at once, and versions
roll several times a day. If replicas were not decided together, remaining VMs
of broken replicas would lie idle beside each other, replicas that return would
be loaded again, and one spare would be used to heal two losses.

The steps change a working copy of the domain, which is then stored by one
conditional write. They follow the priority of the guarantees: first stop
replicas that must not serve, then adopt those that run as ordered, then heal
those with the highest downtime price.
"""

from redwingvalve.core import invariants
from redwingvalve.replicas import domain as domain_module
from redwingvalve.replicas import draft as draft_module
from redwingvalve.replicas import healing
from redwingvalve.replicas import view as view_module

State = domain_module.ReplicaState
Draft = draft_module.Draft
STATE_READ_BACK = invariants.Safeguard.STATE_READ_BACK


def next_domain(
    view: view_module.DomainView,
    switches: invariants.SafeguardSwitches,
    policy: draft_module.PlacementPolicy,
) -> domain_module.FabricDomain:
    """Return the next state of the domain."""
    draft = Draft(view, switches, policy)
    _drop_drained(draft)
    _mark_broken(draft)
    _adopt_ready(draft)
    _drain_surplus(draft)
    healing.heal_broken(draft)
    _form_missing(draft)
    _replace_outdated(draft)
    healing.dissolve_for_broken(draft)
    return draft.domain


def _drop_drained(draft: Draft) -> None:
    for replica in draft.in_state(State.DRAINING):
        # The requests in flight at a replica with a lost VM cannot finish.
        if replica.name in draft.view.drained or draft.lost_members(replica):
            draft.drop(replica)


def _mark_broken(draft: Draft) -> None:
    for replica in draft.in_state(State.SERVING, State.FORMING):
        lost = draft.lost_members(replica)
        if lost:
            draft.set_state(
                replica, State.BROKEN, f'missing: {", ".join(lost)}'
            )
        elif replica.state == State.SERVING and not draft.runs_as_ordered(
            replica
        ):
            draft.reform(
                replica,
                replica.members,
                State.FORMING,
                'an engine lost its state',
            )


def _adopt_ready(draft: Draft) -> None:
    for replica in draft.in_state(State.BROKEN, State.FORMING):
        if not replica.members:
            continue
        as_ordered = view_module.all_members_ready(draft.view, replica)
        # An accepted order does not mean that the model is loaded, and an
        # engine that ignores fencing may have obeyed another holder since.
        # Callers would get errors or answers of another model. Only the state
        # read back from the engines shows what they serve.
        if not as_ordered and draft.switches.enabled(STATE_READ_BACK):
            continue
        invariants.require(
            as_ordered,
            'a replica serves only after its state was read back',
            f'{draft.domain.name}/{replica.name} epoch {replica.epoch}',
        )
        if not any(draft.vm(name).quarantined for name in replica.members):
            draft.set_state(replica, State.SERVING, '')


def _drain_surplus(draft: Draft) -> None:
    for name in sorted({each.deployment for each in draft.domain.replicas}):
        desired = draft.view.desired_share(name)
        _drain_deployment(draft, name, desired.replicas if desired else 0)


def _drain_deployment(draft: Draft, deployment: str, desired: int) -> None:
    serving = draft.of_deployment(deployment, State.SERVING)
    current = [each for each in serving if not draft.outdated(each)]
    if len(current) >= desired:
        for replica in draft.of_deployment(
            deployment, State.BROKEN, State.FORMING
        ):
            draft.drop(replica)
    surplus = max(len(serving) - desired, 0)
    for victim in sorted(serving, key=draft.drain_rank)[:surplus]:
        draft.set_state(victim, State.DRAINING, 'surplus')


def _form_missing(draft: Draft) -> None:
    for desired in sorted(draft.view.desired, key=draft_module.price_rank):
        held = draft.of_deployment(
            desired.deployment.name, State.FORMING, State.SERVING, State.BROKEN
        )
        for _ in range(desired.replicas - len(held)):
            if not healing.form_replica(draft, desired.deployment):
                break


def _replace_outdated(draft: Draft) -> None:
    for desired in draft.view.desired:
        _replace_one(draft, desired)


def _replace_one(draft: Draft, desired: view_module.DesiredShare) -> None:
    """Form a replacement first if VMs are free, else drain an old replica."""
    name = desired.deployment.name
    serving = draft.of_deployment(name, State.SERVING)
    outdated = [each for each in serving if draft.outdated(each)]
    if not outdated or draft.of_deployment(name, State.FORMING, State.DRAINING):
        return
    if healing.form_replica(draft, desired.deployment):
        return
    victim = min(outdated, key=draft.drain_rank)
    leaving = draft.has_leaving(victim)
    above_floor = len(serving) > desired.floor_replicas
    if leaving or (desired.in_place and above_floor):
        reason = 'a VM is leaving' if leaving else 'outdated'
        draft.set_state(victim, State.DRAINING, reason)
