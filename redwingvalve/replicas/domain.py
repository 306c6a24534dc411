"""A fabric domain as one object: VMs, replicas, lease and fencing number.

A replica never spans fabric domains. One conditional update can therefore
change everything that must change together, and "no VM in two replicas" can be
checked within one object.
"""

import collections
import enum
from collections import abc as collections_abc

import attrs

from redwingvalve.configuration import snapshot
from redwingvalve.core import invariants
from redwingvalve.declaration import schema
from redwingvalve.platform_api import object_api
from redwingvalve.replicas import codec

KIND = 'fabricdomains'
SCHEMA_VERSION = 1
MAX_EVENTS = 20


class ReplicaState(enum.StrEnum):
    """State of a replica; only SERVING replicas get new requests."""

    FORMING = 'forming'
    SERVING = 'serving'
    DRAINING = 'draining'
    BROKEN = 'broken'


@attrs.frozen
class DomainVm:
    """A VM of the domain; flaps counts how often it was lost and came back."""

    name: str
    address: str
    accelerators: int = 1
    leaving: bool = False
    missing: bool = False
    flaps: int = 0


@attrs.frozen
class DomainReplica:
    """A replica in one epoch; members are VM names, head first.

    Epochs come from a counter of the domain, so each (domain, epoch) always
    identifies one set of members. reason says why the replica is not serving.
    """

    name: str
    deployment: str
    epoch: int
    state: ReplicaState
    members: tuple[str, ...]
    model: str
    version: str
    adapters: tuple[str, ...] = ()
    endpoint_trust: schema.EndpointTrust = (
        schema.EndpointTrust.REFUSES_OLD_ORDERS
    )
    reason: str = ''


@attrs.frozen
class DomainEvent:
    """What changed and why; at_s is in the writer's wall-clock time."""

    at_s: float
    subject: str
    message: str


@attrs.frozen
class Lease:
    """Who may send orders; observers time renewals by their own clocks.

    An empty holder means that the last one has released the lease.
    """

    holder: str = ''
    renewals: int = 0
    term_s: float = 15.0


@attrs.frozen
class FabricDomain:
    """The state of a fabric domain that controllers agree on."""

    name: str
    data_centre: str
    region: str = ''
    schema_version: int = SCHEMA_VERSION
    lease: Lease = attrs.field(factory=Lease)
    fencing_number: int = 0
    next_epoch: int = 1
    writer: str = ''
    write_number: int = 0
    vms: tuple[DomainVm, ...] = ()
    replicas: tuple[DomainReplica, ...] = ()
    events: tuple[DomainEvent, ...] = ()

    def vm(self, name: str) -> DomainVm | None:
        """Return a VM by name."""
        return next((vm for vm in self.vms if vm.name == name), None)

    def replica(self, name: str) -> DomainReplica | None:
        """Return a replica by name."""
        found = (each for each in self.replicas if each.name == name)
        return next(found, None)

    def used_vms(self) -> frozenset[str]:
        """Return the VMs that belong to some replica."""
        return frozenset(
            member for replica in self.replicas for member in replica.members
        )

    def spare_vms(self) -> tuple[DomainVm, ...]:
        """Return the VMs that belong to no replica."""
        used = self.used_vms()
        return tuple(vm for vm in self.vms if vm.name not in used)

    def with_replica(self, changed: DomainReplica) -> 'FabricDomain':
        """Replace the replica of this name, or add it."""
        others = [each for each in self.replicas if each.name != changed.name]
        ordered = sorted((*others, changed), key=lambda each: each.name)
        return attrs.evolve(self, replicas=tuple(ordered))

    def without_replica(self, name: str) -> 'FabricDomain':
        """Drop a replica."""
        kept = tuple(each for each in self.replicas if each.name != name)
        return attrs.evolve(self, replicas=kept)

    def with_event(self, event: DomainEvent) -> 'FabricDomain':
        """Add an event; the oldest ones are dropped."""
        kept = (*self.events, event)[-MAX_EVENTS:]
        return attrs.evolve(self, events=kept)


