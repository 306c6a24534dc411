"""Finds confirmed plans whose carrier died, and carries them on."""

from expression import Error, Ok

from redwingvalve.plans import applying, book, objects, plan
from redwingvalve.plans import world as world_module
from redwingvalve.platform_api import object_api


async def finish_confirmations(
    store: object_api.ObjectApi, plans: book.PlanBook
) -> applying.ApplyResult:
    """Carry on what dead processes left; Ok(True) if anything was done."""
    current = await world_module.read_current(store)
    if current.is_error():
        return Error(current.error)
    if not current.ok.confirmed.applied:
        return await applying.apply_confirmed(store, current.ok)
    listed = await plans.list()
    if listed.is_error():
        return Error(listed.error)
    for marked in listed.ok:
        if not _was_left(marked, current.ok.confirmed):
            continue
        committed = await plans.commit(marked, current.ok)
        if committed.is_error():
            return Error(committed.error)
        return Ok(True)
    return Ok(False)


def _was_left(marked: plan.Plan, confirmed: objects.Confirmed) -> bool:
    return (
        marked.state == plan.PlanState.CONFIRMED
        and marked.name != confirmed.plan
        and marked.basis.generation == confirmed.generation
    )
