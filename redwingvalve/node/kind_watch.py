"""Follows one kind of objects in the store.

Configurations and leaving endpoints must be known within seconds. What relays
say may be old; once it is too old the store itself is asked. A node that can't
reach the store either goes on with what it knows: nobody can know better.
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
# Between two tries while the store gives no answers, so that nodes that lost
# it together don't return together.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.4
# A watch that only asks what is known by now.
HURRIED_WAIT_S = 0.01
# A relay that failed is preferred again after this; one that is frozen is no
# relay any more by then, as it says nothing.
FORGIVE_S = 1.2
# Each time that it fails again, twice that, up to this: one that has lost the
# store for many seconds would cost each node behind it a call each time.
FORGIVE_MOST_S = 4.8
# Before another source is asked in place of a relay: one that is out of touch
# with the store for a moment is back within this more often than not.
RELAY_RETRY_MIN_S = 0.02
RELAY_RETRY_MAX_S = 0.15
# A relay is given so long where the store failed and knowledge is old already.
LEAST_RELAY_S = 0.25

PauseChooser: typing.TypeAlias = typing.Callable[[], float]


def no_pause() -> float:
    """Watch on at once."""
    return 0


class KindWatch:
    """Lists a kind once, then watches it, for as long as it runs."""

    def __init__(
        self,
        kind: str,
        handler: watch_handler.WatchHandler,
        choose: watch_sources.SelectSources,
        pause_s: PauseChooser = no_pause,
    ) -> None:
        """Tell the follower what the chosen sources say.

        pause_s is left between two watches, so that changes that come close
        together cost one call.
        """
        self.cache = watch_cache.WatchCache()
        self.kind = kind
        self._handler = handler
        self._choose = choose
        self._pause_s = pause_s
        self._revision: int | None = None
        self._failures = 0
        self._failed_s = 0.0
        self._forgive_s = FORGIVE_S
        self._is_lost = False
        self._is_hurried = False
        self._waiting = anyio.CancelScope()
        # When the store said what is known here, on the clock of clock.boot_s.
        self._known_s = -math.inf
        self._has_asked_store = False

    @property
    def age_s(self) -> float:
        """Return how long ago the store said what is known here."""
        return clock.boot_s() - self._known_s

    @property
    def revision(self) -> int:
        """Return the store's revision up to which all changes are known."""
        return self._revision or 0

    def refresh_now(self) -> None:
        """Ask the store now, in place of the watch that is under way."""
        self._is_hurried = True
        self._waiting.cancel()

    async def run(self) -> typing.NoReturn:
        """Follow until cancelled."""
        while True:
            source = self._next_source()
            self._has_asked_store = source.is_store
            try:
                await self._step(source)
            except store.HistoryGoneError:
                LOG.info('history gone', extra={'kind': self.kind})
                self._revision = None
                # Relays list anew at the same time, and tell it for nothing.
                self._failures = 0
                self._handler.on_unavailable()
            except store.StoreError as error:
                await self._failed(source, error)
            except (KeyError, TypeError, ValueError) as error:
                await self._failed(source, error)

    def _next_source(self) -> watch_sources.Source:
        found = self._choose()
        self._forgive()
        source = found[self._failures % len(found)]
        # Where the store has just failed, a relay may still reach it.
        if self._has_asked_store or self.age_s <= source.max_age_s:
            return source
        if self._revision is not None:
            LOG.info(
                'relays too old',
                extra={'kind': self.kind, 'age_s': round(self.age_s, 2)},
            )
        return next(one for one in found if one.is_store)

    async def _step(self, source: watch_sources.Source) -> None:
        if self._revision is None:
            listing = await source.client.list_kind(self.kind)
            self._revision = listing.revision
            self._found(source, listing.age_s)
            self.cache.apply_listing(listing)
            self._handler.on_list(listing.objects)
            return
        wait_s = HURRIED_WAIT_S if self._is_hurried else source.wait_s
        self._waiting = anyio.CancelScope(deadline=self._deadline_s(source))
        with self._waiting:
            found = await source.client.watch(self.kind, self._revision, wait_s)
            self._is_hurried = False
            self._take(found, source)
            self._waiting.deadline = math.inf
            await anyio.sleep(self._rest_s(source))
        if self._waiting.cancelled_caught and not self._is_hurried:
            raise store.StoreError('nothing new in time')

    def _deadline_s(self, source: watch_sources.Source) -> float:
        """Return until when an answer of a source is waited for."""
        left_s = max(source.max_age_s - self.age_s, LEAST_RELAY_S)
        return anyio.current_time() + left_s

    def _take(self, found: store.Changes, source: watch_sources.Source) -> None:
        self._revision = found.revision
        self._found(source, found.age_s)
        self.cache.apply_changes(found)
        self._handler.on_changes(found.changes)

    def _rest_s(self, source: watch_sources.Source) -> float:
        return max(self._pause_s(), source.pause_s)

    def _forgive(self) -> None:
        """Go back to the preferred source some time after a failure."""
        if time.monotonic() - self._failed_s > self._forgive_s:
            self._failures = 0

    async def _failed(
        self, source: watch_sources.Source, error: Exception
    ) -> None:
        now_s = time.monotonic()
        if not self._failures:
            is_again = now_s - self._failed_s < 2 * self._forgive_s
            longer_s = min(2 * self._forgive_s, FORGIVE_MOST_S)
            self._forgive_s = longer_s if is_again else FORGIVE_S
        self._failures += 1
        self._failed_s = now_s
        if not source.is_store:
            LOG.info(
                'relay lost', extra={'kind': self.kind, 'error': str(error)}
            )
            pause_s = random.uniform(RELAY_RETRY_MIN_S, RELAY_RETRY_MAX_S)
            await anyio.sleep(pause_s)
            return
        self._handler.on_unavailable()
        if not self._is_lost:
            LOG.warning(
                'store lost', extra={'kind': self.kind, 'error': str(error)}
            )
        self._is_lost = True
        await anyio.sleep(random.uniform(RETRY_MIN_S, RETRY_MAX_S))

    def _found(self, source: watch_sources.Source, age_s: float) -> None:
        self._known_s = max(self._known_s, clock.boot_s() - age_s)
        until_next_s = source.wait_s + self._rest_s(source)
        self.cache.heard(until_next_s, source.is_store)
        if self._is_lost:
            LOG.info('store is back', extra={'kind': self.kind})
        self._is_lost = False
