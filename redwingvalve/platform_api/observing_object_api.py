"""An object API that passes the objects read and written to a callback.

A controller reads and writes the domain objects of its region anyway. With
this class it can pass them on to the entries, which then need no watch.
"""

from collections import abc as collections_abc

from expression import Result

from redwingvalve.platform_api import object_api

Stored = object_api.StoredObject
StoredResult = Result[Stored, object_api.ObjectError]
ObjectCallback = collections_abc.Callable[[Stored], None]


class ObservingObjectApi(object_api.ObjectApi):
    """Delegates calls, and passes single objects of responses to a callback."""

    def __init__(
        self, objects: object_api.ObjectApi, on_object: ObjectCallback
    ) -> None:
        """Call on_object with each object read or written by name."""
        self._objects = objects
        self._on_object = on_object

    async def get(self, kind: str, name: str) -> StoredResult:
        """Return one object."""
        return self._observe(await self._objects.get(kind, name))

    async def list(
        self, kind: str
    ) -> Result[object_api.ObjectList, object_api.ObjectError]:
        """Return all objects of a kind at one version."""
        return await self._objects.list(kind)

    async def create(
        self, kind: str, name: str, body: object_api.Body
    ) -> StoredResult:
        """Create an object; Conflict when the name exists."""
        return self._observe(await self._objects.create(kind, name, body))

    async def update(self, stored: Stored) -> StoredResult:
        """Replace an object if it still has stored.version."""
        return self._observe(await self._objects.update(stored))

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

    def _observe(self, response: StoredResult) -> StoredResult:
        if response.is_ok():
            self._on_object(response.ok)
        return response


def make_observing_object_api(
    objects: object_api.ObjectApi, on_object: ObjectCallback
) -> object_api.ObjectApi:
    """Return an object API that calls on_object for each object."""
    return ObservingObjectApi(objects, on_object)
