"""Finds out at the start whether an entry of this name has run before.

What an earlier incarnation granted is lost with its memory. A process can't
know by itself that it had one, so each name leaves one object in the store:
one write a start, and nothing per request.
"""

from redwingvalve.platform_api import object_api

KIND = 'keyvoters'


async def is_first_start(objects: object_api.ObjectApi, name: str) -> bool:
    """Return True only if the store says so; an outage counts as a restart."""
    created = await objects.create(KIND, name, {'name': name})
    return created.is_ok()
