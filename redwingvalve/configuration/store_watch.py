"""Synchronizes a record table with the store: lists each kind, then watches.

Load pattern: 360 nodes need each change within seconds. A watch per node and
kind would be 1,440 pending calls against a limit of two thousand reads a
second, so only a few members of each data centre watch and pass changes on.
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
# Each lease renewal, every 5 s, is an event with the whole domain (13.6 KB with
# 64 VMs). With 150 domains that is 409 KB a second to each watcher. Domains are
# therefore watched only up to this number. Above it, controllers pass on what
# they read and write (GossipConfiguration.observe), and the domains are listed
# every 300 s (2 MB) for regions that have lost all controllers.
MAX_WATCHED_DOMAINS = 8
DOMAIN_LIST_INTERVAL_S = 300.0
# Backoff after a failed list or a short watch: doubled up to the maximum, with
# jitter so that 26 watchers don't reconnect at the same time after an outage.
# Reset by a watch that lasted longer than the maximum.
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0


class StoreWatch:
    """Applies the store's changes to a record table."""

    def __init__(
        self,
        objects: object_api.ObjectApi,
        table: records.RecordTable,
        decoder: decoding.Decoder,
        timers: clock.Clock,
        rng: random.Random,
    ) -> None:
        """Synchronize table with objects."""
        self.list_count = 0
        self._objects = objects
        self._table = table
        self._decoder = decoder
        self._clock = timers
        self._rng = rng
        self._on_change: collections_abc.Callable[[], None] = _noop
        self._on_response: collections_abc.Callable[[], None] = _noop

    def set_callbacks(
        self,
        on_change: collections_abc.Callable[[], None],
        on_response: collections_abc.Callable[[], None],
    ) -> None:
        """Call on_change after changes, on_response when the store responds."""
        self._on_change = on_change
        self._on_response = on_response

    async def run(self) -> None:
        """Synchronize all kinds until cancelled."""
        async with anyio.create_task_group() as group:
            for kind in WATCHED_KINDS:
                group.start_soon(self._sync, kind)

    async def list_once(self, kind: str) -> str | None:
        """Apply one list; return its version, or None if the store failed."""
        self.list_count += 1
        listed = await self._objects.list(kind)
        if listed.is_error():
            return None
        self._on_response()
        present = {stored.name for stored in listed.ok.objects}
        found = [self._to_record(stored) for stored in listed.ok.objects]
        changes = [record for record in found if record is not None]
        version = listed.ok.version
        if self._table.apply_listing(kind, present, changes, int(version)):
            self._on_change()
        return version

    async def _sync(self, kind: str) -> None:
        version: str | None = None
        backoff_s = MIN_BACKOFF_S
        while True:
            started_s = self._clock.monotonic_s()
            if version is None:
                version = await self.list_once(kind)
            if version is not None and self._is_polled(kind):
                version = None
                await self._sleep_with_jitter(DOMAIN_LIST_INTERVAL_S)
                continue
            if version is not None:
                version = await self._watch(kind, version)
            if self._clock.monotonic_s() - started_s > MAX_BACKOFF_S:
                backoff_s = MIN_BACKOFF_S
            await self._sleep_with_jitter(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    async def _sleep_with_jitter(self, mean_s: float) -> None:
        await self._clock.sleep(mean_s * self._rng.uniform(0.5, 1.5))

    def _is_polled(self, kind: str) -> bool:
        if kind != records.FABRIC_DOMAINS:
            return False
        return len(self._table.live(kind)) > MAX_WATCHED_DOMAINS

    async def _watch(self, kind: str, version: str) -> str | None:
        """Run one watch; return the version to resume from, None to list."""
        async for event in self._objects.watch(kind, version):
            if event.is_error():
                if isinstance(event.error, object_api.Expired):
                    return None
                return version
            self._on_response()
            version = event.ok.stored.version
            self._take_event(event.ok)
            if self._is_polled(kind):
                return None
        return version

    def _take_event(self, event: object_api.WatchEvent) -> None:
        record = self._to_record(event.stored)
        if event.type == 'DELETED':
            record = self._tombstone(event.stored)
        if record is None or not self._table.apply(record):
            return
        self._table.complete({record.group: record.version})
        self._on_change()

    def _to_record(
        self, stored: object_api.StoredObject
    ) -> records.Record | None:
        existing = self._table.get(stored.kind, stored.name)
        try:
            return self._decoder.to_record(stored, existing)
        except Exception as error:  # noqa: BLE001 - decoders are injected
            LOG.error(f'{stored.kind}/{stored.name} cannot be read: {error!r}')
            return None

    def _tombstone(self, stored: object_api.StoredObject) -> records.Record:
        existing = self._table.get(stored.kind, stored.name)
        return records.Record(
            stored.kind,
            stored.name,
            records.version_of(stored),
            deleted=True,
            region=existing.region if existing is not None else '',
        )


def _noop() -> None:
    """Do nothing."""
