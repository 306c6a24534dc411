"""Lists and watches one kind of object in the store.

Configurations and leaving endpoints must be known within seconds. Relays and
the store may answer late or not at all. So the time of an extra call to the
store follows from the age of the known state alone, whatever the watch is
waiting for. A node that can't reach the store either continues with its last
known state, as there is no better source.
"""

import math
import time
import typing

import anyio

from redwingvalve.core import clock
from redwingvalve.fleet import watch_handler
from redwingvalve.node import (
    hedging,
    source_schedule,
    watch_cache,
    watch_sources,
)
from redwingvalve.observability import logs
from redwingvalve.platform import store

LOG = logs.make_logger('watching')
# Wait of a watch that only fetches the changes so far.
REFRESH_WAIT_S = 0.01
# Least time to wait for a relay when the known state is already too old.
MIN_RELAY_TIMEOUT_S = 0.25
# Calls to the store before a refresh fails.
REFRESH_ATTEMPTS = 3

SelectPause: typing.TypeAlias = typing.Callable[[], float]


def no_pause() -> float:
    """Return no pause between two watches."""
    return 0


class KindWatch:
    """Lists the objects of a kind, then watches them for changes."""

    def __init__(
        self,
        kind: str,
        handler: watch_handler.WatchHandler,
        select_sources: watch_sources.SelectSources,
        pause_s: SelectPause = no_pause,
    ) -> None:
        """Pass what the selected sources return to the handler.

        pause_s gives the pause between two watches, so that changes in quick
        succession cost one call.
        """
        self.cache = watch_cache.WatchCache()
        self.kind = kind
        self._handler = handler
        self._select_sources = select_sources
        self._pause_s = pause_s
        self._revision: int | None = None
        self._schedule = source_schedule.SourceSchedule()
        self._is_refresh_requested = False
        self._is_waiting = False
        self._watch_scope = anyio.CancelScope()
        self._refresh_scope = anyio.CancelScope()
        # Time of the known state at the store, on the clock of clock.boot_s.
        self._synced_s = -math.inf

    @property
    def age_s(self) -> float:
        """Return the age of the known state, counted from the store."""
        return clock.boot_s() - self._synced_s

    @property
    def revision(self) -> int:
        """Return the store revision up to which all changes are known."""
        return self._revision or 0

    def refresh_now(self) -> None:
        """Fetch changes now, in place of the watch in progress."""
        self._is_refresh_requested = True
        self._watch_scope.cancel()

    async def run(self) -> None:
        """List and watch until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._follow_sources)
            group.start_soon(self._refresh_old_state)

    async def _follow_sources(self) -> typing.NoReturn:
        while True:
            source = self._schedule.next_source(
                self._select_sources(),
                time.monotonic(),
                is_synced=math.isfinite(self._synced_s),
            )
            asked_s = time.monotonic()
            revision = self._revision
            try:
                await self._step(source)
            except store.HistoryGoneError:
                self._forget_state(revision)
            except hedging.FAILURES as error:
                await self._handle_failure(source, error, asked_s)

    async def _refresh_old_state(self) -> typing.NoReturn:
        """Query the store whenever the known state gets too old."""
        while True:
            found = self._select_sources()
            await anyio.sleep(
                self._schedule.refresh_delay_s(
                    found, self.age_s, time.monotonic()
                )
            )
            asked_s = time.monotonic()
            if not self._schedule.is_refresh_due(found, self.age_s, asked_s):
                continue
            revision = self._revision
            self._refresh_scope = anyio.CancelScope()
            try:
                with self._refresh_scope:
                    await self._refresh(found)
            except store.HistoryGoneError:
                self._forget_state(revision)
            except hedging.FAILURES as error:
                self._record_store_failure(found[-1], error, asked_s)

    async def _refresh(self, found: list[watch_sources.Source]) -> None:
        """Fetch the changes so far from the store, the last source."""
        source = found[-1]
        attempts = 1
        if not self._schedule.store.is_down:
            attempts = REFRESH_ATTEMPTS
            LOG.info(
                'relays too old' if len(found) > 1 else 'answer overdue',
                extra={'kind': self.kind, 'age_s': round(self.age_s, 2)},
            )
        if self._revision is None:
            await self._apply_listing(
                await hedging.first_answer(
                    lambda: source.client.list_kind(self.kind),
                    attempts,
                    source.hedge_delay_s,
                ),
                source,
            )
            return
        revision = self._revision
        changes = await hedging.first_answer(
            lambda: source.client.watch(self.kind, revision, REFRESH_WAIT_S),
            attempts,
            source.hedge_delay_s,
        )
        is_applied = await self._apply(changes, source, revision)
        if is_applied and self._is_waiting:
            self._watch_scope.cancel()

    async def _step(self, source: watch_sources.Source) -> None:
        if self._revision is None:
            listing = await source.client.list_kind(self.kind)
            await self._apply_listing(listing, source)
            return
        wait_s = REFRESH_WAIT_S if self._is_refresh_requested else source.wait_s
        self._watch_scope = anyio.CancelScope(deadline=self._deadline_s(source))
        with self._watch_scope:
            await self._watch(source, wait_s)
            await anyio.sleep(self._interval_s(source))
        if self._is_refresh_requested or source.is_store:
            return
        if self._watch_scope.cancelled_caught:
            raise store.StoreError('no answer before the known state expired')

    async def _watch(self, source: watch_sources.Source, wait_s: float) -> None:
        revision = self.revision
        self._is_waiting = True
        try:
            found = await source.client.watch(self.kind, revision, wait_s)
        finally:
            self._is_waiting = False
        self._watch_scope.deadline = math.inf
        self._is_refresh_requested = False
        await self._apply(found, source, revision)

    def _deadline_s(self, source: watch_sources.Source) -> float:
        """Return the deadline for an answer of a source."""
        if source.is_store:
            return math.inf
        left_s = max(source.max_age_s - self.age_s, MIN_RELAY_TIMEOUT_S)
        return anyio.current_time() + left_s

    async def _apply_listing(
        self, listing: store.Listing, source: watch_sources.Source
    ) -> None:
        received_s = clock.boot_s()
        apply = await self._handler.prepare_list(listing.objects)
        if self._revision is not None:
            # Another source has answered meanwhile.
            return
        self._revision = listing.revision
        age_s = listing.age_s + clock.boot_s() - received_s
        self._record_sync(source, age_s)
        self.cache.apply_listing(listing)
        apply()

    async def _apply(
        self,
        found: store.Changes,
        source: watch_sources.Source,
        after_revision: int,
    ) -> bool:
        """Apply changes; return False if another source was faster."""
        received_s = clock.boot_s()
        apply = await self._handler.prepare_changes(found.changes)
        if self._revision != after_revision:
            return False
        self._revision = found.revision
        age_s = found.age_s + clock.boot_s() - received_s
        self._record_sync(source, age_s)
        self.cache.apply_changes(found)
        apply()
        if not all(change.name for change in found.changes):
            # The listing tells which objects are still readable.
            self._revision = None
        return True

    def _interval_s(self, source: watch_sources.Source) -> float:
        return max(self._pause_s(), source.pause_s)

    def _forget_state(self, revision: int | None) -> None:
        if self._revision != revision:
            # Another source has answered meanwhile.
            return
        LOG.info('history gone', extra={'kind': self.kind})
        self._revision = None
        # Relays relist at the same time; listing from them costs the store
        # nothing.
        self._schedule.relays.reset()
        self._handler.on_unavailable()

    async def _handle_failure(
        self, source: watch_sources.Source, error: Exception, asked_s: float
    ) -> None:
        self._schedule.relays.record_failure(time.monotonic())
        if source.is_store:
            pause_s = self._record_store_failure(source, error, asked_s)
            await anyio.sleep(pause_s)
            return
        LOG.info('relay lost', extra=self._log_fields(source, asked_s, error))
        await anyio.sleep(self._schedule.relay_retry_pause_s(time.monotonic()))

    def _record_store_failure(
        self, source: watch_sources.Source, error: Exception, asked_s: float
    ) -> float:
        """Return the pause of a node that has no relay to ask meanwhile."""
        self._handler.on_unavailable()
        fields = self._log_fields(source, asked_s, error)
        if self._schedule.store.is_down:
            LOG.info('store still lost', extra=fields)
        else:
            LOG.warning('store lost', extra=fields)
        return self._schedule.store.record_failure(time.monotonic())

    def _log_fields(
        self,
        source: watch_sources.Source,
        asked_s: float,
        error: Exception | None = None,
    ) -> dict[str, str | float]:
        fields: dict[str, str | float] = {
            'kind': self.kind,
            'source': source.name,
            'age_s': round(self.age_s, 2),
            'took_s': round(time.monotonic() - asked_s, 2),
        }
        if error is not None:
            fields['error'] = str(error)
        return fields

    def _record_sync(self, source: watch_sources.Source, age_s: float) -> None:
        LOG.debug(
            'answered',
            extra={
                'kind': self.kind,
                'source': source.name,
                'age_s': round(self.age_s, 2),
            },
        )
        self._synced_s = max(self._synced_s, clock.boot_s() - age_s)
        if self.age_s < source.max_age_s:
            self._refresh_scope.cancel()
        until_next_s = source.wait_s + self._interval_s(source)
        self.cache.record_sync(until_next_s, source.is_store)
        if age_s > source.max_age_s:
            # A relay that has lost the store itself.
            return
        if self._schedule.store.is_down:
            LOG.info('store is back', extra={'kind': self.kind})
        self._schedule.store.record_answer()
