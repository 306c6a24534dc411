"""Reads the fleet state that plans are made from and checked against."""

import attrs
from expression import Error, Ok, Result

from redwingvalve.plans import objects, plan, planner
from redwingvalve.platform_api import object_api, vm_list
from redwingvalve.replicas import codec, shares
from redwingvalve.replicas import domain as domain_module


@attrs.frozen
class CurrentConfirmation:
    """The current confirmation; version is empty before the first one."""

    confirmed: objects.Confirmation
    version: str = ''


async def read_current(
    store: object_api.ObjectApi,
) -> Result[CurrentConfirmation, plan.StoreError]:
    """Read the current confirmation."""
    answer = await store.get(objects.DECLARATIONS, objects.CURRENT)
    if answer.is_ok():
        confirmed = codec.from_body(answer.ok.body, objects.Confirmation)
        return Ok(CurrentConfirmation(confirmed, answer.ok.version))
    if isinstance(answer.error, object_api.NotFound):
        return Ok(CurrentConfirmation(objects.Confirmation()))
    return Error(to_plan_error(answer.error))


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
    return Error(to_plan_error(answer.error))


async def read_allocation(
    store: object_api.ObjectApi,
) -> Result[tuple[shares.Allocation, str], plan.StoreError]:
    """Read the allocation in force; version is empty if there is none."""
    answer = await store.get(shares.KIND, shares.NAME)
    if answer.is_ok():
        found = codec.from_body(answer.ok.body, shares.Allocation)
        return Ok((found, answer.ok.version))
    if isinstance(answer.error, object_api.NotFound):
        return Ok((shares.Allocation(), ''))
    return Error(to_plan_error(answer.error))


async def read_fleet_state(
    store: object_api.ObjectApi, vms: vm_list.VmList
) -> Result[tuple[planner.FleetState, CurrentConfirmation], plan.PlanError]:
    """Read everything that a plan depends on, and the confirmation."""
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
        return Error(to_plan_error(domains.error))
    listed = await vms.read()
    if listed.is_error():
        return Error(to_plan_error(listed.error))
    state = planner.FleetState(
        generation=current.ok.confirmed.generation,
        declaration=declared,
        allocation=agreed.ok[0],
        domains=tuple(map(domain_module.from_stored, domains.ok.objects)),
        vms=listed.ok,
    )
    return Ok((state, current.ok))


def to_plan_error(problem: object_api.ObjectError) -> plan.StoreError:
    """Convert an error of the store to a plan error."""
    if isinstance(problem, object_api.Unavailable):
        return plan.StoreError(problem.message, problem.maybe_applied)
    return plan.StoreError(str(problem))
