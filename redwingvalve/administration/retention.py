"""How long plans and audit entries are kept in the store.

Load pattern: 1,400 changes a day leave 1,400 plans and several thousand audit
entries a day. Without an end the store's lists, which operators read whole,
grow past a megabyte within a week and past its rate limits within a year.

Grounds: a fined target is disputed within a month, so audit entries stay 35
days; of plans, the newest 500 (a third of a day's) are enough to see who won,
and the one in force always stays. One delete every half a second uses under
one hundredth of the store's several hundred writes a second.
"""

from collections import abc as collections_abc

import attrs

from redwingvalve.administration import audit
from redwingvalve.core import clock
from redwingvalve.observability import logs
from redwingvalve.plans import objects, world
from redwingvalve.platform_api import object_api

AUDIT_KEEP_S = 35 * 86_400.0
PLANS_KEPT = 500
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


def outdated_plans(
    kept: collections_abc.Iterable[Stored], in_force: str
) -> tuple[Stored, ...]:
    """Return all but the newest plans, oldest first, never that in force."""
    newest_last = sorted(kept, key=lambda stored: int(stored.version))
    old = newest_last[: max(0, len(newest_last) - PLANS_KEPT)]
    return tuple(stored for stored in old if stored.name != in_force)[
        :MOST_DELETES
    ]


@attrs.frozen
class Sweeper:
    """Deletes what is outdated; every delete is bound to a version."""

    store: object_api.ObjectApi
    time_source: clock.Clock

    async def sweep(self) -> int:
        """Make one pass and return how many objects were deleted.

        A plan that is confirmed while the sweep runs has a new version, so
        that its delete is refused by the store.
        """
        current = await world.read_current(self.store)
        audits = await self.store.list(audit.KIND)
        plans = await self.store.list(objects.PLANS)
        if current.is_error() or audits.is_error() or plans.is_error():
            return 0
        now_s = self.time_source.wall_s()
        outdated = (
            *outdated_audits(audits.ok.objects, now_s),
            *outdated_plans(plans.ok.objects, current.ok.confirmed.plan),
        )
        deleted = 0
        for stored in outdated:
            gone = await self.store.delete(
                stored.kind, stored.name, stored.version
            )
            deleted += gone.is_ok()
            await self.time_source.sleep(DELETE_EVERY_S)
        if deleted:
            LOGGER.info('%d outdated objects were deleted.', deleted)
        return deleted

    async def run(self, on_duty: collections_abc.Callable[[], bool]) -> None:
        """Sweep until cancelled, whenever this process is on duty."""
        while True:
            await self.time_source.sleep(SWEEP_EVERY_S)
            if on_duty():
                await self.sweep()
