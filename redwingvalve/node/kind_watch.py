"""Lists and watches one kind of object in the store.

Configurations and leaving endpoints must be known within seconds. Answers of
relays may be stale; once they are too old the store itself is queried. A node
that can't reach the store either continues with its last known state, as there
is no better source.
"""

import math
import random
import time
import typing

import anyio

from redwingvalve.core import clock
from redwingvalve.node import watch_cache, watch_handler, watch_sources
from redwingvalve.observability import logs
from redwingvalve.platform import store

LOG = logs.make_logger('watching')
# Delay between retries while the store doesn't answer, with jitter so that
# nodes that lost it at the same time don't return at the same time.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.4
# A node with relays queries a store that keeps failing ever more rarely: the
# store may turn away a third of the nodes for many seconds, and charges for
# each call. A first failure is retried at once, as single answers get lost.
STORE_BACKOFF_MIN_S = 0.2
STORE_BACKOFF_MAX_S = 1.6
# Interval at which relays are tried meanwhile.
RELAY_POLL_MAX_S = 0.8
# Wait of a watch that only fetches the changes so far.
REFRESH_WAIT_S = 0.01
# A relay that failed is preferred again after this time. A frozen node is no
# longer a hub by then, as it sends no status.
RELAY_BACKOFF_S = 1.2
# The backoff doubles with each repeated failure up to this limit: otherwise a
# relay that has lost the store for many seconds would cost each downstream node
# a call every time.
RELAY_BACKOFF_MAX_S = 4.8
# Delay before the next source is tried after a relay failed. A relay that has
# lost the store briefly usually recovers within this time.
RELAY_RETRY_MIN_S = 0.02
RELAY_RETRY_MAX_S = 0.15
# Least time to wait for a relay when the store has failed and the known state
# is already too old.
MIN_RELAY_TIMEOUT_S = 0.25

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
        self._failures = 0
        self._failed_s = 0.0
        self._backoff_s = RELAY_BACKOFF_S
        self._is_store_down = False
        self._store_backoff_s = 0.0
        self._store_retry_at_s = 0.0
        self._is_refresh_requested = False
        self._watch_scope = anyio.CancelScope()
        # Time of the known state at the store, on the clock of clock.boot_s.
        self._synced_s = -math.inf
        self._has_asked_store = False
        self._asked_s = 0.0

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

    async def run(self) -> typing.NoReturn:
        """List and watch until cancelled."""
        while True:
            source = self._next_source()
            self._has_asked_store = source.is_store
            self._asked_s = time.monotonic()
            try:
                await self._step(source)
            except store.HistoryGoneError:
                LOG.info('history gone', extra={'kind': self.kind})
                self._revision = None
                # Relays relist at the same time; listing from them costs the
                # store nothing.
                self._failures = 0
                self._handler.on_unavailable()
            except store.StoreError as error:
                await self._handle_failure(source, error)
            except (KeyError, TypeError, ValueError) as error:
                await self._handle_failure(source, error)

    def _next_source(self) -> watch_sources.Source:
        found = self._select_sources()
        self._reset_after_backoff()
        source = found[self._failures % len(found)]
        # If the store has just failed, a relay may still reach it.
        is_relay_enough = (
            self._has_asked_store or self.age_s <= source.max_age_s
        )
        if is_relay_enough and not source.is_store:
            return source
        relays = [one for one in found if not one.is_store]
        if relays and time.monotonic() < self._store_retry_at_s:
            return relays[self._failures % len(relays)]
        if not is_relay_enough and self._revision is not None:
            LOG.info(
                'relays too old',
                extra={'kind': self.kind, 'age_s': round(self.age_s, 2)},
            )
        return next(one for one in found if one.is_store)

    async def _step(self, source: watch_sources.Source) -> None:
        if self._revision is None:
            listing = await source.client.list_kind(self.kind)
            self._revision = listing.revision
            self._record_sync(source, listing.age_s)
            self.cache.apply_listing(listing)
            self._handler.on_list(listing.objects)
            return
        wait_s = REFRESH_WAIT_S if self._is_refresh_requested else source.wait_s
        self._watch_scope = anyio.CancelScope(deadline=self._deadline_s(source))
        with self._watch_scope:
            found = await source.client.watch(self.kind, self._revision, wait_s)
            self._is_refresh_requested = False
            self._apply(found, source)
            self._watch_scope.deadline = math.inf
            await anyio.sleep(self._interval_s(source))
        if (
            self._watch_scope.cancelled_caught
            and not self._is_refresh_requested
        ):
            raise store.StoreError('no answer before the known state expired')

    def _deadline_s(self, source: watch_sources.Source) -> float:
        """Return the deadline for an answer of a source."""
        left_s = max(source.max_age_s - self.age_s, MIN_RELAY_TIMEOUT_S)
        return anyio.current_time() + left_s

    def _apply(
        self, found: store.Changes, source: watch_sources.Source
    ) -> None:
        self._revision = found.revision
        self._record_sync(source, found.age_s)
        self.cache.apply_changes(found)
        self._handler.on_changes(found.changes)

    def _interval_s(self, source: watch_sources.Source) -> float:
        return max(self._pause_s(), source.pause_s)

    def _reset_after_backoff(self) -> None:
        """Return to the preferred source when the backoff has passed."""
        if time.monotonic() - self._failed_s > self._backoff_s:
            self._failures = 0

    async def _handle_failure(
        self, source: watch_sources.Source, error: Exception
    ) -> None:
        now_s = time.monotonic()
        if not self._failures:
            is_repeated = now_s - self._failed_s < 2 * self._backoff_s
            longer_s = min(2 * self._backoff_s, RELAY_BACKOFF_MAX_S)
            self._backoff_s = longer_s if is_repeated else RELAY_BACKOFF_S
        self._failures += 1
        self._failed_s = now_s
        if not source.is_store:
            LOG.info('relay lost', extra=self._log_fields(source, error))
            await anyio.sleep(self._relay_retry_pause_s())
            return
        self._handler.on_unavailable()
        if self._is_store_down:
            LOG.info('store still lost', extra=self._log_fields(source, error))
        else:
            LOG.warning('store lost', extra=self._log_fields(source, error))
        self._is_store_down = True
        pause_s = random.uniform(RETRY_MIN_S, RETRY_MAX_S)
        self._store_retry_at_s = now_s + max(pause_s, self._store_backoff_s)
        self._store_backoff_s = min(
            max(2 * self._store_backoff_s, STORE_BACKOFF_MIN_S),
            STORE_BACKOFF_MAX_S,
        )
        await anyio.sleep(pause_s)

    def _log_fields(
        self, source: watch_sources.Source, error: Exception | None = None
    ) -> dict[str, str | float]:
        fields: dict[str, str | float] = {
            'kind': self.kind,
            'source': source.name,
            'age_s': round(self.age_s, 2),
            'took_s': round(time.monotonic() - self._asked_s, 2),
        }
        if error is not None:
            fields['error'] = str(error)
        return fields

    def _relay_retry_pause_s(self) -> float:
        pause_s = random.uniform(RELAY_RETRY_MIN_S, RELAY_RETRY_MAX_S)
        if not self._is_store_down:
            return pause_s
        until_store_s = self._store_retry_at_s - time.monotonic()
        return min(max(until_store_s, pause_s), RELAY_POLL_MAX_S)

    def _record_sync(self, source: watch_sources.Source, age_s: float) -> None:
        LOG.debug('answered', extra=self._log_fields(source))
        self._synced_s = max(self._synced_s, clock.boot_s() - age_s)
        until_next_s = source.wait_s + self._interval_s(source)
        self.cache.record_sync(until_next_s, source.is_store)
        if self._is_store_down:
            LOG.info('store is back', extra={'kind': self.kind})
        self._is_store_down = False
        self._store_backoff_s = 0.0
        self._store_retry_at_s = 0.0
