"""Supplies routing with the contents of the engines' prefix caches.

Rendezvous hashing assigns each replica to one entry of its region, which reads
its cache events and publishes a summary on the news bus. Which events are
read and what is published is decided in routing.cache_follower and
routing.cache_summary.
"""

import json
import math
from collections import abc as collections_abc

import anyio

from redwingvalve.configuration import snapshot
from redwingvalve.entry import dependencies, replica_selection, upstream
from redwingvalve.evidence import probe_reports
from redwingvalve.membership import rendezvous
from redwingvalve.news import bus
from redwingvalve.routing import (
    cache_follower,
    cache_summary,
    cache_summary_reader,
    policy,
)

POLL_INTERVAL_S = 0.5
MERGE_INTERVAL_S = 2.0
PUBLISH_INTERVAL_S = 5.0
REPUBLISH_INTERVAL_S = 10.0
FETCH_TIMEOUT_S = 0.5
# Approximate size of the request and the response head.
OVERHEAD_BYTES = 400
REPLICAS_PER_ITEM = 200
ENTRY_ROLE = 'entry'
EVENTS_PATH = '/cache-events'
CHANNEL = bus.Channel(
    name='cache',
    scope=bus.Scope.REGION,
    max_age_s=25.0,
    max_item_bytes=8192,
)
FETCH_ERRORS = (upstream.UpstreamError, ValueError, LookupError, TypeError)


