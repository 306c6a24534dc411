"""The platform's object API: versions, conditional updates and watches.

Source: the published REST conventions of the Kubernetes API (resource
versions, 409 on conflict, list and watch, 410 when a version is too old).
"""

import abc
import typing
from collections import abc as collections_abc

import attrs
from expression import Result

Body = dict[str, typing.Any]


@attrs.frozen
class StoredObject:
    """An object as stored; body is its spec as plain JSON."""

    kind: str
    name: str
    version: str
    body: Body


@attrs.frozen
class WatchEvent:
    """A change from a watch; type is ADDED, MODIFIED or DELETED."""

    type: str
    stored: StoredObject


@attrs.frozen
class ObjectList:
    """A list at one version, from which a watch can start."""

    version: str
    objects: tuple[StoredObject, ...]


@attrs.frozen
class NotFound:
    """There is no object of this kind and name."""

    kind: str
    name: str


@attrs.frozen
class Conflict:
    """The object's version is not the one that the write is based on."""

    kind: str
    name: str
    message: str = ''


@attrs.frozen
class Expired:
    """The version to watch from is too old; the caller has to list again."""

    kind: str


@attrs.frozen
class Unavailable:
    """There was no usable response.

    If maybe_applied is true, a write may have taken effect. The writer has to
    read the object before it does anything else.
    """

    message: str
    maybe_applied: bool
    retry_after_s: float = 0.0


@attrs.frozen
class Refused:
    """The store refused the call permanently, e.g. for a value too large."""

    message: str


ObjectError = NotFound | Conflict | Expired | Unavailable | Refused


class ObjectApi(abc.ABC):
    """Stores configuration, status and the system's own object kinds."""

    @abc.abstractmethod
    async def get(
        self, kind: str, name: str
    ) -> Result[StoredObject, ObjectError]:
        """Return one object."""

    @abc.abstractmethod
    async def list(self, kind: str) -> Result[ObjectList, ObjectError]:
        """Return all objects of a kind at one version."""

    @abc.abstractmethod
    async def create(
        self, kind: str, name: str, body: Body
    ) -> Result[StoredObject, ObjectError]:
        """Create an object; Conflict if the name exists."""

    @abc.abstractmethod
    async def update(
        self, stored: StoredObject
    ) -> Result[StoredObject, ObjectError]:
        """Replace an object if it still has stored.version."""

    @abc.abstractmethod
    async def delete(
        self, kind: str, name: str, version: str
    ) -> Result[None, ObjectError]:
        """Delete an object if it still has this version."""

    @abc.abstractmethod
    def watch(
        self, kind: str, version: str
    ) -> collections_abc.AsyncIterator[Result[WatchEvent, ObjectError]]:
        """Yield changes after version until an error or the watch's end."""

    async def aclose(self) -> None:
        """Close connections."""
