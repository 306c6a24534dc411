"""Writes whose lost answers are settled by reading back.

Load pattern: rare writes by operators and controllers, now and then without
an answer. Without the read-back an operator would be told that a plan failed
which is in force. Bodies written here name their writer or are the same
whoever writes them, so that an equal body says that the write stands.
"""

from expression import Error, Ok, Result

from redwingvalve.platform_api import object_api

StoredResult = Result[object_api.StoredObject, object_api.ObjectError]


async def create(
    objects: object_api.ObjectApi, kind: str, name: str, body: object_api.Body
) -> StoredResult:
    """Create an object; an equal one that exists counts as created."""
    answer = await objects.create(kind, name, body)
    if answer.is_ok():
        return answer
    return await _settle(objects, kind, name, body, answer.error)


async def update(
    objects: object_api.ObjectApi, stored: object_api.StoredObject
) -> StoredResult:
    """Update an object conditionally; a lost answer is settled."""
    answer = await objects.update(stored)
    if answer.is_ok():
        return answer
    return await _settle(
        objects, stored.kind, stored.name, stored.body, answer.error
    )


async def _settle(
    objects: object_api.ObjectApi,
    kind: str,
    name: str,
    body: object_api.Body,
    problem: object_api.ObjectError,
) -> StoredResult:
    lost = isinstance(problem, object_api.Unavailable) and problem.maybe_applied
    if not lost and not isinstance(problem, object_api.Conflict):
        return Error(problem)
    found = await objects.get(kind, name)
    if found.is_ok() and found.ok.body == body:
        return Ok(found.ok)
    if lost and found.is_ok():
        return Error(object_api.Conflict(kind, name, 'the write did not stand'))
    return Error(problem)
