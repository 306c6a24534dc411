"""The configuration in force on this process, from the store and from peers.

A few members of each data centre watch the store. The others learn of newer
versions from gossip exchanges and fetch the records from peers. While the
store is unavailable, and after a restart, a process uses the newest versions
that any peer has.
"""

import random
from collections import abc as collections_abc

import anyio

from redwingvalve.configuration import (
    decoding,
    fetching,
    in_force,
    records,
    reporting,
    snapshot,
    store_watch,
)
from redwingvalve.core import clock, invariants
from redwingvalve.membership import gossip, members, rendezvous
from redwingvalve.news import bus
from redwingvalve.platform_api import object_api
from redwingvalve.wire import rpc

WATCHERS_PER_DATA_CENTRE = 2
WATCH_DUTY = 'configuration-watch'
# How often a member checks whether it has to watch the store. A data centre
# has new watchers this long after its old ones are known to be dead.
WATCHER_CHECK_INTERVAL_S = 0.5
# Changes within this interval are decoded, published and gossiped as one, so
# that a plan that writes a hundred objects costs a node a few snapshots and
# not a hundred. Short against the 4 s within which a change has to be in force.
NOTIFY_INTERVAL_S = 0.1


class GossipConfiguration(snapshot.ConfigurationSource):
    """Configuration whose versions only increase; spread by gossip."""

    def __init__(
        self,
        present: gossip.GossipMembers,
        news: bus.NewsBus,
        caller: rpc.PeerCaller,
        timers: clock.Clock,
        decoder: decoding.Decoder,
        switches: invariants.SafeguardSwitches | None = None,
    ) -> None:
        """Start with an empty snapshot of version 0."""
        self.table = records.make_record_table(switches)
        self.reports = reporting.VersionReports(
            self.table, present, news, caller, timers
        )
        self.fetcher = fetching.RecordFetcher(
            self.table, present, caller, self._on_change
        )
        self.watch: store_watch.StoreWatch | None = None
        self._members = present
        self._clock = timers
        self._decoder = decoder
        self._current = snapshot.Snapshot(version=0)
        self._outdated = False
        self._change_event = anyio.Event()
        self._listeners: list[collections_abc.Callable[[], None]] = []

    def current(self) -> snapshot.Snapshot:
        """Return the newest snapshot of this process."""
        if self._outdated:
            self._outdated = False
            self._current = self._next_snapshot()
        return self._current

    def ready(self) -> bool:
        """Tell whether there is any configuration yet."""
        return self.current().version > 0

    def add_listener(
        self, listener: collections_abc.Callable[[], None]
    ) -> None:
        """Call listener after each change."""
        self._listeners.append(listener)

    async def in_force(self, kind: str, version: int) -> in_force.InForce:
        """Check in each region whether a version is in force."""
        return await self.reports.check_all_regions(kind, version)

    def watch_store(
        self, objects: object_api.ObjectApi, rng: random.Random
    ) -> None:
        """Watch objects while this process is one of the watchers."""
        self.watch = store_watch.StoreWatch(
            objects, self.table, self._decoder, self._clock, rng
        )
        self.watch.set_callbacks(
            self._on_change, self._members.confirm_connectivity
        )

    def observe(self, stored: object_api.StoredObject) -> None:
        """Apply a fabric domain that this process has read or written.

        Controllers read each domain of their region at least every 2.5 s.
        What they pass on need not be watched by two members of each data
        centre as well.
        """
        if stored.kind != records.FABRIC_DOMAINS:
            return
        existing = self.table.get(stored.kind, stored.name)
        record = self._decoder.to_record(stored, existing)
        if record is None or not self.table.apply(record):
            return
        self.table.complete({record.group: record.version})
        self._on_change()

    async def run(self) -> None:
        """Watch, fetch and publish until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.fetcher.run)
            group.start_soon(self.reports.run)
            group.start_soon(self._run_notifications)
            if self.watch is not None:
                group.start_soon(self._run_watch, self.watch)

    async def _run_watch(self, watch: store_watch.StoreWatch) -> None:
        while True:
            if not self._is_watcher():
                await self._clock.sleep(WATCHER_CHECK_INTERVAL_S)
                continue
            async with anyio.create_task_group() as group:
                group.start_soon(watch.run)
                while self._is_watcher():
                    await self._clock.sleep(WATCHER_CHECK_INTERVAL_S)
                group.cancel_scope.cancel()

    def _is_watcher(self) -> bool:
        # An isolated process has to watch the store itself, since the chosen
        # watchers may be the members that it can't reach.
        if self._members.isolated():
            return True
        local_member = self._members.local_member()
        present = [
            member.name
            for member in self._members.known()
            if member.data_centre == local_member.data_centre
            and member.state is members.MemberState.ALIVE
        ]
        chosen = rendezvous.select(
            present, WATCH_DUTY, WATCHERS_PER_DATA_CENTRE
        )
        return local_member.name in chosen

    async def _run_notifications(self) -> None:
        """Publish changes and call the listeners, once per burst of changes."""
        while True:
            await self._change_event.wait()
            self._change_event = anyio.Event()
            self.current()
            self.reports.publish()
            self._members.trigger_urgent_round()
            for listener in self._listeners:
                listener()
            await self._clock.sleep(NOTIFY_INTERVAL_S)

    def _on_change(self) -> None:
        self._outdated = True
        self._change_event.set()

    def _next_snapshot(self) -> snapshot.Snapshot:
        highest = max(self.table.versions().values(), default=0)
        # Kinds are watched concurrently, so a lower version of another kind
        # may arrive last. It has to result in a new snapshot as well.
        version = max(self._current.version + 1, highest)
        next_snapshot = self._decoder.to_snapshot(
            self.table, self._members.local_member().region, version
        )
        invariants.require(
            next_snapshot.version > self._current.version,
            'configuration never reverts',
            f'{next_snapshot.version} after {self._current.version}',
        )
        return next_snapshot


def make_gossip_configuration(
    present: gossip.GossipMembers,
    news: bus.NewsBus,
    caller: rpc.PeerCaller,
    timers: clock.Clock,
    decode_replicas: decoding.DomainDecoder = decoding.no_replicas,
    switches: invariants.SafeguardSwitches | None = None,
) -> GossipConfiguration:
    """Return a source; its fetcher has yet to be added as a delegate."""
    return GossipConfiguration(
        present,
        news,
        caller,
        timers,
        decoding.Decoder(decode_replicas),
        switches,
    )
