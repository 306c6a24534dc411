"""An in-memory object API with fault injection.

object_api_app serves it over HTTP; unit tests use it directly. It follows the
rules of the published API: versions increase across the whole store, an
update requires the current version, and a watch resumes from any version that
is still in the event history.
"""

import collections
import json
from collections import abc as collections_abc

import anyio
import attrs
from expression import Error, Ok, Result

from redwingvalve.platform_api import object_api

MAX_VALUE_BYTES = 1_000_000
EVENT_HISTORY_SIZE = 10_000

Stored = object_api.StoredObject
ObjectError = object_api.ObjectError


@attrs.define
class StoreFaults:
    """Faults of the store; all are off by default.

    responses_to_drop counts writes that take effect without a response.
    """

    outage: bool = False
    responses_to_drop: int = 0
    delay_s: float = 0.0


@attrs.define
class CallCounts:
    """Numbers of calls; opening a watch counts once."""

    reads: int = 0
    writes: int = 0
    watches: int = 0


class MemoryObjectApi(object_api.ObjectApi):
    """Objects by kind and name, with one version counter for all."""

    def __init__(self) -> None:
        """Start empty at version 1."""
        self.faults = StoreFaults()
        self.calls = CallCounts()
        self._version = 1
        self._oldest_event = 1
        self._objects: dict[str, dict[str, Stored]] = collections.defaultdict(
            dict
        )
        self._events: collections.deque[tuple[int, object_api.WatchEvent]] = (
            collections.deque()
        )
        self._changed = anyio.Event()

    async def get(self, kind: str, name: str) -> Result[Stored, ObjectError]:
        """Return one object."""
        self.calls.reads += 1
        await self._delay()
        if self.faults.outage:
            return _unavailable(maybe_applied=False)
        stored = self._objects[kind].get(name)
        if stored is None:
            return Error(object_api.NotFound(kind, name))
        return Ok(_copy(stored))

    async def list(
        self, kind: str
    ) -> Result[object_api.ObjectList, ObjectError]:
        """Return all objects of a kind at one version."""
        self.calls.reads += 1
        await self._delay()
        if self.faults.outage:
            return _unavailable(maybe_applied=False)
        return Ok(self.list_now(kind))

    async def create(
        self, kind: str, name: str, body: object_api.Body
    ) -> Result[Stored, ObjectError]:
        """Create an object; Conflict if the name exists."""
        refused = await self._before_write(body)
        if refused is not None:
            return Error(refused)
        if name in self._objects[kind]:
            return self._return_or_drop(
                Error(object_api.Conflict(kind, name, 'it exists'))
            )
        return self._return_or_drop(Ok(self._put('ADDED', kind, name, body)))

    async def update(self, stored: Stored) -> Result[Stored, ObjectError]:
        """Replace an object if it still has stored.version."""
        refused = await self._before_write(stored.body)
        if refused is not None:
            return Error(refused)
        problem = self._version_problem(
            stored.kind, stored.name, stored.version
        )
        if problem is not None:
            return self._return_or_drop(Error(problem))
        return self._return_or_drop(
            Ok(self._put('MODIFIED', stored.kind, stored.name, stored.body))
        )

    async def delete(
        self, kind: str, name: str, version: str
    ) -> Result[None, ObjectError]:
        """Delete an object if it still has this version."""
        refused = await self._before_write({})
        if refused is not None:
            return Error(refused)
        problem = self._version_problem(kind, name, version)
        if problem is not None:
            return self._return_or_drop(Error(problem))
        deleted = self._objects[kind].pop(name)
        self._version += 1
        self._record(
            'DELETED', attrs.evolve(deleted, version=str(self._version))
        )
        return self._return_or_drop(Ok(None))

    async def watch(
        self, kind: str, version: str
    ) -> collections_abc.AsyncIterator[
        Result[object_api.WatchEvent, ObjectError]
    ]:
        """Yield changes after version until an error or an outage occurs."""
        self.calls.watches += 1
        seen = int(version)
        if seen < self._oldest_event - 1:
            yield Error(object_api.Expired(kind))
            return
        while True:
            if self.faults.outage:
                yield _unavailable(maybe_applied=False)
                return
            changed = self._changed
            for number, event in tuple(self._events):
                if number <= seen or event.stored.kind != kind:
                    continue
                seen = number
                yield Ok(event)
            await changed.wait()

    def list_now(self, kind: str) -> object_api.ObjectList:
        """Return a list, bypassing delays, faults and counters; for tests."""
        named = self._objects[kind]
        return object_api.ObjectList(
            str(self._version),
            tuple(_copy(named[name]) for name in sorted(named)),
        )

    def set_outage(self, *, outage: bool) -> None:
        """Start or end an outage; an outage ends open watches at once."""
        self.faults.outage = outage
        self._wake()

    async def _delay(self) -> None:
        if self.faults.delay_s:
            await anyio.sleep(self.faults.delay_s)
        else:
            await anyio.lowlevel.checkpoint()

    async def _before_write(self, body: object_api.Body) -> ObjectError | None:
        self.calls.writes += 1
        await self._delay()
        if self.faults.outage:
            return object_api.Unavailable('outage', maybe_applied=False)
        if len(json.dumps(body)) > MAX_VALUE_BYTES:
            return object_api.Refused('the value is larger than 1 MB')
        return None

    def _version_problem(
        self, kind: str, name: str, version: str
    ) -> ObjectError | None:
        current = self._objects[kind].get(name)
        if current is None:
            return object_api.NotFound(kind, name)
        if current.version != version:
            return object_api.Conflict(
                kind, name, f'version {version} is not {current.version}'
            )
        return None

    def _return_or_drop(
        self, result: Result[object, ObjectError]
    ) -> Result[object, ObjectError]:
        if not self.faults.responses_to_drop:
            return result
        self.faults.responses_to_drop -= 1
        return _unavailable(maybe_applied=True)

    def _put(
        self, event_type: str, kind: str, name: str, body: object_api.Body
    ) -> Stored:
        self._version += 1
        stored = Stored(
            kind, name, str(self._version), json.loads(json.dumps(body))
        )
        self._objects[kind][name] = stored
        self._record(event_type, stored)
        return _copy(stored)

    def _record(self, event_type: str, stored: Stored) -> None:
        event = object_api.WatchEvent(event_type, _copy(stored))
        self._events.append((self._version, event))
        while len(self._events) > EVENT_HISTORY_SIZE:
            number, _ = self._events.popleft()
            self._oldest_event = number + 1
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


def _copy(stored: Stored) -> Stored:
    return attrs.evolve(stored, body=json.loads(json.dumps(stored.body)))


def _unavailable(*, maybe_applied: bool) -> Result[object, ObjectError]:
    return Error(
        object_api.Unavailable('no answer came', maybe_applied=maybe_applied)
    )


def make_memory_object_api() -> MemoryObjectApi:
    """Return an empty store."""
    return MemoryObjectApi()
