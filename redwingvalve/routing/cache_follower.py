"""Follows the prefix caches of some endpoints by their events.

Load pattern: an entry knows the prefixes that it sent itself, but neither those
that other entries sent elsewhere nor those that a cache evicted. Without the
events, a hot prefix is computed again at its home although ten other endpoints
hold it, and an endpoint is preferred for a prefix that it has evicted.

Events are numbered and arrive late and with gaps. A lost event may have been a
removal, so a prefix is considered held only while the probability that a lost
event removed it is at most MAX_REMOVAL_PROBABILITY: the events lost since it
was stored divided by the number of prefixes that the endpoint holds. A wrong
assumption costs one recomputed prefix.

Reading costs bytes, and an engine responds with all events that it keeps: at 9
requests a second without common prefixes, 144 events or 10 KB a second. The
bytes read are limited by a budget; an endpoint with more events is read from a
later number, and skipped events count as lost.
"""

import collections
import math
import typing
from collections import abc as collections_abc

import attrs

# One wrong hint in ten costs less than nine correct ones save.
MAX_REMOVAL_PROBABILITY = 0.1
# Summaries contain fewer; the prefixes stored longest ago are dropped first.
MAX_HELD_PREFIXES = 1024
# A tenth of a second of the fastest engine's events, about 7 KB of JSON.
MAX_PAGE_EVENTS = 100
MAX_BUDGET_S = 2.0
RATE_AVERAGE_STEP = 0.3


class CacheEvent(typing.NamedTuple):
    """A prefix was stored or removed; numbers increase by one."""

    number: int
    prefix_hash: str
    stored: bool


class Fetch(typing.NamedTuple):
    """An endpoint to read, and the event number after which to start."""

    name: str
    after: int


@attrs.frozen
class FollowerSettings:
    """Settings for operators; see docs/operating/who-is-served.md."""

    fetch_bytes_per_s: float = 4000.0
    fetch_every_s: float = 0.5


@attrs.define(eq=False)
class _EndpointCache:
    """Cache of one endpoint; held maps prefixes to the lost events before."""

    epoch: int
    held: collections.OrderedDict[str, int] = attrs.field(
        factory=collections.OrderedDict
    )
    removed: collections.OrderedDict[str, float] = attrs.field(
        factory=collections.OrderedDict
    )
    last: int | None = None
    lost: int = 0
    invalidations: int = 0
    events_per_s: float = 0.0
    read_at_s: float = -math.inf

    def apply(self, event: CacheEvent, now_s: float) -> None:
        """Apply one event."""
        self.held.pop(event.prefix_hash, None)
        self.removed.pop(event.prefix_hash, None)
        if event.stored:
            self.held[event.prefix_hash] = self.lost
        else:
            self.removed[event.prefix_hash] = now_s
        if len(self.held) > MAX_HELD_PREFIXES:
            self.held.popitem(last=False)
        if len(self.removed) > MAX_HELD_PREFIXES:
            self.removed.popitem(last=False)

    def record_lost(self, count: int) -> None:
        """Count lost events and drop the prefixes that became too uncertain."""
        if count <= 0:
            return
        self.lost += count
        max_lost = MAX_REMOVAL_PROBABILITY * len(self.held)
        before = len(self.held)
        for prefix_hash, lost_when_stored in tuple(self.held.items()):
            if self.lost - lost_when_stored > max_lost:
                del self.held[prefix_hash]
        if len(self.held) * 2 < before:
            self.invalidations += 1


class CacheFollower:
    """Follows the endpoints that are assigned to one entry."""

    def __init__(self, settings: FollowerSettings | None = None) -> None:
        """Start without endpoints."""
        self._settings = settings or FollowerSettings()
        self._caches: dict[str, _EndpointCache] = {}
        self._budget_bytes = 0.0
        self._refilled_at_s: float | None = None

    def follow(self, epochs: collections_abc.Mapping[str, int]) -> None:
        """Follow exactly these endpoints; a new epoch starts empty.

        A restarted engine serves its replica under a new epoch only, so event
        numbers never continue below those already read.
        """
        for name in self._caches.keys() - epochs.keys():
            del self._caches[name]
        for name, epoch in epochs.items():
            known = self._caches.get(name)
            if known is None or known.epoch != epoch:
                self._caches[name] = _EndpointCache(epoch)

    def next_fetch(self, now_s: float) -> Fetch | None:
        """Return the endpoint read longest ago, if the budget allows a read."""
        self._refill_budget(now_s)
        name = min(self._caches, key=self._read_at_s, default=None)
        if name is None or self._budget_bytes <= 0:
            return None
        cache = self._caches[name]
        since_s = now_s - cache.read_at_s
        if since_s < self._settings.fetch_every_s:
            return None
        last = cache.last or 0
        if math.isinf(since_s):
            return Fetch(name, last)
        # If more than a page of events is outstanding, by the event rate, only
        # the last page is read.
        behind = int(cache.events_per_s * since_s)
        return Fetch(name, last + max(behind - MAX_PAGE_EVENTS, 0))

    def record_page(
        self,
        fetch: Fetch,
        events: collections_abc.Sequence[CacheEvent],
        read_bytes: int,
        now_s: float,
    ) -> None:
        """Apply a page of events; gaps in it and before it count as lost."""
        self._budget_bytes -= read_bytes
        cache = self._caches.get(fetch.name)
        if cache is None:
            return
        since_s = now_s - cache.read_at_s
        cache.read_at_s = now_s
        if not events:
            return
        previous = cache.last
        if previous is None:
            # Prefixes stored before the first page are unknown, not held.
            cache.last = events[0].number - 1
        for event in events:
            cache.record_lost(event.number - cache.last - 1)
            cache.apply(event, now_s)
            cache.last = event.number
        if previous is not None and not math.isinf(since_s):
            rate = (cache.last - previous) / max(since_s, 1e-3)
            cache.events_per_s += RATE_AVERAGE_STEP * (
                rate - cache.events_per_s
            )

    def failed(self, fetch: Fetch, now_s: float) -> None:
        """Record a failed read; the endpoint is read again in turn."""
        cache = self._caches.get(fetch.name)
        if cache is not None:
            cache.read_at_s = now_s

    def held(self, name: str) -> collections_abc.Set[str]:
        """Return the prefixes that an endpoint is assumed to hold."""
        return self._caches[name].held.keys()

    def removed(self, name: str, since_s: float) -> tuple[str, ...]:
        """Return the prefixes whose removal was read at or after since_s."""
        removed = self._caches[name].removed
        return tuple(key for key, at_s in removed.items() if at_s >= since_s)

    def invalidations(self, name: str) -> int:
        """Return how often more than half of the prefixes were dropped."""
        return self._caches[name].invalidations

    def _refill_budget(self, now_s: float) -> None:
        rate = self._settings.fetch_bytes_per_s
        if self._refilled_at_s is None:
            self._refilled_at_s = now_s - 1.0
        budget_bytes = self._budget_bytes + (now_s - self._refilled_at_s) * rate
        self._refilled_at_s = now_s
        self._budget_bytes = min(budget_bytes, MAX_BUDGET_S * rate)

    def _read_at_s(self, name: str) -> float:
        return self._caches[name].read_at_s


def make_cache_follower(
    settings: FollowerSettings | None = None,
) -> CacheFollower:
    """Return the follower of one entry."""
    return CacheFollower(settings)
