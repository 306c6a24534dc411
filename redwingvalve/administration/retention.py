"""How long audit entries are kept in the store.

Load pattern: 1,400 changes a day leave several thousand audit entries a day.
Without an end the list, which operators read whole, passes a megabyte within a
week and the store's rate limits within a year. Plans have an end of their own
(plans.finishing).

Names of voters that are long gone (at_most_once.voter_registration) go with
them.

Grounds: a fined target is disputed within a month, so entries stay 35 days.
One delete every half a second uses under one hundredth of the store's several
hundred writes a second.
"""

import types
from collections import abc as collections_abc

import attrs

from redwingvalve.administration import audit
from redwingvalve.at_most_once import voter_registration
from redwingvalve.core import clock
from redwingvalve.observability import logs
from redwingvalve.platform_api import object_api

AUDIT_KEEP_S = 35 * 86_400.0
SWEEP_EVERY_S = 600.0
DELETE_EVERY_S = 0.5
MOST_DELETES = 1_000
LOGGER = logs.make_logger('administration')

Stored = object_api.StoredObject


def outdated_audits(
    kept: collections_abc.Iterable[Stored], now_wall_s: float
) -> tuple[Stored, ...]:
    """Return audit entries older than AUDIT_KEEP_S, oldest first."""
    old = [
        stored
        for stored in kept
        if now_wall_s - float(stored.body.get('at_s', now_wall_s))
        > AUDIT_KEEP_S
    ]
    return tuple(sorted(old, key=lambda stored: stored.name))[:MOST_DELETES]


OUTDATED = types.MappingProxyType(
    {
        audit.KIND: outdated_audits,
        voter_registration.KIND: voter_registration.find_expired,
    }
)


@attrs.frozen
class Sweeper:
    """Deletes what is outdated; every delete is bound to a version."""

    store: object_api.ObjectApi
    time_source: clock.Clock

    async def sweep(self) -> int:
        """Make one pass and return how many objects were deleted."""
        deleted = 0
        for stored in await self._outdated():
            gone = await self.store.delete(
                stored.kind, stored.name, stored.version
            )
            deleted += gone.is_ok()
            await self.time_source.sleep(DELETE_EVERY_S)
        if deleted:
            LOGGER.info('%d outdated objects were deleted.', deleted)
        return deleted

    async def _outdated(self) -> tuple[Stored, ...]:
        found: list[Stored] = []
        now_s = self.time_source.wall_s()
        for kind, choose in OUTDATED.items():
            listed = await self.store.list(kind)
            if listed.is_ok():
                found.extend(choose(listed.ok.objects, now_s))
        return tuple(found)

    async def run(self, on_duty: collections_abc.Callable[[], bool]) -> None:
        """Sweep until cancelled, whenever this process is on duty."""
        while True:
            await self.time_source.sleep(SWEEP_EVERY_S)
            if on_duty():
                await self.sweep()
