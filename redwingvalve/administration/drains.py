"""Drains that operators ask for, kept as objects in the store.

A drained VM is shown to the controllers as leaving, so a drain takes the same
path as a VM that the platform takes away: entries stop sending, work in
progress finishes, then the replica is moved. A drained replica is all of its
VMs. A drain outlives the process that took the order.
"""

from collections import abc as collections_abc

import attrs
import cattrs
from expression import Error, Ok, Result

from redwingvalve.platform_api import object_api, vm_list
from redwingvalve.replicas import domain as domain_module

KIND = 'drains'
VM = 'vm'
REPLICA = 'replica'
ENTRY = 'entry'
KINDS = (VM, REPLICA, ENTRY)


@attrs.frozen
class Drain:
    """One drain; vms are those that leave, none for an entry."""

    kind: str
    name: str
    by: str
    at_s: float
    vms: tuple[str, ...] = ()


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


async def read_drains(
    store: object_api.ObjectApi,
) -> Result[tuple[Drain, ...], object_api.ObjectError]:
    """Return all drains in force."""
    listed = await store.list(KIND)
    if listed.is_error():
        return Error(listed.error)
    return Ok(
        tuple(
            cattrs.structure(stored.body, Drain) for stored in listed.ok.objects
        )
    )


def drained_vms(found: collections_abc.Iterable[Drain]) -> frozenset[str]:
    """Return the VMs that drains take out."""
    return frozenset(vm for drain in found for vm in drain.vms)


class DrainedVmList(vm_list.VmList):
    """The platform's list, with drained VMs shown as leaving.

    While the store is away the last known drains hold: forgetting one would
    put new work on a VM that an operator is about to open.
    """

    def __init__(
        self, platform: vm_list.VmList, store: object_api.ObjectApi
    ) -> None:
        """Join platform's list with the drains in store."""
        self._platform = platform
        self._store = store
        self._drained: frozenset[str] = frozenset()

    async def read(
        self,
    ) -> Result[tuple[vm_list.Vm, ...], object_api.Unavailable]:
        """Return all VMs, drained ones as leaving."""
        found = await read_drains(self._store)
        if found.is_ok():
            self._drained = drained_vms(found.ok)
        listed = await self._platform.read()
        return listed.map(lambda vms: tuple(self._with_drain(vm) for vm in vms))

    def _with_drain(self, vm: vm_list.Vm) -> vm_list.Vm:
        if vm.name not in self._drained:
            return vm
        return attrs.evolve(vm, state=vm_list.VmState.LEAVING)


def make_drained_vm_list(
    platform: vm_list.VmList, store: object_api.ObjectApi
) -> DrainedVmList:
    """Return the list that controllers work from."""
    return DrainedVmList(platform, store)
