"""What a controller sees of a domain at one time; input of placement."""

import attrs

from redwingvalve.declaration import schema
from redwingvalve.platform_api import engine_orders
from redwingvalve.replicas import domain as domain_module


@attrs.frozen
class VmView:
    """One VM as it looks now.

    there is false once it went unseen for too long; kept_out while it has
    come back too often of late. failing says that the last probe got no
    answer: the VM is not missing yet, but a replica formed with it now would
    often lose it again, and with it the state that could be adopted.
    state is the last one that it reported.
    """

    name: str
    reachable: bool
    leaving: bool = False
    quarantined: bool = False
    failing: bool = False
    state: engine_orders.EngineState | None = None

    def usable(self) -> bool:
        """Tell whether a replica may be formed with this VM."""
        held_back = self.leaving or self.quarantined or self.failing
        return self.reachable and not held_back and self.state is not None


@attrs.frozen
class DesiredShare:
    """The share of this domain in one deployment.

    in_place lets a change drain replicas above the floor where no VMs are
    free for the new one first.
    """

    deployment: schema.ModelDeployment
    replicas: int
    floor_replicas: int = 0
    in_place: bool = True


@attrs.frozen
class DomainView:
    """A domain, its VMs and what it should hold.

    drained names the DRAINING replicas of which all entries have stopped
    sending and no work is in flight.
    """

    domain: domain_module.FabricDomain
    vms: dict[str, VmView]
    desired: tuple[DesiredShare, ...]
    drained: frozenset[str] = frozenset()

    def vm(self, name: str) -> VmView:
        """Return a VM; one that nobody saw yet is not there."""
        found = self.vms.get(name)
        return VmView(name, reachable=False) if found is None else found

    def desired_share(self, deployment: str) -> DesiredShare | None:
        """Return the share in a deployment, if there is one."""
        found = (
            each for each in self.desired if each.deployment.name == deployment
        )
        return next(found, None)


def role_of(replica: domain_module.DomainReplica, vm: str) -> str:
    """Return the role of a member; members[0] is the head."""
    return 'head' if replica.members[0] == vm else 'worker'


def runs_as_ordered(
    state: engine_orders.EngineState | None,
    replica: domain_module.DomainReplica,
    vm: str,
) -> bool:
    """Tell whether an engine is at the state that the replica wants of it."""
    if state is None:
        return False
    desired = (
        replica.name,
        replica.epoch,
        replica.model,
        replica.version,
        role_of(replica, vm),
        replica.members,
        replica.adapters,
    )
    return desired == (
        state.replica,
        state.epoch,
        state.model,
        state.version,
        state.role,
        tuple(state.members),
        tuple(state.adapters),
    )


def all_members_ready(
    view: DomainView, replica: domain_module.DomainReplica
) -> bool:
    """Tell whether every member is there, ready and as ordered."""
    return all(
        view.vm(name).reachable
        and _ready(view.vm(name).state)
        and runs_as_ordered(view.vm(name).state, replica, name)
        for name in replica.members
    )


def _ready(state: engine_orders.EngineState | None) -> bool:
    return state is not None and state.ready
