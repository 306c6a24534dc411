"""Registration of voters in the store.

The grants of an earlier incarnation are lost with its memory. A process can't
know by itself whether it had one, nor which voters exist that it can't reach:
new voters that see only each other would decide as a fleet of their own and run
requests again. Each name therefore has one object in the store, written at each
start and every half hour: 360 nodes make 0.2 writes a second, and no request
causes a write.
"""

from collections import abc as collections_abc

import attrs

from redwingvalve.at_most_once import roster
from redwingvalve.core import clock
from redwingvalve.platform_api import object_api

KIND = 'keyvoters'
REFRESH_INTERVAL_S = 1800.0
# After an outage of the store, all objects look old until they are refreshed.
RETRY_INTERVAL_S = 5.0
# Much longer than claims are kept; afterwards the name counts as new.
OBJECT_RETENTION_S = 86_400.0


@attrs.frozen
class Registration:
    """first: no process had this name before; names: all possible voters."""

    first: bool
    names: frozenset[str] = frozenset()


async def register(
    objects: object_api.ObjectApi, name: str, wall_s: float
) -> Registration:
    """Register a starting voter; an outage of the store counts as a restart."""
    created = await objects.create(KIND, name, _body(name, wall_s))
    if created.is_error() and not isinstance(
        created.error, object_api.Conflict
    ):
        return Registration(first=False)
    listed = await objects.list(KIND)
    if listed.is_error():
        return Registration(first=False)
    oldest_s = wall_s - roster.MAX_ABSENCE_S
    names = frozenset(
        stored.name
        for stored in listed.ok.objects
        if _seen_s(stored) >= oldest_s
    )
    return Registration(created.is_ok(), names)


async def refresh(
    objects: object_api.ObjectApi, name: str, wall_s: float
) -> bool:
    """Refresh the object of a running voter; False if that failed."""
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
    """Refresh the object of a running voter until cancelled.

    The first refresh follows soon: a start during an outage wrote nothing.
    """
    pause_s = RETRY_INTERVAL_S
    while True:
        await time_source.sleep(pause_s)
        fresh = await refresh(objects, name, time_source.wall_s())
        pause_s = REFRESH_INTERVAL_S if fresh else RETRY_INTERVAL_S


def find_expired(
    kept: collections_abc.Iterable[object_api.StoredObject], wall_s: float
) -> tuple[object_api.StoredObject, ...]:
    """Return the objects that were not refreshed for OBJECT_RETENTION_S."""
    oldest_s = wall_s - OBJECT_RETENTION_S
    return tuple(stored for stored in kept if _seen_s(stored) < oldest_s)


def _body(name: str, wall_s: float) -> object_api.Body:
    return {'name': name, 'seen_s': wall_s}


def _seen_s(stored: object_api.StoredObject) -> float:
    return float(stored.body.get('seen_s', 0))
