"""What some endpoints hold in their prefix caches, read from their events.

Load pattern: each entry knows the prefixes that it sent itself, and neither
what other entries caused elsewhere nor what a cache gave up. Without events a
hot prefix is computed again at its home although ten others hold it, and an
endpoint is preferred for what it lost.

Events are numbered, come late and with gaps. What a gap hides may have been a
removal, so each prefix is believed only while the chance that a lost event
removed it is at most DOUBT_SHARE: the events lost since it was stored over the
prefixes that the endpoint holds. A wrong belief costs one recomputed prefix.

Reading costs bytes, and an engine answers with all that it remembers: at 9
requests a second with nothing in common 144 events, 10 KB, a second. A budget
bounds what is read; an endpoint whose events outgrow it is read from a later
number, and what was skipped counts as lost.
"""

import collections
import math
import typing
from collections import abc as collections_abc

import attrs

# One wrong hint in ten costs less than the nine right ones save.
DOUBT_SHARE = 0.1
# More is not told anyway; the least lately stored go first.
MAX_HELD = 1024
# A tenth of a second of the fastest engine's events, about 7 KB of JSON.
MAX_PAGE_EVENTS = 100
MAX_SAVED_S = 2.0
RATE_STEP = 0.3


class CacheEvent(typing.NamedTuple):
    """A prefix was stored or removed; numbers rise by one."""

    number: int
    prefix_hash: str
    stored: bool


class Fetch(typing.NamedTuple):
    """Which endpoint to read, and from after which event."""

    name: str
    after: int


@attrs.frozen
class FollowerSettings:
    """Figures an operator may set; docs/operating/who-is-served.md."""

    fetch_bytes_per_s: float = 4000.0
    fetch_every_s: float = 0.5


@attrs.define(eq=False)
class _Followed:
    """One endpoint's cache; held maps a prefix to the losses before it."""

    epoch: int
    held: collections.OrderedDict[str, int] = attrs.field(
        factory=collections.OrderedDict
    )
    removed: collections.OrderedDict[str, float] = attrs.field(
        factory=collections.OrderedDict
    )
    last: int | None = None
    lost: int = 0
    doubts: int = 0
    events_per_s: float = 0.0
    read_at_s: float = -math.inf

    def take(self, event: CacheEvent, now_s: float) -> None:
        """Count one event."""
        self.held.pop(event.prefix_hash, None)
        self.removed.pop(event.prefix_hash, None)
        if event.stored:
            self.held[event.prefix_hash] = self.lost
        else:
            self.removed[event.prefix_hash] = now_s
        if len(self.held) > MAX_HELD:
            self.held.popitem(last=False)
        if len(self.removed) > MAX_HELD:
            self.removed.popitem(last=False)

    def lose(self, count: int) -> None:
        """Count events that will never be read, and drop what they doubt."""
        if count <= 0:
            return
        self.lost += count
        bearable = DOUBT_SHARE * len(self.held)
        before = len(self.held)
        for prefix_hash, lost_before in tuple(self.held.items()):
            if self.lost - lost_before > bearable:
                del self.held[prefix_hash]
        if len(self.held) * 2 < before:
            self.doubts += 1


class CacheFollower:
    """Follows the endpoints that fall to one entry."""

    def __init__(self, settings: FollowerSettings | None = None) -> None:
        """Follow nothing yet."""
        self._settings = settings or FollowerSettings()
        self._followed: dict[str, _Followed] = {}
        self._saved_bytes = 0.0
        self._saved_at_s: float | None = None

    def follow(self, epochs: collections_abc.Mapping[str, int]) -> None:
        """Follow just these endpoints; a new epoch starts with an empty cache.

        An engine that restarts takes up its replica under a new epoch only,
        so that its numbers never go on below the ones read before.
        """
        for name in self._followed.keys() - epochs.keys():
            del self._followed[name]
        for name, epoch in epochs.items():
            known = self._followed.get(name)
            if known is None or known.epoch != epoch:
                self._followed[name] = _Followed(epoch)

    def next_fetch(self, now_s: float) -> Fetch | None:
        """Return the endpoint that was read longest ago, within the budget."""
        self._save(now_s)
        name = min(self._followed, key=self._read_at_s, default=None)
        if name is None or self._saved_bytes <= 0:
            return None
        followed = self._followed[name]
        since_s = now_s - followed.read_at_s
        if since_s < self._settings.fetch_every_s:
            return None
        last = followed.last or 0
        if math.isinf(since_s):
            return Fetch(name, last)
        # An endpoint that is behind by more than a page is read from where a
        # page is left, as far as its rate tells.
        behind = int(followed.events_per_s * since_s)
        return Fetch(name, last + max(behind - MAX_PAGE_EVENTS, 0))

    def record_page(
        self,
        fetch: Fetch,
        events: collections_abc.Sequence[CacheEvent],
        read_bytes: int,
        now_s: float,
    ) -> None:
        """Take a page in: gaps in it, and before it, count as lost."""
        self._saved_bytes -= read_bytes
        followed = self._followed.get(fetch.name)
        if followed is None:
            return
        since_s = now_s - followed.read_at_s
        followed.read_at_s = now_s
        if not events:
            return
        first_number = followed.last
        if first_number is None:
            # What was stored before the first page is unknown, not held.
            followed.last = events[0].number - 1
        for event in events:
            followed.lose(event.number - followed.last - 1)
            followed.take(event, now_s)
            followed.last = event.number
        if first_number is not None and not math.isinf(since_s):
            rate = (followed.last - first_number) / max(since_s, 1e-3)
            followed.events_per_s += RATE_STEP * (rate - followed.events_per_s)

    def failed(self, fetch: Fetch, now_s: float) -> None:
        """Note that an endpoint didn't answer; it is asked again in turn."""
        followed = self._followed.get(fetch.name)
        if followed is not None:
            followed.read_at_s = now_s

    def held(self, name: str) -> collections_abc.Set[str]:
        """Return the prefixes that an endpoint is believed to hold."""
        return self._followed[name].held.keys()

    def removed(self, name: str, since_s: float) -> tuple[str, ...]:
        """Return the prefixes whose removal was read since a moment."""
        removed = self._followed[name].removed
        return tuple(key for key, at_s in removed.items() if at_s >= since_s)

    def doubts(self, name: str) -> int:
        """Return how often most of what was believed had to be given up."""
        return self._followed[name].doubts

    def _save(self, now_s: float) -> None:
        rate = self._settings.fetch_bytes_per_s
        if self._saved_at_s is None:
            self._saved_at_s = now_s - 1.0
        saved = self._saved_bytes + (now_s - self._saved_at_s) * rate
        self._saved_at_s = now_s
        self._saved_bytes = min(saved, MAX_SAVED_S * rate)

    def _read_at_s(self, name: str) -> float:
        return self._followed[name].read_at_s


def make_cache_follower(
    settings: FollowerSettings | None = None,
) -> CacheFollower:
    """Return the follower of one entry."""
    return CacheFollower(settings)
