"""Cache events in the request-path bench, on the way that daemons take.

Each replica is read by one entry, half a second late by the rhythm of
reports, and one event in ten is lost; what the reader believes is told to all
entries every five seconds and arrives half a second later.
"""

import itertools
from collections import abc as collections_abc

from redwingvalve.bench import request_path_entries as entries
from redwingvalve.bench import request_path_replicas as replicas
from redwingvalve.routing import (
    cache_follower,
    cache_summary,
    cache_summary_reader,
)

LOST_EVENT = 10
TELL_EVERY_S = 5.0
NEWS_LAG_S = 0.5
EVENT_BYTES = 70
PAGE_BYTES = 400

Words = dict[str, cache_summary.CacheSummary]


class CacheSpread:
    """Every entry's follower and reader."""

    def __init__(
        self,
        fleet: collections_abc.Mapping[str, replicas.ReplicaModel],
        all_entries: collections_abc.Sequence[entries.EntryModel],
    ) -> None:
        """Share the replicas out among the entries."""
        self._fleet = fleet
        self._entries = all_entries
        self._readers = [
            cache_summary_reader.make_summary_reader() for _ in all_entries
        ]
        self._followers = [
            cache_follower.make_cache_follower() for _ in all_entries
        ]
        self._pages: dict[str, list[cache_follower.CacheEvent]] = {
            name: [] for name in fleet
        }
        self._numbers = {name: itertools.count(1) for name in fleet}
        self._told_s = 0.0
        self._on_the_way: list[tuple[float, Words]] = []

    def step(self, now_s: float) -> None:
        """Read, tell and take in."""
        for replica in self._fleet.values():
            self._publish(replica)
        for place, follower in enumerate(self._followers):
            follower.follow({name: 0 for name in self._mine(place)})
            self._read(follower, now_s)
        if now_s - self._told_s >= TELL_EVERY_S:
            self._told_s = now_s
            self._on_the_way.append((now_s + NEWS_LAG_S, self._words(now_s)))
        while self._on_the_way and self._on_the_way[0][0] <= now_s:
            (_, words) = self._on_the_way.pop(0)
            for reader, entry in zip(self._readers, self._entries, strict=True):
                reader.apply(words, lambda _, one=entry: one.routing)

    def _publish(self, replica: replicas.ReplicaModel) -> None:
        for event in replica.cache_events:
            number = next(self._numbers[replica.name])
            if number % LOST_EVENT:
                self._pages[replica.name].append(
                    cache_follower.CacheEvent(
                        number, entries.prefix_name(event.prefix), event.stored
                    )
                )
        replica.cache_events.clear()

    def _mine(self, place: int) -> list[str]:
        live = [name for name, one in self._fleet.items() if one.alive]
        return live[place :: len(self._entries)]

    def _read(
        self, follower: cache_follower.CacheFollower, now_s: float
    ) -> None:
        fetch = follower.next_fetch(now_s)
        while fetch is not None:
            page = [
                event
                for event in self._pages[fetch.name]
                if event.number > fetch.after
            ]
            self._pages[fetch.name].clear()
            size = PAGE_BYTES + EVENT_BYTES * len(page)
            follower.record_page(fetch, page, size, now_s)
            fetch = follower.next_fetch(now_s)

    def _words(self, now_s: float) -> Words:
        return {
            name: cache_summary.make_summary(
                name.encode(), follower, name, entry.asked, now_s
            )
            for place, (follower, entry) in enumerate(
                zip(self._followers, self._entries, strict=True)
            )
            for name in self._mine(place)
        }
