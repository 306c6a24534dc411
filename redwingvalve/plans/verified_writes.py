"""Writes that are read back when their response is lost.

Load pattern: rare writes by operators and controllers, occasionally without a
response. Without the read-back an operator would be told that a plan failed
although it is in force. Bodies written here either name their writer or are
the same for every writer, so an equal body proves that the write took effect.
"""

from expression import Error, Ok, Result

from redwingvalve.platform_api import object_api

StoredResult = Result[object_api.StoredObject, object_api.ObjectError]


async def create(
    objects: object_api.ObjectApi, kind: str, name: str, body: object_api.Body
) -> StoredResult:
    """Create an object; an existing object with equal body is a success."""
    answer = await objects.create(kind, name, body)
    if answer.is_ok():
        return answer
    return await _read_back(objects, kind, name, body, answer.error)


async def update(
    objects: object_api.ObjectApi, stored: object_api.StoredObject
) -> StoredResult:
    """Update an object conditionally; read it back if the response is lost."""
    answer = await objects.update(stored)
    if answer.is_ok():
        return answer
    return await _read_back(
        objects, stored.kind, stored.name, stored.body, answer.error
    )


async def _read_back(
    objects: object_api.ObjectApi,
    kind: str,
    name: str,
    body: object_api.Body,
    error: object_api.ObjectError,
) -> StoredResult:
    maybe_applied = (
        isinstance(error, object_api.Unavailable) and error.maybe_applied
    )
    if not maybe_applied and not isinstance(error, object_api.Conflict):
        return Error(error)
    found = await objects.get(kind, name)
    if found.is_ok() and found.ok.body == body:
        return Ok(found.ok)
    if maybe_applied and found.is_ok():
        return Error(
            object_api.Conflict(kind, name, 'the write was not applied')
        )
    return Error(error)
