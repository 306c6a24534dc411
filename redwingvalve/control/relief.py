"""Moves shares out of a domain that cannot hold them.

Load pattern: a domain goes dark or loses a rack, once or twice in months.
Its replicas then have to be formed where VMs are free, and no two controllers
may form the same one. The controller of the short domain proposes, and one
conditional write of the allocation agrees. The domains are listed only then,
since at 150 domains a list is some megabytes.
"""

from redwingvalve.plans import making
from redwingvalve.plans import world as world_module
from redwingvalve.platform_api import object_api, vm_list
from redwingvalve.replicas import codec, shares

# Long enough to see a blip end, short against the load of a replica.
SHORT_FOR_S = 5.0
TRY_EVERY_S = 30.0


async def relieve(
    store: object_api.ObjectApi, vms: vm_list.VmList
) -> tuple[shares.Share, ...]:
    """Move what has no place; return the shares that changed."""
    read = await world_module.read_world(store, vms)
    agreed = await world_module.read_allocation(store)
    if read.is_error() or agreed.is_error():
        return ()
    world, _ = read.ok
    before, version = agreed.ok
    if world.declaration is None or not version:
        return ()
    after = shares.reallocate(
        world.declaration.deployments, making.capacities_of(world), before
    )
    moved = tuple(set(after.shares) - set(before.shares))
    if not moved:
        return ()
    written = await store.update(
        object_api.StoredObject(
            shares.KIND, shares.NAME, version, codec.to_body(after)
        )
    )
    # After a lost answer or a conflict the next try reads what stands.
    return moved if written.is_ok() else ()
