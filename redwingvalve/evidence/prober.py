"""Probes the replicas assigned to this entry and publishes the results.

Load pattern: 2,400 replicas of 4 VMs, each probed by PROBERS_PER_REPLICA
entries every PROBE_INTERVAL_S. If every entry probed every VM, each VM would
answer hundreds of probes per second; with a single prober, a pause of that
process would stop a healthy replica.

If a head attests that its members are ready, only the head is probed, which
saves three quarters of the calls. Members that it doesn't attest, or attested
too long ago, are probed directly from the next step on.
"""

import json
import math

import anyio

from redwingvalve.configuration import snapshot
from redwingvalve.core import clock
from redwingvalve.evidence import probe_reports, table
from redwingvalve.membership import members as members_module
from redwingvalve.membership import rendezvous
from redwingvalve.news import bus
from redwingvalve.platform_api import engine_orders

PROBERS_PER_REPLICA = 2
# With one of the two probers paused, an observation is this old when the next
# one is made. This leaves 1.5 s to reach the whole region, which takes 1.3 s
# (design note 0021).
PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 0.6
# Results are published after this time even if some engine has not answered,
# so that the timeout of one dead VM doesn't delay those of other replicas.
PUBLISH_AFTER_S = 0.15
# A member that its head saw longer ago than this is probed directly.
MAX_ATTESTED_AGE_S = 1.0
# Unchanged stopped epochs are republished well before the item expires.
STOPPED_REPEAT_INTERVAL_S = 8.0
MAX_CONCURRENT_PROBES = 64
ENTRY_ROLE = 'entry'
STOPPED_CHANNEL = bus.Channel(
    name='stopped',
    scope=bus.Scope.REGION,
    max_age_s=30.0,
    max_item_bytes=512,
)


