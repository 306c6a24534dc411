"""Feeds routing with what engines say of their prefix caches.

Each replica is read by one entry of its region, by rendezvous hashing, which
tells the others on the board of news; what is told and believed is decided in
routing.cache_follower and routing.cache_summary.
"""

import json
import math
from collections import abc as collections_abc

import anyio

from redwingvalve.configuration import snapshot
from redwingvalve.entry import dependencies, replica_choice, upstream
from redwingvalve.evidence import probe_reports
from redwingvalve.membership import rendezvous
from redwingvalve.news import bus
from redwingvalve.routing import (
    cache_follower,
    cache_summary,
    cache_summary_reader,
    policy,
)

LOOK_EVERY_S = 0.5
TAKE_IN_EVERY_S = 2.0
TELL_EVERY_S = 5.0
TELL_AGAIN_S = 10.0
FETCH_TIMEOUT_S = 0.5
# The request line and the headers of both sides, about.
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
BROKEN = (upstream.UpstreamError, ValueError, LookupError, TypeError)


class CacheWatch:
    """One entry's reading and telling; run it beside the application."""

    def __init__(
        self,
        entry_dependencies: dependencies.EntryDependencies,
        choice: replica_choice.ReplicaChoice,
    ) -> None:
        """Feed the policies of choice."""
        self._dependencies = entry_dependencies
        self._choice = choice
        self._follower = cache_follower.make_cache_follower()
        self._reader = cache_summary_reader.make_summary_reader()
        self._replicas: dict[str, snapshot.Replica] = {}
        self._marks: dict[bytes, str] = {}
        self._mine: tuple[str, ...] = ()
        self._sorted_for: tuple[object, ...] = ()
        self._taken_in_s = -math.inf
        self._told: dict[str, bytes] = {}
        self._told_s = -math.inf
        self._told_anew_s = -math.inf

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            await self.step()
            await self._dependencies.clock.sleep(LOOK_EVERY_S)

    async def step(self) -> None:
        """Read what the budget allows, tell, and take in what is told."""
        self._sort_replicas()
        fetch = self._follower.next_fetch(
            self._dependencies.clock.monotonic_s()
        )
        while fetch is not None:
            await self._read(fetch)
            fetch = self._follower.next_fetch(
                self._dependencies.clock.monotonic_s()
            )
        now_s = self._dependencies.clock.monotonic_s()
        if now_s - self._told_s >= TELL_EVERY_S:
            self._told_s = now_s
            self._tell(now_s)
        if now_s - self._taken_in_s >= TAKE_IN_EVERY_S:
            self._taken_in_s = now_s
            self._take_in()

    def _sort_replicas(self) -> None:
        """Find the replicas that fall to this entry, after any change.

        At 480 replicas and 72 entries a look at all pairs takes 30 ms, which
        twice a second would be five times what a node may spend.
        """
        myself = self._dependencies.members.local_member()
        names = frozenset(
            member.name
            for member in self._dependencies.members.alive(ENTRY_ROLE)
            if member.region == myself.region
        ) | {myself.name}
        current = self._dependencies.source.current()
        if self._sorted_for == (current.version, names):
            return
        self._sorted_for = (current.version, names)
        self._replicas = {
            replica.name: replica
            for replica in current.replicas
            if replica.serving and self._in_region(replica)
        }
        self._marks = {
            probe_reports.fingerprint_of(replica): name
            for name, replica in self._replicas.items()
        }
        self._mine = tuple(
            name
            for name in self._replicas
            if rendezvous.select(names, name, 1) == (myself.name,)
        )
        self._follower.follow(
            {name: self._replicas[name].epoch for name in self._mine}
        )

    async def _read(self, fetch: cache_follower.Fetch) -> None:
        replica = self._replicas[fetch.name]
        now_s = self._dependencies.clock.monotonic_s()
        if not self._choice.may_serve(replica, now_s):
            self._follower.failed(fetch, now_s)
            return
        with anyio.move_on_after(FETCH_TIMEOUT_S):
            try:
                body = await self._fetch(replica, fetch.after)
                events = read_events(body)
            except BROKEN:
                self._follower.failed(fetch, now_s)
                return
            self._follower.record_page(
                fetch, events, len(body) + OVERHEAD_BYTES, now_s
            )
            return
        self._follower.failed(fetch, now_s)

    async def _fetch(self, replica: snapshot.Replica, after: int) -> bytes:
        answer = await self._dependencies.upstream.send(
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
            return b''.join([chunk async for chunk in answer.chunks])
        finally:
            with anyio.CancelScope(shield=True):
                await self._dependencies.upstream.release(answer)

    def _tell(self, now_s: float) -> None:
        words = [
            cache_summary.make_summary(
                probe_reports.fingerprint_of(self._replicas[name]),
                self._follower,
                name,
                self._choice.asked,
                now_s,
            )
            for name in self._mine
        ]
        items = {
            str(start): cache_summary.encode(
                words[start : start + REPLICAS_PER_ITEM]
            )
            for start in range(0, len(words), REPLICAS_PER_ITEM)
        }
        again = now_s - self._told_anew_s >= TELL_AGAIN_S
        if again:
            self._told_anew_s = now_s
        self._publish(items, again=again)

    def _publish(self, items: dict[str, bytes], *, again: bool) -> None:
        for gone in self._told.keys() - items.keys():
            self._dependencies.news.publish(CHANNEL, gone, b'')
        for key, body in items.items():
            if again or self._told.get(key) != body:
                self._dependencies.news.publish(CHANNEL, key, body)
        self._told = items

    def _take_in(self) -> None:
        words = {
            self._marks[word.mark]: word
            for news in self._dependencies.news.read(CHANNEL)
            for word in cache_summary.decode(news.body)
            if word.mark in self._marks
        }
        self._reader.apply(words, self._routing_of)

    def _routing_of(self, name: str) -> policy.RoutingPolicy | None:
        replica = self._replicas.get(name)
        if replica is None:
            return None
        return self._choice.routing(replica.deployment)

    def _in_region(self, replica: snapshot.Replica) -> bool:
        own = self._dependencies.members.local_member().region
        return not replica.region or replica.region == own


def read_events(
    body: bytes,
) -> collections_abc.Sequence[cache_follower.CacheEvent]:
    """Return the events of an engine's answer; ValueError if malformed."""
    return [
        cache_follower.CacheEvent(
            int(row['number']),
            cache_summary.short_hash(str(row['prefix_hash'])),
            row['type'] == 'stored',
        )
        for row in json.loads(body)['events']
    ]


def make_cache_watch(
    entry_dependencies: dependencies.EntryDependencies,
    choice: replica_choice.ReplicaChoice,
) -> CacheWatch:
    """Return the watch of one entry."""
    return CacheWatch(entry_dependencies, choice)
