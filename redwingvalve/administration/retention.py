"""Deletes expired audit entries and voter registrations from the store.

Load pattern: 1,400 changes a day leave several thousand audit entries a day.
Without retention, the list, which operators read whole, would exceed a
megabyte within a week and the store's rate limits within a year. Old plans are
deleted by plans.recovery.

The names of voters that have been gone for long
(at_most_once.voter_registration) are deleted as well.

Missed targets that cost a penalty are disputed within a month, so audit
entries are kept for 35 days. One delete every half a second uses less than one
hundredth of the store's several hundred writes a second.
"""

import types
from collections import abc as collections_abc

import attrs

from redwingvalve.administration import audit
from redwingvalve.at_most_once import voter_registration
from redwingvalve.core import clock
from redwingvalve.observability import logs
from redwingvalve.platform_api import object_api

AUDIT_RETENTION_S = 35 * 86_400.0
SWEEP_INTERVAL_S = 600.0
DELETE_INTERVAL_S = 0.5
MAX_DELETES = 1_000
LOGGER = logs.make_logger('administration')

Stored = object_api.StoredObject


def find_expired_audits(
    stored_objects: collections_abc.Iterable[Stored], now_wall_s: float
) -> tuple[Stored, ...]:
    """Return audit entries older than AUDIT_RETENTION_S, oldest first."""
    expired = [
        stored
        for stored in stored_objects
        if now_wall_s - float(stored.body.get('at_s', now_wall_s))
        > AUDIT_RETENTION_S
    ]
    return tuple(sorted(expired, key=lambda stored: stored.name))[:MAX_DELETES]


EXPIRED_FINDERS = types.MappingProxyType(
    {
        audit.KIND: find_expired_audits,
        voter_registration.KIND: voter_registration.find_expired,
    }
)


@attrs.frozen
class Sweeper:
    """Deletes expired objects, each only at the version that was read."""

    store: object_api.ObjectApi
    time_source: clock.Clock

    async def sweep(self) -> int:
        """Delete expired objects; return how many were deleted."""
        deleted = 0
        for stored in await self._find_expired():
            deletion = await self.store.delete(
                stored.kind, stored.name, stored.version
            )
            deleted += deletion.is_ok()
            await self.time_source.sleep(DELETE_INTERVAL_S)
        if deleted:
            LOGGER.info('%d expired objects were deleted.', deleted)
        return deleted

    async def _find_expired(self) -> tuple[Stored, ...]:
        found: list[Stored] = []
        now_s = self.time_source.wall_s()
        for kind, find_expired in EXPIRED_FINDERS.items():
            listed = await self.store.list(kind)
            if listed.is_ok():
                found.extend(find_expired(listed.ok.objects, now_s))
        return tuple(found)

    async def run(
        self, is_responsible: collections_abc.Callable[[], bool]
    ) -> None:
        """Sweep periodically while is_responsible returns true."""
        while True:
            await self.time_source.sleep(SWEEP_INTERVAL_S)
            if is_responsible():
                await self.sweep()