def require_valid(domain: FabricDomain) -> None:
    """Check the invariants that hold within one domain object."""
    counts = collections.Counter(
        member for replica in domain.replicas for member in replica.members
    )
    shared = sorted(name for name, count in counts.items() if count > 1)
    invariants.require(
        not shared, 'no VM in two replicas', f'{domain.name}: {shared}'
    )
    names = collections.Counter(replica.name for replica in domain.replicas)
    invariants.require(
        all(count == 1 for count in names.values()),
        'replica names are unique',
        f'{domain.name}: {sorted(names)}',
    )
    known = {vm.name for vm in domain.vms}
    for replica in domain.replicas:
        invariants.require(
            set(replica.members) <= known,
            'a replica has VMs of its own fabric domain only',
            f'{domain.name}/{replica.name}: {replica.members}',
        )
        invariants.require(
            replica.epoch < domain.next_epoch,
            'an epoch is used once',
            f'{domain.name}/{replica.name}: {replica.epoch}',
        )


def require_monotonic(before: FabricDomain, after: FabricDomain) -> None:
    """Check that a newer state of a domain does not undo an older one."""
    for field in ('fencing_number', 'next_epoch'):
        invariants.require(
            getattr(after, field) >= getattr(before, field),
            f'{field} never falls',
            f'{after.name}: {getattr(before, field)} to '
            f'{getattr(after, field)} by {after.writer}',
        )
    old_epochs = {each.epoch: each.members for each in before.replicas}
    for replica in after.replicas:
        members = old_epochs.get(replica.epoch, replica.members)
        invariants.require(
            members == replica.members,
            'an epoch names one set of members',
            f'{after.name}/{replica.name}: epoch {replica.epoch}',
        )


def to_body(domain: FabricDomain) -> object_api.Body:
    """Return the body of the object after checking its invariants."""
    require_valid(domain)
    return codec.to_body(domain)


def from_stored(stored: object_api.StoredObject) -> FabricDomain:
    """Return the domain decoded from a stored object."""
    return codec.from_body(stored.body, FabricDomain)


def to_snapshot_replicas(domain: FabricDomain) -> tuple[snapshot.Replica, ...]:
    """Return the replicas in the form that entries use."""
    addresses = {vm.name: vm.address for vm in domain.vms}
    return tuple(
        snapshot.Replica(
            name=replica.name,
            deployment=replica.deployment,
            epoch=replica.epoch,
            fabric_domain=domain.name,
            data_centre=domain.data_centre,
            region=domain.region,
            members=tuple(
                snapshot.ReplicaMember(name, addresses.get(name, ''))
                for name in replica.members
            ),
            serving=replica.state == ReplicaState.SERVING,
            model=replica.model,
            version=replica.version,
        )
        for replica in domain.replicas
    )


def decode_replicas(
    stored: object_api.StoredObject,
) -> tuple[snapshot.Replica, ...]:
    """Return the replicas of a stored domain; for configuration.decoding."""
    return to_snapshot_replicas(from_stored(stored))


def matches_deployment(
    replica: DomainReplica, deployment: schema.ModelDeployment
) -> bool:
    """Tell whether a replica has the weights and the size of a deployment."""
    return (
        replica.model,
        replica.version,
        replica.adapters,
        len(replica.members),
    ) == (
        deployment.model,
        deployment.version,
        deployment.adapters,
        deployment.vms_per_replica,
    )


def count_serving(
    domains: collections_abc.Iterable[FabricDomain], deployment: str
) -> int:
    """Return how many replicas of a deployment are serving."""
    return sum(
        replica.deployment == deployment
        and replica.state == ReplicaState.SERVING
        for domain in domains
        for replica in domain.replicas
    )
