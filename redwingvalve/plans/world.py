"""Reads the world that plans are made from and checked against."""

import attrs
from expression import Error, Ok, Result

from redwingvalve.plans import making, objects, plan
from redwingvalve.platform_api import object_api, vm_list
from redwingvalve.replicas import codec, shares
from redwingvalve.replicas import domain as domain_module


@attrs.frozen
class Current:
    """The confirmation in force; version is empty before the first one."""

    confirmed: objects.Confirmed
    version: str = ''


async def read_current(
    store: object_api.ObjectApi,
) -> Result[Current, plan.StoreTrouble]:
    """Read which plan is in force."""
    answer = await store.get(objects.DECLARATIONS, objects.CURRENT)
    if answer.is_ok():
        confirmed = codec.from_body(answer.ok.body, objects.Confirmed)
        return Ok(Current(confirmed, answer.ok.version))
    if isinstance(answer.error, object_api.NotFound):
        return Ok(Current(objects.Confirmed()))
    return Error(trouble(answer.error))


async def read_plan(
    store: object_api.ObjectApi, name: str
) -> Result[tuple[plan.Plan, str], plan.PlanError]:
    """Read a plan and its version."""
    answer = await store.get(objects.PLANS, name)
    if answer.is_ok():
        found = codec.from_body(answer.ok.body, plan.Plan)
        return Ok((found, answer.ok.version))
    if isinstance(answer.error, object_api.NotFound):
        return Error(plan.PlanNotFound(name))
    return Error(trouble(answer.error))


async def read_allocation(
    store: object_api.ObjectApi,
) -> Result[tuple[shares.Allocation, str], plan.StoreTrouble]:
    """Read the agreed allocation; version is empty when there is none."""
    answer = await store.get(shares.KIND, shares.NAME)
    if answer.is_ok():
        found = codec.from_body(answer.ok.body, shares.Allocation)
        return Ok((found, answer.ok.version))
    if isinstance(answer.error, object_api.NotFound):
        return Ok((shares.Allocation(), ''))
    return Error(trouble(answer.error))


async def read_world(
    store: object_api.ObjectApi, vms: vm_list.VmList
) -> Result[tuple[making.World, Current], plan.PlanError]:
    """Read everything that a plan depends on."""
    current = await read_current(store)
    if current.is_error():
        return Error(current.error)
    declared = None
    if current.ok.confirmed.plan:
        in_force = await read_plan(store, current.ok.confirmed.plan)
        if in_force.is_error():
            return Error(in_force.error)
        declared = in_force.ok[0].declaration
    agreed = await read_allocation(store)
    if agreed.is_error():
        return Error(agreed.error)
    domains = await store.list(domain_module.KIND)
    if domains.is_error():
        return Error(trouble(domains.error))
    listed = await vms.read()
    if listed.is_error():
        return Error(trouble(listed.error))
    world = making.World(
        generation=current.ok.confirmed.generation,
        declaration=declared,
        allocation=agreed.ok[0],
        domains=tuple(map(domain_module.from_stored, domains.ok.objects)),
        vms=listed.ok,
    )
    return Ok((world, current.ok))


def trouble(problem: object_api.ObjectError) -> plan.StoreTrouble:
    """Return a store's error in the words of a plan."""
    if isinstance(problem, object_api.Unavailable):
        return plan.StoreTrouble(problem.message, problem.maybe_applied)
    return plan.StoreTrouble(str(problem))
