"""Probes the replicas that fall to this entry and shares what it finds.

Load pattern: 2,400 replicas of 4 VMs, probed by PROBERS entries each, each
PROBE_EVERY_S. Were every entry to probe every VM, each VM would answer
hundreds of probes a second; with one prober alone, its pause would stop a
replica that serves well.
"""

import json

import anyio

from redwingvalve.configuration import snapshot
from redwingvalve.core import clock
from redwingvalve.evidence import findings_wire, table
from redwingvalve.membership import members as members_module
from redwingvalve.membership import rendezvous
from redwingvalve.news import board
from redwingvalve.platform_api import engine_orders

PROBERS = 2
PROBE_EVERY_S = 0.7
PROBE_TIMEOUT_S = 0.6
PARALLEL_PROBES = 64
ENTRY_ROLE = 'entry'
STOPPED_CHANNEL = board.Channel(
    name='stopped',
    reach=board.Reach.REGION,
    max_age_s=30.0,
    max_item_bytes=512,
)


class Prober:
    """One entry's share of the probing."""

    def __init__(
        self,
        evidence: table.EvidenceTable,
        configuration: snapshot.ConfigurationSource,
        members: members_module.Members,
        news: board.NewsBoard,
        orders: engine_orders.EngineOrders,
        time_source: clock.Clock,
    ) -> None:
        """Fill evidence from own probes and from news."""
        self._evidence = evidence
        self._configuration = configuration
        self._members = members
        self._news = news
        self._orders = orders
        self._clock = time_source
        self._published_items = 0

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            started_s = self._clock.monotonic_s()
            await self.step()
            spent_s = self._clock.monotonic_s() - started_s
            await self._clock.sleep(max(PROBE_EVERY_S - spent_s, 0.05))

    async def step(self) -> None:
        """Probe once, publish, and take in what others found."""
        mine = self.assigned()
        limiter = anyio.CapacityLimiter(PARALLEL_PROBES)
        async with anyio.create_task_group() as group:
            for replica in mine:
                for member in replica.members:
                    group.start_soon(self._probe, member, limiter)
        self._publish(mine)
        self.take_in_news()
        self._tell_stopped()
        self._evidence.forget_old(self._clock.monotonic_s())

    def assigned(self) -> tuple[snapshot.Replica, ...]:
        """Return the serving replicas that fall to this entry."""
        myself = self._members.myself()
        names = {
            member.name
            for member in self._members.alive(ENTRY_ROLE)
            if member.region == myself.region
        }
        names.add(myself.name)
        return tuple(
            replica
            for replica in self._configuration.current().replicas
            if replica.serving
            and _in_region(replica, myself)
            and myself.name in probers_of(replica.name, names)
        )

    def take_in_news(self) -> None:
        """Record what other entries found."""
        now_s = self._clock.monotonic_s()
        found = findings_wire.sightings(
            self._news.read(findings_wire.CHANNEL),
            self._configuration.current().replicas,
            now_s,
        )
        for seen in found:
            self._evidence.record(seen)

    async def _probe(
        self, member: snapshot.ReplicaMember, limiter: anyio.CapacityLimiter
    ) -> None:
        async with limiter:
            started_s = self._clock.monotonic_s()
            answer = await self._orders.read_state(
                member.address, PROBE_TIMEOUT_S
            )
        # The state is at least as old as the probe's start; counting from its
        # end would lengthen the evidence by the time of a slow answer.
        if answer.is_error():
            return
        seen = table.seen_from(answer.ok, started_s)
        if seen is not None and seen.vm == member.vm:
            self._evidence.record(seen)

    def _publish(self, mine: tuple[snapshot.Replica, ...]) -> None:
        size = findings_wire.REPLICAS_PER_ITEM
        items = [
            findings_wire.encode(map(self._finding, mine[start : start + size]))
            for start in range(0, len(mine), size)
        ]
        for number, body in enumerate(items):
            self._news.publish(findings_wire.CHANNEL, str(number), body)
        for number in range(len(items), self._published_items):
            self._news.publish(findings_wire.CHANNEL, str(number), b'')
        self._published_items = len(items)

    def _finding(
        self, replica: snapshot.Replica
    ) -> findings_wire.ReplicaFinding:
        now_s = self._clock.monotonic_s()
        ages = bytes(
            findings_wire.age_code(self._age_s(member.vm, replica, now_s))
            for member in replica.members
        )
        head = self._evidence.fresh(replica.members[0].vm, now_s)
        return findings_wire.ReplicaFinding(
            findings_wire.mark_of(replica),
            ages,
            0 if head is None else head.in_flight,
        )

    def _age_s(
        self, vm: str, replica: snapshot.Replica, now_s: float
    ) -> float | None:
        seen = self._evidence.fresh(vm, now_s)
        if seen is None or (seen.replica, seen.epoch) != (
            replica.name,
            replica.epoch,
        ):
            return None
        return now_s - seen.seen_s

    def _tell_stopped(self) -> None:
        """Say which epochs this entry no longer sends to."""
        stopped = [
            [replica.name, replica.epoch]
            for replica in self._configuration.current().replicas
            if not replica.serving
            and _in_region(replica, self._members.myself())
        ]
        self._news.publish(
            STOPPED_CHANNEL, 'epochs', json.dumps(stopped).encode()
        )


def probers_of(replica: str, names: set[str]) -> frozenset[str]:
    """Return the entries that probe a replica, by rendezvous hashing."""
    return frozenset(rendezvous.holders(names, replica, PROBERS))


def _in_region(
    replica: snapshot.Replica, myself: members_module.Member
) -> bool:
    return not replica.region or replica.region == myself.region


def make_prober(
    evidence: table.EvidenceTable,
    configuration: snapshot.ConfigurationSource,
    members: members_module.Members,
    news: board.NewsBoard,
    orders: engine_orders.EngineOrders,
    time_source: clock.Clock,
) -> Prober:
    """Return the prober of one entry."""
    return Prober(evidence, configuration, members, news, orders, time_source)
