"""Applies a confirmed plan; resumes where another process stopped.

Load pattern: about 1,400 confirmations a day. A process can die or pause at
any step, and several controllers may apply the same plan at once. Writes are
conditional, idempotent and the same whichever process makes them, and none
replaces a newer generation, so the steps may be repeated and may overlap.

An object that already has the desired content is not written again, which
saves writes. This is safe because no plan is confirmed before the previous
one has been applied.
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
    """Write the declared objects and the allocation of the current plan."""
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
    updated = await verified_writes.update(
        store,
        object_api.StoredObject(
            objects.DECLARATIONS, objects.CURRENT, current.version, body
        ),
    )
    if updated.is_error() and not isinstance(
        updated.error, object_api.Conflict
    ):
        return Error(fleet_state.to_plan_error(updated.error))
    return Ok(True)


async def _apply_objects(
    store: object_api.ObjectApi, confirmed: plan.Plan, generation: int
) -> Result[None, object_api.ObjectError]:
    declared = objects.declared_objects(confirmed.declaration)
    for kind in (
        objects.DEPLOYMENTS,
        objects.SERVICES,
        objects.CLIENT_ACCOUNTS,
    ):
        listed = await store.list(kind)
        if listed.is_error():
            return Error(listed.error)
        existing = {each.name: each for each in listed.ok.objects}
        names = {name for of_kind, name in declared if of_kind == kind}
        for name in sorted({*existing, *names}):
            written = await _put(
                store,
                (kind, name),
                existing.get(name),
                generation,
                declared.get((kind, name)),
            )
            if written.is_error():
                return written
    return Ok(None)


async def _put(
    store: object_api.ObjectApi,
    key: tuple[str, str],
    stored: object_api.StoredObject | None,
    generation: int,
    content: typing.Any,
) -> Result[None, object_api.ObjectError]:
    body = objects.declared_body(generation, content)
    if stored is None:
        result = await verified_writes.create(store, *key, body)
        return _without_object(result)
    existing_object = codec.from_body(stored.body, objects.Declared)
    if (
        existing_object.generation >= generation
        or existing_object.content == body['content']
    ):
        return Ok(None)
    return _without_object(
        await verified_writes.update(store, attrs.evolve(stored, body=body))
    )


def _without_object(
    result: verified_writes.StoredResult,
) -> Result[None, object_api.ObjectError]:
    # A conflict means that another process wrote the object. The next pass
    # reads it again and finds either the same body or a newer generation.
    if result.is_error():
        return Error(result.error)
    return Ok(None)


async def _apply_allocation(
    store: object_api.ObjectApi, confirmed: plan.Plan, generation: int
) -> Result[None, object_api.ObjectError]:
    kind, name = shares.KIND, shares.NAME
    result = await store.get(kind, name)
    body = codec.to_body(confirmed.allocation)
    if result.is_error():
        if not isinstance(result.error, object_api.NotFound):
            return Error(result.error)
        return _without_object(
            await verified_writes.create(store, kind, name, body)
        )
    existing_object = codec.from_body(result.ok.body, shares.Allocation)
    if existing_object.generation >= generation:
        return Ok(None)
    return _without_object(
        await verified_writes.update(store, attrs.evolve(result.ok, body=body))
    )