class Prober:
    """Probes the replicas assigned to one entry."""

    def __init__(
        self,
        evidence: table.EvidenceTable,
        configuration: snapshot.ConfigurationSource,
        members: members_module.Members,
        news: bus.NewsBus,
        orders: engine_orders.EngineOrders,
        time_source: clock.Clock,
    ) -> None:
        """Fill evidence from local probes and from news."""
        self._evidence = evidence
        self._configuration = configuration
        self._members = members
        self._news = news
        self._orders = orders
        self._clock = time_source
        self._published_items = 0
        self._attesting: frozenset[tuple[str, int]] = frozenset()
        self._attesting_now: set[tuple[str, int]] = set()
        self._observation_count = 0
        self._stopped_body = b''
        self._stopped_published_s = -math.inf

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            started_s = self._clock.monotonic_s()
            await self.step()
            spent_s = self._clock.monotonic_s() - started_s
            await self._clock.sleep(max(PROBE_INTERVAL_S - spent_s, 0.05))

    async def step(self) -> None:
        """Probe once, publish the results and record those of other entries."""
        assigned = self.assigned()
        async with anyio.create_task_group() as group:
            all_answered = anyio.Event()
            group.start_soon(self._probe_all, assigned, all_answered)
            with anyio.move_on_after(PUBLISH_AFTER_S):
                await all_answered.wait()
            self._publish(assigned)
            published_count = self._observation_count
        if self._observation_count > published_count:
            self._publish(assigned)
        self.receive_reports()
        self._publish_stopped()
        self._evidence.drop_expired(self._clock.monotonic_s())

    def assigned(self) -> tuple[snapshot.Replica, ...]:
        """Return the serving replicas assigned to this entry."""
        local_member = self._members.local_member()
        names = {
            member.name
            for member in self._members.alive(ENTRY_ROLE)
            if member.region == local_member.region
        }
        names.add(local_member.name)
        return tuple(
            replica
            for replica in self._configuration.current().replicas
            if replica.serving
            and _in_region(replica, local_member)
            and local_member.name in select_probers(replica.name, names)
        )

    def receive_reports(self) -> None:
        """Record the probe results of other entries."""
        now_s = self._clock.monotonic_s()
        found = probe_reports.decode_observations(
            self._news.read(probe_reports.CHANNEL),
            self._configuration.current().replicas,
            now_s,
        )
        for observation in found:
            self._evidence.record(observation)

    async def _probe_all(
        self, assigned: tuple[snapshot.Replica, ...], all_answered: anyio.Event
    ) -> None:
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_PROBES)
        self._attesting_now.clear()
        async with anyio.create_task_group() as group:
            for replica in assigned:
                for member in self._to_probe(replica):
                    group.start_soon(self._probe, replica, member, limiter)
        self._attesting = frozenset(self._attesting_now)
        all_answered.set()

    def _to_probe(
        self, replica: snapshot.Replica
    ) -> tuple[snapshot.ReplicaMember, ...]:
        if (replica.name, replica.epoch) in self._attesting:
            return replica.members[:1]
        return replica.members

    async def _probe(
        self,
        replica: snapshot.Replica,
        member: snapshot.ReplicaMember,
        limiter: anyio.CapacityLimiter,
    ) -> None:
        async with limiter:
            started_s = self._clock.monotonic_s()
            response = await self._orders.read_state(
                member.address, PROBE_TIMEOUT_S
            )
        # Evidence counts from the start of the probe; counting from its end
        # would extend evidence by the latency of a slow response.
        if response.is_error():
            return
        observation = table.observation_from(response.ok, started_s)
        if observation is None or observation.vm != member.vm:
            return
        self._record(observation)
        if member == replica.members[0]:
            self._record_attested(response.ok, replica, started_s)

    def _record(self, observation: table.Observation) -> None:
        self._observation_count += 1
        self._evidence.record(observation)

    def _record_attested(
        self,
        state: engine_orders.EngineState,
        replica: snapshot.Replica,
        started_s: float,
    ) -> None:
        attested = tuple(table.attested_observations(state, replica, started_s))
        for member in attested:
            self._record(member)
        recent = {
            each.vm
            for each in attested
            if started_s - each.seen_s <= MAX_ATTESTED_AGE_S
        }
        if recent == _other_vms(replica):
            self._attesting_now.add((replica.name, replica.epoch))

    def _publish(self, assigned: tuple[snapshot.Replica, ...]) -> None:
        size = probe_reports.REPLICAS_PER_ITEM
        items = [
            probe_reports.encode(
                map(self._make_report, assigned[start : start + size])
            )
            for start in range(0, len(assigned), size)
        ]
        for number, body in enumerate(items):
            self._news.publish(probe_reports.CHANNEL, str(number), body)
        for number in range(len(items), self._published_items):
            self._news.publish(probe_reports.CHANNEL, str(number), b'')
        self._published_items = len(items)

    def _make_report(
        self, replica: snapshot.Replica
    ) -> probe_reports.ReplicaProbeReport:
        now_s = self._clock.monotonic_s()
        ages = bytes(
            probe_reports.encode_age(self._age_s(member.vm, replica, now_s))
            for member in replica.members
        )
        head = self._evidence.fresh(replica.members[0].vm, now_s)
        return probe_reports.ReplicaProbeReport(
            probe_reports.fingerprint_of(replica),
            ages,
            0 if head is None else head.in_flight,
        )

    def _age_s(
        self, vm: str, replica: snapshot.Replica, now_s: float
    ) -> float | None:
        observation = self._evidence.fresh(vm, now_s)
        if observation is None or (observation.replica, observation.epoch) != (
            replica.name,
            replica.epoch,
        ):
            return None
        return now_s - observation.seen_s

    def _publish_stopped(self) -> None:
        """Publish the epochs to which this entry no longer sends."""
        stopped = [
            [replica.name, replica.epoch]
            for replica in self._configuration.current().replicas
            if not replica.serving
            and _in_region(replica, self._members.local_member())
        ]
        body = json.dumps(stopped).encode()
        now_s = self._clock.monotonic_s()
        due = now_s - self._stopped_published_s >= STOPPED_REPEAT_INTERVAL_S
        if body == self._stopped_body and not due:
            return
        self._stopped_body = body
        self._stopped_published_s = now_s
        self._news.publish(STOPPED_CHANNEL, 'epochs', body)


def select_probers(replica: str, names: set[str]) -> frozenset[str]:
    """Return the entries that probe a replica, by rendezvous hashing."""
    return frozenset(rendezvous.select(names, replica, PROBERS_PER_REPLICA))


def _other_vms(replica: snapshot.Replica) -> set[str]:
    return {member.vm for member in replica.members[1:]}


def _in_region(
    replica: snapshot.Replica, local_member: members_module.Member
) -> bool:
    return not replica.region or replica.region == local_member.region


def make_prober(
    evidence: table.EvidenceTable,
    configuration: snapshot.ConfigurationSource,
    members: members_module.Members,
    news: bus.NewsBus,
    orders: engine_orders.EngineOrders,
    time_source: clock.Clock,
) -> Prober:
    """Return the prober of one entry."""
    return Prober(evidence, configuration, members, news, orders, time_source)
