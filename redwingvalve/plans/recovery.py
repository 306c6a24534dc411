"""Finds confirmed plans whose carrier died, and carries them on."""

from expression import Error, Ok

from redwingvalve.plans import applier, fleet_state, manager, objects, plan
from redwingvalve.platform_api import object_api

KEPT_PLANS = 50


async def resume_confirmations(
    store: object_api.ObjectApi,
    plans: manager.PlanManager,
    *,
    include_uncommitted: bool = True,
) -> applier.ApplyResult:
    """Carry on what dead processes left; Ok(True) if anything was done.

    Without with_marked only the plan in force is looked at: one small read,
    where the list of plans may be a megabyte.
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
    await _drop_oldest(store, listed.ok, current.ok.confirmed)
    for marked in listed.ok:
        if not _was_left(marked, current.ok.confirmed):
            continue
        committed = await plans.commit(marked, current.ok)
        if committed.is_error():
            return Error(committed.error)
        return Ok(True)
    return Ok(False)


async def _drop_oldest(
    store: object_api.ObjectApi,
    kept: tuple[plan.Plan, ...],
    confirmed: objects.Confirmation,
) -> None:
    """Delete plans beyond the newest ones; the one in force stays.

    At 1,400 plans a day a list of them all would soon be many megabytes.
    """
    ended = [
        each
        for each in sorted(kept, key=lambda made: made.proposed_at_s)
        if each.name != confirmed.plan and not _was_left(each, confirmed)
    ]
    for old in ended[: max(len(kept) - KEPT_PLANS, 0)]:
        found = await store.get(objects.PLANS, old.name)
        if found.is_ok():
            await store.delete(objects.PLANS, old.name, found.ok.version)


def _was_left(marked: plan.Plan, confirmed: objects.Confirmation) -> bool:
    return (
        marked.state == plan.PlanState.CONFIRMED
        and marked.name != confirmed.plan
        and marked.basis.generation == confirmed.generation
    )
