"""The observed state of a domain at one time; the input of placement."""

import attrs

from redwingvalve.declaration import schema
from redwingvalve.platform_api import engine_orders
from redwingvalve.replicas import domain as domain_module


@attrs.frozen
class VmView:
    """The observed state of one VM.

    reachable is false once it has failed its probes for too long. quarantined
    is true while it is not used because it flaps. failing says that the last
    probe got no answer: the VM is not missing yet, but a replica formed with it
    now would often lose it again, and with it the engine state that could have
    been adopted. state is the last one that the engine reported.
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
    """The replicas of one deployment that this domain should hold.

    in_place allows a change to drain replicas above the floor when no VMs are
    free to form the replacement first.
    """

    deployment: schema.ModelDeployment
    replicas: int
    floor_replicas: int = 0
    in_place: bool = True


@attrs.frozen
class DomainView:
    """A domain, its VMs and the replicas that it should hold.

    drained names the DRAINING replicas to which all entries have stopped
    sending and which have no requests in flight.
    """

    domain: domain_module.FabricDomain
    vms: dict[str, VmView]
    desired: tuple[DesiredShare, ...]
    drained: frozenset[str] = frozenset()

    def vm(self, name: str) -> VmView:
        """Return a VM; one that was never observed is not reachable."""
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
    """Tell whether an engine runs what the replica specifies for the VM."""
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
    """Tell whether every member is reachable, ready and runs as ordered."""
    return all(
        view.vm(name).reachable
        and _ready(view.vm(name).state)
        and runs_as_ordered(view.vm(name).state, replica, name)
        for name in replica.members
    )


def _ready(state: engine_orders.EngineState | None) -> bool:
    return state is not None and state.ready
