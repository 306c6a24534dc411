"""Carries a confirmed plan out, from whatever step its last carrier reached.

Load pattern: about 1,400 confirmations a day; a process can die or pause at
any step, and several controllers carry out the same plan at once. Each write
is conditional and the same whoever makes it, and none replaces a newer
generation, so that the steps may be repeated and overlap. An object that
already holds the wanted content is left as it is, which keeps the writes few;
that is safe because no plan is confirmed before the last one was applied.
"""

import typing

import attrs
from expression import Error, Ok, Result

from redwingvalve.plans import fleet_state, objects, plan, verified_writes
from redwingvalve.platform_api import object_api
from redwingvalve.replicas import codec, shares

ApplyResult = Result[bool, plan.PlanError]


async def apply_confirmed(
    store: object_api.ObjectApi, current: fleet_state.CurrentConfirmation
) -> ApplyResult:
    """Write the declared objects and the allocation of the plan in force."""
    found = await fleet_state.read_plan(store, current.confirmed.plan)
    if found.is_error():
        return Error(found.error)
    confirmed_plan = found.ok[0]
    generation = current.confirmed.generation
    for step in (_apply_objects, _apply_allocation):
        applied = await step(store, confirmed_plan, generation)
        if applied.is_error():
            return Error(fleet_state.to_plan_error(applied.error))
    body = codec.to_body(attrs.evolve(current.confirmed, applied=True))
    marked = await verified_writes.update(
        store,
        object_api.StoredObject(
            objects.DECLARATIONS, objects.CURRENT, current.version, body
        ),
    )
    if marked.is_error() and not isinstance(marked.error, object_api.Conflict):
        return Error(fleet_state.to_plan_error(marked.error))
    return Ok(True)


async def _apply_objects(
    store: object_api.ObjectApi, confirmed: plan.Plan, generation: int
) -> Result[None, object_api.ObjectError]:
    wanted = objects.declared_objects(confirmed.declaration)
    for kind in (
        objects.DEPLOYMENTS,
        objects.SERVICES,
        objects.CLIENT_ACCOUNTS,
    ):
        listed = await store.list(kind)
        if listed.is_error():
            return Error(listed.error)
        existing = {each.name: each for each in listed.ok.objects}
        names = {name for of_kind, name in wanted if of_kind == kind}
        for name in sorted({*existing, *names}):
            written = await _put(
                store,
                (kind, name),
                existing.get(name),
                generation,
                wanted.get((kind, name)),
            )
            if written.is_error():
                return written
    return Ok(None)


async def _put(
    store: object_api.ObjectApi,
    place: tuple[str, str],
    stored: object_api.StoredObject | None,
    generation: int,
    content: typing.Any,
) -> Result[None, object_api.ObjectError]:
    body = objects.declared_body(generation, content)
    if stored is None:
        answer = await verified_writes.create(store, *place, body)
        return _settled_or_newer(answer)
    held = codec.from_body(stored.body, objects.Declared)
    if held.generation >= generation or held.content == body['content']:
        return Ok(None)
    return _settled_or_newer(
        await verified_writes.update(store, attrs.evolve(stored, body=body))
    )


def _settled_or_newer(
    answer: verified_writes.StoredResult,
) -> Result[None, object_api.ObjectError]:
    # A conflict means that another carrier wrote: the next pass looks again,
    # and finds the same body or a newer generation.
    if answer.is_error():
        return Error(answer.error)
    return Ok(None)


async def _apply_allocation(
    store: object_api.ObjectApi, confirmed: plan.Plan, generation: int
) -> Result[None, object_api.ObjectError]:
    kind, name = shares.KIND, shares.NAME
    answer = await store.get(kind, name)
    body = codec.to_body(confirmed.allocation)
    if answer.is_error():
        if not isinstance(answer.error, object_api.NotFound):
            return Error(answer.error)
        return _settled_or_newer(
            await verified_writes.create(store, kind, name, body)
        )
    held = codec.from_body(answer.ok.body, shares.Allocation)
    if held.generation >= generation:
        return Ok(None)
    return _settled_or_newer(
        await verified_writes.update(store, attrs.evolve(answer.ok, body=body))
    )
