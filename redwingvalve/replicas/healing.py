"""Heals broken replicas with spares, VMs of other broken ones, or cheaper ones.

Load pattern: one VM is lost daily, a rack of VMs monthly. If broken replicas
were not merged, two of four VMs each could strand up to six accelerators.
Without the price check for dissolving, replicas with equal prices would swap
VMs forever, and each swap would cost a load.
"""

import attrs

from redwingvalve.declaration import schema
from redwingvalve.replicas import domain as domain_module
from redwingvalve.replicas import draft as draft_module
from redwingvalve.replicas import view as view_module

State = domain_module.ReplicaState
Replica = domain_module.DomainReplica
Draft = draft_module.Draft


@attrs.frozen
class _DonatedVms:
    """VMs that a broken replica gives to one with higher priority."""

    donor: Replica
    vms: tuple[str, ...]


def heal_broken(draft: Draft) -> None:
    """Form broken replicas again.

    Those with the highest downtime price are first, and among equals those with
    the most usable members.
    """

    def rank(replica: Replica) -> tuple[float, int, int]:
        usable = len(draft.usable_members(replica))
        return (-draft.downtime_price_of(replica), -usable, replica.epoch)

    broken = [
        each.name for each in sorted(draft.in_state(State.BROKEN), key=rank)
    ]
    for position, name in enumerate(broken):
        _heal(draft, name, broken[position + 1 :])


def form_replica(draft: Draft, deployment: schema.ModelDeployment) -> bool:
    """Form one more replica from spares; False if there are too few."""
    free = draft.free_vms()[: deployment.vms_per_replica]
    if len(free) < deployment.vms_per_replica:
        return False
    epoch = draft.allocate_epoch()
    formed = Replica(
        name=f'{deployment.name}-{draft.domain.name}-{epoch}',
        deployment=deployment.name,
        epoch=epoch,
        state=State.FORMING,
        members=tuple(free),
        model=deployment.model,
        version=deployment.version,
        reason='formed',
    )
    draft.domain = draft.domain.with_replica(
        draft_module.with_declared(formed, deployment)
    )
    return True


def dissolve_for_broken(draft: Draft) -> None:
    """Drain one replica to form one with a higher downtime price if it pays."""
    if not draft.policy.heal_from_spares or draft.in_state(State.DRAINING):
        return
    for desired in sorted(draft.view.desired, key=draft_module.price_rank):
        held = draft.of_deployment(
            desired.deployment.name, State.SERVING, State.FORMING
        )
        if len(held) < desired.replicas and _dissolve_for(draft, desired):
            return


def _heal(draft: Draft, name: str, candidate_donors: list[str]) -> None:
    replica = draft.domain.replica(name)
    desired = draft.view.desired_share(replica.deployment) if replica else None
    # If all members run as ordered they only need time to become ready.
    if replica is None or desired is None or draft.runs_as_ordered(replica):
        return
    kept = draft.usable_members(replica)[: desired.deployment.vms_per_replica]
    missing_vms = desired.deployment.vms_per_replica - len(kept)
    found = _find_vms(draft, missing_vms, candidate_donors)
    if len(found) < missing_vms:
        return
    source = ', '.join(found) or 'its own VMs'
    draft.reform(
        replica, (*kept, *found), State.FORMING, f'healed with {source}'
    )


def _find_vms(
    draft: Draft, missing_vms: int, candidate_donors: list[str]
) -> list[str]:
    if not draft.policy.heal_from_spares:
        return []
    found = draft.free_vms()[:missing_vms]
    donations = _choose_donors(
        draft, missing_vms - len(found), candidate_donors
    )
    donated = [vm for donation in donations for vm in donation.vms]
    if len(found) + len(donated) < missing_vms:
        return []
    for donation in donations:
        left = tuple(
            vm for vm in donation.donor.members if vm not in donation.vms
        )
        draft.reform(
            donation.donor, left, State.BROKEN, 'gave VMs to another replica'
        )
    return [*found, *donated]


def _choose_donors(
    draft: Draft, missing_vms: int, candidate_donors: list[str]
) -> list[_DonatedVms]:
    """Choose VMs of broken replicas, those with the lowest priority first."""
    donations: list[_DonatedVms] = []
    for name in reversed(candidate_donors):
        donor = draft.domain.replica(name)
        if donor is None or missing_vms <= 0:
            continue
        vms = tuple(draft.usable_members(donor)[:missing_vms])
        if vms:
            donations.append(_DonatedVms(donor, vms))
            missing_vms -= len(vms)
    return donations


def _dissolve_for(draft: Draft, desired: view_module.DesiredShare) -> bool:
    candidates = [
        replica
        for replica in draft.in_state(State.SERVING)
        if _may_dissolve(draft, replica, desired)
    ]
    if not candidates:
        return False
    draft.set_state(
        min(candidates, key=draft.downtime_price_of),
        State.DRAINING,
        f'dissolved for {desired.deployment.name}',
    )
    return True


def _may_dissolve(
    draft: Draft, replica: Replica, desired: view_module.DesiredShare
) -> bool:
    losing_share = draft.view.desired_share(replica.deployment)
    if (
        losing_share is None
        or losing_share.deployment.name == desired.deployment.name
    ):
        return False
    serving = draft.of_deployment(replica.deployment, State.SERVING)
    if len(serving) <= losing_share.floor_replicas:
        return False
    leftover_vms = (
        len(draft.free_vms())
        + len(draft.usable_members(replica))
        + _max_usable_members(draft, desired.deployment.name)
        - desired.deployment.vms_per_replica
    )
    return leftover_vms >= 0 and dissolving_pays(
        desired.deployment, losing_share.deployment, leftover_vms, draft.policy
    )


def _max_usable_members(draft: Draft, deployment: str) -> int:
    broken = draft.of_deployment(deployment, State.BROKEN)
    return max((len(draft.usable_members(each)) for each in broken), default=0)


def dissolving_pays(
    gaining: schema.ModelDeployment,
    losing: schema.ModelDeployment,
    leftover_vms: int,
    policy: draft_module.PlacementPolicy,
) -> bool:
    """Tell whether dissolving costs less than waiting for the repair.

    Two loads count: that of the replica gained, during which it does not serve
    yet, and that of the dissolved replica once the lost VM has returned.
    """
    losing_price = draft_module.downtime_price(losing)
    stranded_price = (
        leftover_vms
        * losing.accelerators_per_vm
        * losing.prices.stranded_per_accelerator_minute
    )
    gain = draft_module.downtime_price(gaining) - losing_price - stranded_price
    if gain <= policy.dissolve_margin * losing_price:
        return False
    gained_s = policy.repair_time_s - gaining.load_time_s
    return gain * gained_s > losing_price * losing.load_time_s