class PrefixCacheSync:
    """Reads and publishes cache contents; start run as a background task."""

    def __init__(
        self,
        entry_dependencies: dependencies.EntryDependencies,
        selector: replica_selection.ReplicaSelector,
    ) -> None:
        """Update the routing policies of selector."""
        self._dependencies = entry_dependencies
        self._selector = selector
        self._follower = cache_follower.make_cache_follower()
        self._reader = cache_summary_reader.make_summary_reader()
        self._replicas: dict[str, snapshot.Replica] = {}
        self._names_by_fingerprint: dict[bytes, str] = {}
        self._assigned_replicas: tuple[str, ...] = ()
        self._assigned_for: tuple[object, ...] = ()
        self._merged_s = -math.inf
        self._published: dict[str, bytes] = {}
        self._published_s = -math.inf
        self._republished_s = -math.inf

    async def run(self) -> None:
        """Run a step periodically until cancelled."""
        while True:
            await self.step()
            await self._dependencies.clock.sleep(POLL_INTERVAL_S)

    async def step(self) -> None:
        """Read events within the budget, publish, and merge other entries'."""
        self._assign_replicas()
        fetch = self._follower.next_fetch(
            self._dependencies.clock.monotonic_s()
        )
        while fetch is not None:
            await self._read_replica(fetch)
            fetch = self._follower.next_fetch(
                self._dependencies.clock.monotonic_s()
            )
        now_s = self._dependencies.clock.monotonic_s()
        if now_s - self._published_s >= PUBLISH_INTERVAL_S:
            self._published_s = now_s
            self._publish_summaries(now_s)
        if now_s - self._merged_s >= MERGE_INTERVAL_S:
            self._merged_s = now_s
            self._merge_news()

    def _assign_replicas(self) -> None:
        """Recompute the replicas assigned to this entry, but only on changes.

        With 480 replicas and 72 entries, hashing all pairs takes 30 ms. Twice
        a second, that would be five times the processor time that a node may
        use.
        """
        local_member = self._dependencies.members.local_member()
        names = frozenset(
            member.name
            for member in self._dependencies.members.alive(ENTRY_ROLE)
            if member.region == local_member.region
        ) | {local_member.name}
        current = self._dependencies.source.current()
        if self._assigned_for == (current.version, names):
            return
        self._assigned_for = (current.version, names)
        self._replicas = {
            replica.name: replica
            for replica in current.replicas
            if replica.serving and self._is_in_region(replica)
        }
        self._names_by_fingerprint = {
            probe_reports.fingerprint_of(replica): name
            for name, replica in self._replicas.items()
        }
        self._assigned_replicas = tuple(
            name
            for name in self._replicas
            if rendezvous.select(names, name, 1) == (local_member.name,)
        )
        self._follower.follow(
            {
                name: self._replicas[name].epoch
                for name in self._assigned_replicas
            }
        )

    async def _read_replica(self, fetch: cache_follower.Fetch) -> None:
        replica = self._replicas[fetch.name]
        now_s = self._dependencies.clock.monotonic_s()
        if not self._selector.may_serve(replica, now_s):
            self._follower.failed(fetch, now_s)
            return
        with anyio.move_on_after(FETCH_TIMEOUT_S):
            try:
                body = await self._fetch(replica, fetch.after)
                events = read_events(body)
            except FETCH_ERRORS:
                self._follower.failed(fetch, now_s)
                return
            self._follower.record_page(
                fetch, events, len(body) + OVERHEAD_BYTES, now_s
            )
            return
        self._follower.failed(fetch, now_s)

    async def _fetch(self, replica: snapshot.Replica, after: int) -> bytes:
        response = await self._dependencies.upstream.send(
            upstream.UpstreamRequest(
                address=replica.members[0].address,
                method='GET',
                path=f'{EVENTS_PATH}?after={after}',
                headers=(),
                body=b'',
                request_id='',
                timeout_s=FETCH_TIMEOUT_S,
            )
        )
        try:
            return b''.join([chunk async for chunk in response.chunks])
        finally:
            with anyio.CancelScope(shield=True):
                await self._dependencies.upstream.release(response)

    def _publish_summaries(self, now_s: float) -> None:
        summaries = [
            cache_summary.make_summary(
                probe_reports.fingerprint_of(self._replicas[name]),
                self._follower,
                name,
                self._selector.prefix_popularity,
                now_s,
            )
            for name in self._assigned_replicas
        ]
        items = {
            str(start): cache_summary.encode(
                summaries[start : start + REPLICAS_PER_ITEM]
            )
            for start in range(0, len(summaries), REPLICAS_PER_ITEM)
        }
        republish = now_s - self._republished_s >= REPUBLISH_INTERVAL_S
        if republish:
            self._republished_s = now_s
        self._publish_items(items, republish=republish)

    def _publish_items(
        self, items: dict[str, bytes], *, republish: bool
    ) -> None:
        for removed in self._published.keys() - items.keys():
            self._dependencies.news.publish(CHANNEL, removed, b'')
        for key, body in items.items():
            if republish or self._published.get(key) != body:
                self._dependencies.news.publish(CHANNEL, key, body)
        self._published = items

    def _merge_news(self) -> None:
        summaries = {
            self._names_by_fingerprint[summary.mark]: summary
            for news in self._dependencies.news.read(CHANNEL)
            for summary in cache_summary.decode(news.body)
            if summary.mark in self._names_by_fingerprint
        }
        self._reader.apply(summaries, self._routing_policy)

    def _routing_policy(self, name: str) -> policy.RoutingPolicy | None:
        replica = self._replicas.get(name)
        if replica is None:
            return None
        return self._selector.routing(replica.deployment)

    def _is_in_region(self, replica: snapshot.Replica) -> bool:
        local_region = self._dependencies.members.local_member().region
        return not replica.region or replica.region == local_region


def read_events(
    body: bytes,
) -> collections_abc.Sequence[cache_follower.CacheEvent]:
    """Return the events of an engine's response.

    Raises ValueError, LookupError or TypeError if it is malformed.
    """
    return [
        cache_follower.CacheEvent(
            int(row['number']),
            cache_summary.short_hash(str(row['prefix_hash'])),
            row['type'] == 'stored',
        )
        for row in json.loads(body)['events']
    ]


def make_prefix_cache_sync(
    entry_dependencies: dependencies.EntryDependencies,
    selector: replica_selection.ReplicaSelector,
) -> PrefixCacheSync:
    """Return the cache synchronization of one entry."""
    return PrefixCacheSync(entry_dependencies, selector)
