"""What a starting voter must know of the time before it, from the store.

What an earlier incarnation granted is lost with its memory. A process can't
know by itself that it had one, nor which others vote that it can't reach: new
voters that see only each other would make a fleet of their own and run again
what the others ran. Each name therefore keeps one object in the store: a write
a start and one each half hour, so 360 nodes write 0.2 a second, and nothing is
written for a request.
"""

from collections import abc as collections_abc

import attrs

from redwingvalve.at_most_once import roster
from redwingvalve.core import clock
from redwingvalve.platform_api import object_api

KIND = 'keyvoters'
REFRESH_S = 1800.0
# After an outage of the store all objects look old until they are refreshed.
RETRY_S = 5.0
# Far longer than claims are remembered: the name then starts as a new one.
KEEP_S = 86_400.0


@attrs.frozen
class Registration:
    """first: no process had this name; names: who may vote, seen or not."""

    first: bool
    names: frozenset[str] = frozenset()


async def register(
    objects: object_api.ObjectApi, name: str, wall_s: float
) -> Registration:
    """Write down that a voter starts; an outage counts as a restart."""
    created = await objects.create(KIND, name, _body(name, wall_s))
    if created.is_error() and not isinstance(
        created.error, object_api.Conflict
    ):
        return Registration(first=False)
    listed = await objects.list(KIND)
    if listed.is_error():
        return Registration(first=False)
    oldest_s = wall_s - roster.LONGEST_ABSENCE_S
    names = frozenset(
        stored.name
        for stored in listed.ok.objects
        if _seen_s(stored) >= oldest_s
    )
    return Registration(created.is_ok(), names)


async def refresh(
    objects: object_api.ObjectApi, name: str, wall_s: float
) -> bool:
    """Write down that a voter is still there; False when that failed."""
    held = await objects.get(KIND, name)
    body = _body(name, wall_s)
    if held.is_ok():
        written = await objects.update(attrs.evolve(held.ok, body=body))
        return written.is_ok()
    if isinstance(held.error, object_api.NotFound):
        return (await objects.create(KIND, name, body)).is_ok()
    return False


async def keep_refreshed(
    objects: object_api.ObjectApi, name: str, time_source: clock.Clock
) -> None:
    """Refresh the object of a voter that runs, until cancelled.

    It begins soon: a start while the store was away has written nothing.
    """
    pause_s = RETRY_S
    while True:
        await time_source.sleep(pause_s)
        fresh = await refresh(objects, name, time_source.wall_s())
        pause_s = REFRESH_S if fresh else RETRY_S


def find_expired(
    kept: collections_abc.Iterable[object_api.StoredObject], wall_s: float
) -> tuple[object_api.StoredObject, ...]:
    """Return the objects of names that are long gone."""
    oldest_s = wall_s - KEEP_S
    return tuple(stored for stored in kept if _seen_s(stored) < oldest_s)


def _body(name: str, wall_s: float) -> object_api.Body:
    return {'name': name, 'seen_s': wall_s}


def _seen_s(stored: object_api.StoredObject) -> float:
    return float(stored.body.get('seen_s', 0))
