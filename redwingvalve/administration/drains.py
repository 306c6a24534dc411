"""Drains that operators ask for, kept as objects in the store.

A drained VM is shown to the controllers as leaving, so a drain takes the same
path as a VM that the platform takes away: entries stop sending, work in
progress finishes, then the replica is moved. A drained replica is all of its
VMs. A drain outlives the process that took the order.
"""

from collections import abc as collections_abc

import attrs
import cattrs
from expression import Result

from redwingvalve.core import clock
from redwingvalve.platform_api import object_api, vm_list
from redwingvalve.replicas import domain as domain_module

KIND = 'drains'
VM = 'vm'
REPLICA = 'replica'
ENTRY = 'entry'
KINDS = (VM, REPLICA, ENTRY)
# A few drains a day; an operator sees one take effect within seconds.
READ_EVERY_S = 1.0


@attrs.frozen
class Drain:
    """One drain; vms are those that leave, none for an entry.

    names are the declared names that it touches. They tell who may take it
    back when its target has gone.
    """

    kind: str
    name: str
    by: str
    at_s: float
    vms: tuple[str, ...] = ()
    names: tuple[str, ...] = ()


@attrs.frozen
class Target:
    """What a drain touches: declared names for scopes, and VMs."""

    names: tuple[str, ...] = ()
    vms: tuple[str, ...] = ()


def find_target(
    kind: str,
    name: str,
    domains: collections_abc.Iterable[domain_module.FabricDomain],
) -> Target | None:
    """Return the target of a VM's or replica's drain, or None."""
    for domain in domains:
        found = _in_domain(kind, name, domain)
        if found is not None:
            return found
    return None


def _in_domain(
    kind: str, name: str, domain: domain_module.FabricDomain
) -> Target | None:
    for replica in domain.replicas:
        if kind == REPLICA and replica.name == name:
            return Target((replica.deployment,), replica.members)
        if kind == VM and name in replica.members:
            return Target((replica.deployment,), (name,))
    if kind == VM and domain.vm(name) is not None:
        return Target((), (name,))
    return None


def object_name(kind: str, name: str) -> str:
    """Return the name of a drain's object."""
    return f'{kind}-{name}'


def read_drain(stored: object_api.StoredObject) -> Drain:
    """Return the drain of an object."""
    return cattrs.structure(stored.body, Drain)


class DrainReader:
    """The drains in force, read from the store for a whole process.

    While the store is away the last known drains hold: forgetting one would
    put new work on a VM that an operator is about to open.
    """

    def __init__(self, store: object_api.ObjectApi) -> None:
        """Know of none until the first read."""
        self._store = store
        self._known: tuple[Drain, ...] | None = None

    async def follow(self, time_source: clock.Clock) -> None:
        """Read again and again, until cancelled."""
        while True:
            await self.read()
            await time_source.sleep(READ_EVERY_S)

    async def read(self) -> None:
        """Read all drains once."""
        listed = await self._store.list(KIND)
        if listed.is_ok():
            self._known = tuple(map(read_drain, listed.ok.objects))

    async def read_first(self) -> None:
        """Read if no read has come through yet."""
        if self._known is None:
            await self.read()

    @property
    def vms(self) -> frozenset[str]:
        """Return the VMs that drains take out."""
        return frozenset(vm for drain in self._known or () for vm in drain.vms)

    @property
    def entries(self) -> dict[str, str] | None:
        """Return the drained entries and who drains each, None if unread."""
        if self._known is None:
            return None
        return {
            drain.name: drain.by for drain in self._known if drain.kind == ENTRY
        }


class DrainedVmList(vm_list.VmList):
    """The platform's list, with drained VMs shown as leaving."""

    def __init__(self, platform: vm_list.VmList, reader: DrainReader) -> None:
        """Join platform's list with the drains that reader knows."""
        self._platform = platform
        self._reader = reader

    async def read(
        self,
    ) -> Result[tuple[vm_list.Vm, ...], object_api.Unavailable]:
        """Return all VMs, drained ones as leaving."""
        await self._reader.read_first()
        listed = await self._platform.read()
        return listed.map(lambda vms: tuple(self._with_drain(vm) for vm in vms))

    def _with_drain(self, vm: vm_list.Vm) -> vm_list.Vm:
        if vm.name not in self._reader.vms:
            return vm
        return attrs.evolve(vm, state=vm_list.VmState.LEAVING)


def make_drained_vm_list(
    platform: vm_list.VmList, reader: DrainReader
) -> DrainedVmList:
    """Return the list that controllers work from."""
    return DrainedVmList(platform, reader)


def make_drain_reader(store: object_api.ObjectApi) -> DrainReader:
    """Return the reader of one process; run its follow()."""
    return DrainReader(store)
