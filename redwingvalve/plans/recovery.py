"""Resumes confirmed plans whose process died before they were applied."""

from expression import Error, Ok

from redwingvalve.plans import applier, fleet_state, manager, objects, plan
from redwingvalve.platform_api import object_api

MAX_PLANS = 50


async def resume_confirmations(
    store: object_api.ObjectApi,
    plans: manager.PlanManager,
    *,
    include_uncommitted: bool = True,
) -> applier.ApplyResult:
    """Resume unfinished confirmations; Ok(True) if there was one.

    Without include_uncommitted only the current plan is checked. That takes
    one small read, while the list of plans may have a megabyte.
    """
    current = await fleet_state.read_current(store)
    if current.is_error():
        return Error(current.error)
    if not current.ok.confirmed.applied:
        return await applier.apply_confirmed(store, current.ok)
    if not include_uncommitted:
        return Ok(False)
    listed = await plans.list()
    if listed.is_error():
        return Error(listed.error)
    await _delete_old_plans(store, listed.ok, current.ok.confirmed)
    for uncommitted in listed.ok:
        if not _is_uncommitted(uncommitted, current.ok.confirmed):
            continue
        committed = await plans.commit(uncommitted, current.ok)
        if committed.is_error():
            return Error(committed.error)
        return Ok(True)
    return Ok(False)


async def _delete_old_plans(
    store: object_api.ObjectApi,
    plans_kept: tuple[plan.Plan, ...],
    confirmed: objects.Confirmation,
) -> None:
    """Delete the oldest plans above MAX_PLANS, but not the current one.

    At 1,400 plans a day, a list of all plans would soon have many megabytes.
    """
    deletable = [
        each
        for each in sorted(plans_kept, key=lambda made: made.proposed_at_s)
        if each.name != confirmed.plan and not _is_uncommitted(each, confirmed)
    ]
    for old in deletable[: max(len(plans_kept) - MAX_PLANS, 0)]:
        found = await store.get(objects.PLANS, old.name)
        if found.is_ok():
            await store.delete(objects.PLANS, old.name, found.ok.version)


def _is_uncommitted(
    uncommitted: plan.Plan, confirmed: objects.Confirmation
) -> bool:
    return (
        uncommitted.state == plan.PlanState.CONFIRMED
        and uncommitted.name != confirmed.plan
        and uncommitted.basis.generation == confirmed.generation
    )
