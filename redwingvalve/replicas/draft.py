"""The working copy of a domain that one pass of placement changes."""

import attrs

from redwingvalve.core import invariants
from redwingvalve.declaration import schema
from redwingvalve.replicas import domain as domain_module
from redwingvalve.replicas import view as view_module

State = domain_module.ReplicaState
Replica = domain_module.DomainReplica
States = frozenset[State]


@attrs.frozen
class PlacementPolicy:
    """Parameters of placement in addition to the prices.

    A replaced VM returns after repair_time_s, as measured by the operator;
    platforms restart a VM within minutes. A serving replica is dissolved only
    if the gain exceeds dissolve_margin times its own price, so that deployments
    with equal or nearly equal prices never swap VMs. Without heal_from_spares a
    replica waits for its own VMs; this is for baselines only.
    """

    repair_time_s: float = 600.0
    dissolve_margin: float = 0.25
    heal_from_spares: bool = True


class Draft:
    """Working copy of a domain; domain includes the changes made so far."""

    def __init__(
        self,
        view: view_module.DomainView,
        switches: invariants.SafeguardSwitches,
        policy: PlacementPolicy,
    ) -> None:
        """Start from the current domain."""
        self.domain = view.domain
        self.view = view
        self.switches = switches
        self.policy = policy

    def in_state(self, *states: State) -> list[Replica]:
        """Return the replicas in any of the states."""
        return [each for each in self.domain.replicas if each.state in states]

    def of_deployment(self, deployment: str, *states: State) -> list[Replica]:
        """Return the replicas of a deployment in any of the states."""
        return [
            each
            for each in self.in_state(*states)
            if each.deployment == deployment
        ]

    def vm(self, name: str) -> view_module.VmView:
        """Return the observed state of a VM."""
        return self.view.vm(name)

    def free_vms(self) -> list[str]:
        """Return the usable spares."""
        return [
            vm.name
            for vm in self.domain.spare_vms()
            if self.vm(vm.name).usable()
        ]

    def usable_members(self, replica: Replica) -> list[str]:
        """Return the members that can be part of a new epoch."""
        return [name for name in replica.members if self.vm(name).usable()]

    def lost_members(self, replica: Replica) -> list[str]:
        """Return the members that are not reachable."""
        return [name for name in replica.members if not self.vm(name).reachable]

    def runs_as_ordered(self, replica: Replica) -> bool:
        """Tell whether every member runs as ordered, ready or not."""
        return bool(replica.members) and all(
            view_module.runs_as_ordered(self.vm(name).state, replica, name)
            for name in replica.members
        )

    def has_leaving(self, replica: Replica) -> bool:
        """Tell whether any member is leaving according to the VM list."""
        return any(self.vm(name).leaving for name in replica.members)

    def outdated(self, replica: Replica) -> bool:
        """Tell whether the replica has to be replaced."""
        desired = self.view.desired_share(replica.deployment)
        if desired is None or self.has_leaving(replica):
            return True
        return not domain_module.matches_deployment(replica, desired.deployment)

    def drain_rank(self, replica: Replica) -> tuple[bool, bool, int]:
        """Return the sort key for draining: leaving, outdated, newest first."""
        return (
            not self.has_leaving(replica),
            not self.outdated(replica),
            -replica.epoch,
        )

    def downtime_price_of(self, replica: Replica) -> float:
        """Return the price per minute without the replica."""
        desired = self.view.desired_share(replica.deployment)
        return downtime_price(desired.deployment) if desired else 0.0

    def set_state(self, replica: Replica, state: State, reason: str) -> None:
        """Change the state within the epoch."""
        self.domain = self.domain.with_replica(
            attrs.evolve(replica, state=state, reason=reason)
        )

    def drop(self, replica: Replica) -> None:
        """Drop a replica; its VMs become spares."""
        self.domain = self.domain.without_replica(replica.name)

    def reform(
        self,
        replica: Replica,
        members: tuple[str, ...],
        state: State,
        reason: str,
    ) -> None:
        """Form the replica again from other members in a new epoch.

        Its model, version and adapters are updated to the declared ones.
        """
        desired = self.view.desired_share(replica.deployment)
        changed = attrs.evolve(
            replica,
            epoch=self.allocate_epoch(),
            state=state,
            members=members,
            reason=reason,
        )
        if desired is not None:
            changed = with_declared(changed, desired.deployment)
        self.domain = self.domain.with_replica(changed)

    def allocate_epoch(self) -> int:
        """Return an epoch that was never used in this domain."""
        epoch = self.domain.next_epoch
        self.domain = attrs.evolve(self.domain, next_epoch=epoch + 1)
        return epoch


def with_declared(
    replica: Replica, deployment: schema.ModelDeployment
) -> Replica:
    """Return the replica with the declared model, version and adapters."""
    return attrs.evolve(
        replica,
        model=deployment.model,
        version=deployment.version,
        adapters=deployment.adapters,
        endpoint_trust=deployment.endpoint_trust,
    )


def price_rank(desired: view_module.DesiredShare) -> tuple[float, str]:
    """Return the sort key by downtime price, the highest first."""
    return (-downtime_price(desired.deployment), desired.deployment.name)


def downtime_price(deployment: schema.ModelDeployment) -> float:
    """Return the price per minute without one replica."""
    return deployment.prices.downtime_per_replica_minute
