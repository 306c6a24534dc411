"""The object API of a process that tells another slice what it sees.

A controller reads and writes the domain objects of its region anyway. What it
sees goes on to the entries from here, without a watch of their own.
"""

from collections import abc as collections_abc

from expression import Result

from redwingvalve.platform_api import object_api

Stored = object_api.StoredObject
StoredResult = Result[Stored, object_api.ObjectError]
Seen = collections_abc.Callable[[Stored], None]


class ObservingObjectApi(object_api.ObjectApi):
    """Passes calls on, and each single object that an answer brings."""

    def __init__(self, objects: object_api.ObjectApi, seen: Seen) -> None:
        """Call seen with each object read or written by name."""
        self._objects = objects
        self._seen = seen

    async def get(self, kind: str, name: str) -> StoredResult:
        """Return one object."""
        return self._told(await self._objects.get(kind, name))

    async def list(
        self, kind: str
    ) -> Result[object_api.ObjectList, object_api.ObjectError]:
        """Return all objects of a kind at one version."""
        return await self._objects.list(kind)

    async def create(
        self, kind: str, name: str, body: object_api.Body
    ) -> StoredResult:
        """Create an object; Conflict when the name exists."""
        return self._told(await self._objects.create(kind, name, body))

    async def update(self, stored: Stored) -> StoredResult:
        """Replace an object if it still has stored.version."""
        return self._told(await self._objects.update(stored))

    async def delete(
        self, kind: str, name: str, version: str
    ) -> Result[None, object_api.ObjectError]:
        """Delete an object if it still has this version."""
        return await self._objects.delete(kind, name, version)

    def watch(
        self, kind: str, version: str
    ) -> collections_abc.AsyncIterator[
        Result[object_api.WatchEvent, object_api.ObjectError]
    ]:
        """Yield changes after version until an error or the watch's end."""
        return self._objects.watch(kind, version)

    async def aclose(self) -> None:
        """Close connections."""
        await self._objects.aclose()

    def _told(self, answer: StoredResult) -> StoredResult:
        if answer.is_ok():
            self._seen(answer.ok)
        return answer


def make_observing_object_api(
    objects: object_api.ObjectApi, seen: Seen
) -> object_api.ObjectApi:
    """Return objects that tell seen of what they bring."""
    return ObservingObjectApi(objects, seen)
