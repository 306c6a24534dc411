"""Follows the store's configuration kinds: list, then watch, then go on.

Load pattern: 360 nodes want each change within seconds. A watch on each node
and kind would be 1,440 waiting calls against a limit of two thousand reads a
second; a few members of each data centre watch and pass on.
"""

import random
from collections import abc as collections_abc

import anyio

from redwingvalve.configuration import decoding, records
from redwingvalve.core import clock
from redwingvalve.observability import logs
from redwingvalve.platform_api import object_api

LOG = logs.make_logger('configuration')
WATCHED_KINDS = (*records.CONFIGURATION_KINDS, records.FABRIC_DOMAINS)
# Each renewal of a lease, every 5 s, is an event of the whole domain (13.6 KB
# at 64 VMs): 409 KB a second to each watcher at 150 domains. Up to so many
# domains the events are small enough; above, controllers pass on what they read
# and write (GossipConfiguration.observe), and a list now and then is there for
# regions whose controllers are all gone: 2 MB each 300 s.
MOST_WATCHED_DOMAINS = 8
DOMAIN_LIST_INTERVAL_S = 300.0
# After a watch that ended soon or a list that failed: doubled up to the
# highest, with jitter, so that 26 watchers don't come back in step with the
# store. A watch that lasted starts over at the first.
FIRST_PAUSE_S = 0.2
HIGHEST_PAUSE_S = 5.0


class StoreWatch:
    """Brings the store's changes into a record table."""

    def __init__(
        self,
        objects: object_api.ObjectApi,
        table: records.RecordTable,
        decoder: decoding.Decoder,
        timers: clock.Clock,
        randomness: random.Random,
    ) -> None:
        """Follow objects into table."""
        self.lists = 0
        self._objects = objects
        self._table = table
        self._decoder = decoder
        self._clock = timers
        self._randomness = randomness
        self._changed: collections_abc.Callable[[], None] = _nothing
        self._answered: collections_abc.Callable[[], None] = _nothing

    def notify(
        self,
        changed: collections_abc.Callable[[], None],
        answered: collections_abc.Callable[[], None],
    ) -> None:
        """Call changed after a change, answered whenever the store speaks."""
        self._changed = changed
        self._answered = answered

    async def run(self) -> None:
        """Follow all kinds until cancelled."""
        async with anyio.create_task_group() as group:
            for kind in WATCHED_KINDS:
                group.start_soon(self._follow, kind)

    async def list_once(self, kind: str) -> str | None:
        """Take one list; its version, or None when the store is away."""
        self.lists += 1
        listed = await self._objects.list(kind)
        if listed.is_error():
            return None
        self._answered()
        present = {stored.name for stored in listed.ok.objects}
        found = [self._to_record(stored) for stored in listed.ok.objects]
        changes = [record for record in found if record is not None]
        version = listed.ok.version
        if self._table.take_listing(kind, present, changes, int(version)):
            self._changed()
        return version

    async def _follow(self, kind: str) -> None:
        version: str | None = None
        pause_s = FIRST_PAUSE_S
        while True:
            started_s = self._clock.monotonic_s()
            if version is None:
                version = await self.list_once(kind)
            if version is not None and self._only_lists(kind):
                version = None
                await self._pause(DOMAIN_LIST_INTERVAL_S)
                continue
            if version is not None:
                version = await self._watch(kind, version)
            if self._clock.monotonic_s() - started_s > HIGHEST_PAUSE_S:
                pause_s = FIRST_PAUSE_S
            await self._pause(pause_s)
            pause_s = min(2 * pause_s, HIGHEST_PAUSE_S)

    async def _pause(self, about_s: float) -> None:
        await self._clock.sleep(about_s * self._randomness.uniform(0.5, 1.5))

    def _only_lists(self, kind: str) -> bool:
        if kind != records.FABRIC_DOMAINS:
            return False
        return len(self._table.live(kind)) > MOST_WATCHED_DOMAINS

    async def _watch(self, kind: str, version: str) -> str | None:
        """Follow one watch; the version to go on from, None to list anew."""
        async for event in self._objects.watch(kind, version):
            if event.is_error():
                if isinstance(event.error, object_api.Expired):
                    return None
                return version
            self._answered()
            version = event.ok.stored.version
            self._take_event(event.ok)
            if self._only_lists(kind):
                return None
        return version

    def _take_event(self, event: object_api.WatchEvent) -> None:
        record = self._to_record(event.stored)
        if event.type == 'DELETED':
            record = self._tombstone(event.stored)
        if record is None or not self._table.take(record):
            return
        self._table.complete({record.group: record.version})
        self._changed()

    def _to_record(
        self, stored: object_api.StoredObject
    ) -> records.Record | None:
        held = self._table.held(stored.kind, stored.name)
        try:
            return self._decoder.to_record(stored, held)
        except Exception as error:  # noqa: BLE001 - decoders are others' code
            LOG.error(f'{stored.kind}/{stored.name} can not be read: {error!r}')
            return None

    def _tombstone(self, stored: object_api.StoredObject) -> records.Record:
        held = self._table.held(stored.kind, stored.name)
        return records.Record(
            stored.kind,
            stored.name,
            records.version_of(stored),
            deleted=True,
            region=held.region if held is not None else '',
        )


def _nothing() -> None:
    """Do nothing."""
