"""Drains requested by operators, kept as objects in the store.

Controllers see a drained VM as leaving, so a drain is handled like a VM that
the platform removes: entries stop sending, work in progress is finished, then
the replica is moved. Draining a replica drains all of its VMs. A drain stays
in force after the process that accepted it has ended.
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
# Drains are rare (a few a day) but should take effect within seconds.
READ_INTERVAL_S = 1.0


@attrs.frozen
class Drain:
    """A drain; vms are the drained VMs, empty for an entry.

    names are the declared names that the drain affects. They determine who may
    undo it after its target has gone.
    """

    kind: str
    name: str
    by: str
    at_s: float
    vms: tuple[str, ...] = ()
    names: tuple[str, ...] = ()


@attrs.frozen
class Target:
    """What a drain affects: declared names, for scopes, and VMs."""

    names: tuple[str, ...] = ()
    vms: tuple[str, ...] = ()


def find_target(
    kind: str,
    name: str,
    domains: collections_abc.Iterable[domain_module.FabricDomain],
) -> Target | None:
    """Return the target of a VM's or replica's drain, or None."""
    for domain in domains:
        found = _find_in_domain(kind, name, domain)
        if found is not None:
            return found
    return None


def _find_in_domain(
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
    """Decode the drain of a stored object."""
    return cattrs.structure(stored.body, Drain)


class DrainReader:
    """Reads the drains in force from the store, once for a whole process.

    While the store is unavailable, the last known drains stay in force.
    Otherwise a VM that an operator is about to open would get new work.
    """

    def __init__(self, store: object_api.ObjectApi) -> None:
        """Start without drains; the first read gets them."""
        self._store = store
        self._drains: tuple[Drain, ...] | None = None

    async def follow(self, time_source: clock.Clock) -> None:
        """Read the drains periodically until cancelled."""
        while True:
            await self.read()
            await time_source.sleep(READ_INTERVAL_S)

    async def read(self) -> None:
        """Read all drains once."""
        listed = await self._store.list(KIND)
        if listed.is_ok():
            self._drains = tuple(map(read_drain, listed.ok.objects))

    async def ensure_read(self) -> None:
        """Read the drains unless a previous read succeeded."""
        if self._drains is None:
            await self.read()

    @property
    def vms(self) -> frozenset[str]:
        """Return the drained VMs."""
        return frozenset(vm for drain in self._drains or () for vm in drain.vms)

    @property
    def entries(self) -> dict[str, str] | None:
        """Return the operator of each drained entry; None before a read."""
        if self._drains is None:
            return None
        return {
            drain.name: drain.by
            for drain in self._drains
            if drain.kind == ENTRY
        }


class DrainedVmList(vm_list.VmList):
    """The platform's list, with drained VMs shown as leaving."""

    def __init__(self, platform: vm_list.VmList, reader: DrainReader) -> None:
        """Combine the list of platform with the drains of reader."""
        self._platform = platform
        self._reader = reader

    async def read(
        self,
    ) -> Result[tuple[vm_list.Vm, ...], object_api.Unavailable]:
        """Return all VMs, drained ones as leaving."""
        await self._reader.ensure_read()
        listed = await self._platform.read()
        return listed.map(
            lambda vms: tuple(self._apply_drain(vm) for vm in vms)
        )

    def _apply_drain(self, vm: vm_list.Vm) -> vm_list.Vm:
        if vm.name not in self._reader.vms:
            return vm
        return attrs.evolve(vm, state=vm_list.VmState.LEAVING)


def make_drained_vm_list(
    platform: vm_list.VmList, reader: DrainReader
) -> DrainedVmList:
    """Return the VM list for controllers."""
    return DrainedVmList(platform, reader)


def make_drain_reader(store: object_api.ObjectApi) -> DrainReader:
    """Return the reader of one process; run its follow()."""
    return DrainReader(store)
