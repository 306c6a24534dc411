"""The configuration in force on this process, from the store and from peers.

A few members of each data centre watch the store; the others hear of higher
versions on exchanges and fetch the records they lack from whoever has them.
Without the store, and after a restart, the newest versions known to any peer
count.
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
DUTY = 'configuration-watch'
# How often a member looks whether watching is its duty; a data centre whose
# watchers have died has new ones this long after they are known to be dead.
DUTY_INTERVAL_S = 0.5
# Changes that follow each other closely are decoded, said and passed on as
# one: a plan that touches a hundred objects costs a node some snapshots and
# not a hundred. Small beside the 4 s in which a change is to be in force.
TELL_INTERVAL_S = 0.1


class GossipConfiguration(snapshot.ConfigurationSource):
    """Configuration that only rises; news of it rides on exchanges."""

    def __init__(
        self,
        present: gossip.GossipMembers,
        news: bus.NewsBus,
        caller: rpc.PeerCaller,
        timers: clock.Clock,
        decoder: decoding.Decoder,
        switches: invariants.SafeguardSwitches | None = None,
    ) -> None:
        """Start with nothing in force, at version 0."""
        self.table = records.make_record_table(switches)
        self.reports = reporting.VersionReports(
            self.table, present, news, caller, timers
        )
        self.fetcher = fetching.RecordFetcher(
            self.table, present, caller, self._changed
        )
        self.watch: store_watch.StoreWatch | None = None
        self._members = present
        self._clock = timers
        self._decoder = decoder
        self._current = snapshot.Snapshot(version=0)
        self._outdated = False
        self._told = anyio.Event()
        self._listeners: list[collections_abc.Callable[[], None]] = []

    def current(self) -> snapshot.Snapshot:
        """Return the newest snapshot this process knows."""
        if self._outdated:
            self._outdated = False
            self._current = self._newer()
        return self._current

    def ready(self) -> bool:
        """Tell whether any configuration has been found."""
        return self.current().version > 0

    def add_listener(
        self, listener: collections_abc.Callable[[], None]
    ) -> None:
        """Call listener after each change."""
        self._listeners.append(listener)

    async def in_force(self, kind: str, version: int) -> in_force.InForce:
        """Tell whether a version is in force, asking each region once."""
        return await self.reports.ask_all(kind, version)

    def watch_store(
        self, objects: object_api.ObjectApi, randomness: random.Random
    ) -> None:
        """Watch objects whenever that is this process's duty."""
        self.watch = store_watch.StoreWatch(
            objects, self.table, self._decoder, self._clock, randomness
        )
        self.watch.notify(self._changed, self._members.confirm_connectivity)

    def observe(self, stored: object_api.StoredObject) -> None:
        """Take a fabric domain that this process has read or written.

        Controllers see each domain of their region at least each 2.5 s; what
        they pass on need not be watched by two members of each data centre.
        """
        if stored.kind != records.FABRIC_DOMAINS:
            return
        held = self.table.held(stored.kind, stored.name)
        record = self._decoder.to_record(stored, held)
        if record is None or not self.table.take(record):
            return
        self.table.complete({record.group: record.version})
        self._changed()

    async def run(self) -> None:
        """Watch, fetch and report until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.fetcher.run)
            group.start_soon(self.reports.run)
            group.start_soon(self._run_telling)
            if self.watch is not None:
                group.start_soon(self._run_duty, self.watch)

    async def _run_duty(self, watch: store_watch.StoreWatch) -> None:
        while True:
            if not self._on_duty():
                await self._clock.sleep(DUTY_INTERVAL_S)
                continue
            async with anyio.create_task_group() as group:
                group.start_soon(watch.run)
                while self._on_duty():
                    await self._clock.sleep(DUTY_INTERVAL_S)
                group.cancel_scope.cancel()

    def _on_duty(self) -> bool:
        # One that hears nobody must find out by itself: the watchers that it
        # would choose may be the ones that it can't hear.
        if self._members.isolated():
            return True
        me = self._members.local_member()
        present = [
            member.name
            for member in self._members.known()
            if member.data_centre == me.data_centre
            and member.state is members.MemberState.ALIVE
        ]
        chosen = rendezvous.select(present, DUTY, WATCHERS_PER_DATA_CENTRE)
        return me.name in chosen

    async def _run_telling(self) -> None:
        """Tell of changes, a burst of them at once."""
        while True:
            await self._told.wait()
            self._told = anyio.Event()
            self.current()
            self.reports.say()
            self._members.trigger_urgent_round()
            for listener in self._listeners:
                listener()
            await self._clock.sleep(TELL_INTERVAL_S)

    def _changed(self) -> None:
        self._outdated = True
        self._told.set()

    def _newer(self) -> snapshot.Snapshot:
        highest = max(self.table.versions().values(), default=0)
        # Kinds are watched side by side, so that a lower version of another
        # kind may arrive last; it still makes a snapshot of its own.
        version = max(self._current.version + 1, highest)
        newer = self._decoder.to_snapshot(
            self.table, self._members.local_member().region, version
        )
        invariants.require(
            newer.version > self._current.version,
            'configuration never reverts',
            f'{newer.version} after {self._current.version}',
        )
        return newer


def make_gossip_configuration(
    present: gossip.GossipMembers,
    news: bus.NewsBus,
    caller: rpc.PeerCaller,
    timers: clock.Clock,
    replicas_of: decoding.DomainDecoder = decoding.no_replicas,
    switches: invariants.SafeguardSwitches | None = None,
) -> GossipConfiguration:
    """Return a source; its fetcher is not yet a rider of present."""
    return GossipConfiguration(
        present, news, caller, timers, decoding.Decoder(replicas_of), switches
    )
