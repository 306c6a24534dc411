"""Begins, ends and calls off moves of replicas between fabric domains.

Load pattern: see replicas.moving. The controller of the domain that gives a
replica up does the work, and one conditional write of the allocation agrees,
so that no leader is needed and two controllers never move the same replica
twice. All domains are listed only to begin a move, since at 150 domains a
list is some megabytes; an open move costs one read of one domain.
"""

import attrs
from expression import Error, Ok, Result

from redwingvalve.plans import making
from redwingvalve.plans import world as world_module
from redwingvalve.platform_api import object_api, vm_list
from redwingvalve.replicas import codec, moving, shares
from redwingvalve.replicas import domain as domain_module

# A whole domain's controllers would list all domains at once without a wait.
SEEK_EVERY_S = 20.0
LOOK_EVERY_S = 3.0


@attrs.frozen
class Step:
    """What was done; without_room names deployments whose change found none."""

    changed: bool = False
    listed: bool = False
    without_room: frozenset[str] = frozenset()


Listed = tuple[
    tuple[domain_module.FabricDomain, ...], tuple[shares.DomainCapacity, ...]
]


class Mover:
    """Takes one step at a time for a domain of which this process is holder."""

    def __init__(
        self, store: object_api.ObjectApi, vms: vm_list.VmList
    ) -> None:
        """Agree through store."""
        self._store = store
        self._vms = vms

    async def step(
        self,
        place: moving.Place,
        deployments: moving.Deployments,
        *,
        may_seek: bool,
    ) -> Step:
        """Make one pass; errors leave all to the next one."""
        agreed = await world_module.read_allocation(self._store)
        if agreed.is_error() or not agreed.ok[1]:
            return Step()
        before, version = agreed.ok
        after = await self._ended(place, deployments, before)
        if after != before:
            return Step(changed=await self._write(after, version))
        if not may_seek:
            return Step()
        listed = await self._list()
        if listed.is_error():
            return Step()
        domains, capacities = listed.ok
        if place.short:
            after = moving.relief_moves(deployments, capacities, before)
        else:
            begun = moving.room_moves(
                place, deployments, capacities, domains, before
            )
            after = shares.with_moves(before, begun)
        return Step(
            changed=after != before and await self._write(after, version),
            listed=True,
            without_room=moving.without_room(
                place, deployments, capacities, after
            ),
        )

    async def _ended(
        self,
        place: moving.Place,
        deployments: moving.Deployments,
        before: shares.Allocation,
    ) -> shares.Allocation:
        after = shares.without_moves(
            before, moving.called_off(place, before, deployments)
        )
        for move in after.moves:
            if move.from_domain == place.domain.name and await self._arrived(
                move, after
            ):
                after = shares.after_moves(after, (move,))
        return after

    async def _arrived(
        self, move: shares.Move, agreed: shares.Allocation
    ) -> bool:
        found = await self._store.get(domain_module.KIND, move.to_domain)
        return found.is_ok() and moving.holds_share(
            domain_module.from_stored(found.ok), agreed, move.deployment
        )

    async def _list(self) -> Result[Listed, object_api.ObjectError]:
        stored = await self._store.list(domain_module.KIND)
        if stored.is_error():
            return Error(stored.error)
        vms = await self._vms.read()
        if vms.is_error():
            return Error(vms.error)
        domains = tuple(map(domain_module.from_stored, stored.ok.objects))
        world = making.World(domains=domains, vms=vms.ok)
        return Ok((domains, making.capacities_of(world)))

    async def _write(self, after: shares.Allocation, version: str) -> bool:
        # After a lost answer or a conflict the next pass reads what stands.
        written = await self._store.update(
            object_api.StoredObject(
                shares.KIND, shares.NAME, version, codec.to_body(after)
            )
        )
        return written.is_ok()


def make_mover(store: object_api.ObjectApi, vms: vm_list.VmList) -> Mover:
    """Return a mover of one process."""
    return Mover(store, vms)
