"""Expiry of evidence, its spread between entries, and failures."""

import anyio
import attrs
import hypothesis
import pytest
from hypothesis import strategies

from redwingvalve.configuration import snapshot
from redwingvalve.core import clock, invariants
from redwingvalve.evidence import (
    leaving,
    news_entry_reports,
    probe_reports,
    prober,
    serving_permits,
    table,
)
from redwingvalve.membership import members
from redwingvalve.news import bus
from redwingvalve.platform_api import engine_orders, vm_list
from redwingvalve.replicas import domain as domain_module
from redwingvalve.standins import fake_fleet

NAMES = ('e1', 'e2', 'e3', 'e4')
REPLICA = snapshot.Replica(
    'quotes-1',
    'quotes',
    4,
    'd',
    'nave-a',
    'mvd',
    tuple(
        snapshot.ReplicaMember(f'vm-{i}', f'10.0.0.{i}:80') for i in range(3)
    ),
    True,
)


class Configuration(snapshot.ConfigurationSource):
    def __init__(self):
        self.replicas = (REPLICA,)

    def current(self):
        return snapshot.Snapshot(1, replicas=self.replicas)


class FixedMembers(members.Members):
    def __init__(self, name):
        self.name = name

    def local_member(self):
        return member(self.name)

    def known(self):
        return tuple(member(name) for name in NAMES)

    def isolated(self):
        return False


def member(name):
    return members.Member(name, 1, 'entry', 'h', 1, 2, 'nave-a', 'mvd')


class SharedNewsBus(bus.NewsBus):
    """A news bus on a dict that all entries share."""

    def __init__(self, owner, shared, time_source):
        self.owner, self.shared, self.clock = owner, shared, time_source

    def publish(self, channel, key, body):
        now_s = self.clock.monotonic_s()
        self.shared[channel.name, self.owner, key] = (body, now_s)

    def read(self, channel):
        now_s = self.clock.monotonic_s()
        return tuple(
            bus.NewsItem(name, owner, 1, key, 1, body, now_s - at_s)
            for (name, owner, key), (body, at_s) in self.shared.items()
            if name == channel.name and now_s - at_s <= channel.max_age_s
        )


class Entry:
    def __init__(self, name, bench, disabled=()):
        self.evidence = table.EvidenceTable()
        self.permits = serving_permits.make_serving_permits(
            self.evidence, invariants.SafeguardSwitches(disabled)
        )
        self.orders = fake_fleet.FakeEngineOrders(bench.fleet)
        self.prober = prober.make_prober(
            self.evidence,
            bench.configuration,
            FixedMembers(name),
            SharedNewsBus(name, bench.news, bench.clock),
            self.orders,
            bench.clock,
        )


class Bench:
    def __init__(self, disabled=()):
        self.clock = clock.ManualClock(100.0)
        self.news = {}
        self.configuration = Configuration()
        self.fleet = fake_fleet.FakeFleet(
            tuple(
                vm_list.Vm(m.vm, m.address, 'nave-a', 'd')
                for m in REPLICA.members
            ),
            self.clock,
            0.0,
        )
        for position, engine in enumerate(self.fleet.engines.values()):
            order = engine_orders.EngineOrder(
                engine.vm.name, 1, 'quotes-1', 4, 'm', '1', f'r{position}'
            )
            engine.apply(order, 0.0, 0.0)
        self.entries = {name: Entry(name, self, disabled) for name in NAMES}

    async def run(self, duration_s):
        for _ in range(round(duration_s / prober.PROBE_INTERVAL_S)):
            for entry in self.entries.values():
                await entry.prober.step()
            self.clock.advance(prober.PROBE_INTERVAL_S)

    def permitted(self):
        now_s = self.clock.monotonic_s()
        return [
            entry.permits.permitted(REPLICA, now_s)
            for entry in self.entries.values()
        ]


def test_two_entries_probe_and_all_receive_the_results():
    async def scenario():
        bench = Bench()
        await bench.run(3)
        assert all(bench.permitted())
        probing = [e for e in bench.entries.values() if e.orders.probes]
        assert len(probing) == prober.PROBERS_PER_REPLICA

    anyio.run(scenario)


def test_a_missing_vm_stops_new_work_within_three_seconds():
    """A VM dies silently.

    Its last observation expires at every entry on its own, also at those that
    no longer receive news.
    """

    async def scenario():
        bench = Bench()
        await bench.run(3)
        bench.fleet.engine('vm-2').alive = False
        bench.clock.advance(0.2)
        await bench.run(2.8)
        assert not any(bench.permitted())

    anyio.run(scenario)


def test_another_epoch_of_the_same_vms_gives_no_permit():
    async def scenario():
        bench = Bench()
        await bench.run(3)
        now_s = bench.clock.monotonic_s()
        newer = attrs.evolve(REPLICA, epoch=5)
        assert not bench.entries['e1'].permits.permitted(newer, now_s)

    anyio.run(scenario)


def test_a_failure_on_the_request_path_counts_until_the_next_observation():
    async def scenario():
        bench = Bench()
        await bench.run(3)
        permits = bench.entries['e1'].permits
        permits.report_failure(REPLICA, 'vm-1', bench.clock.monotonic_s())
        assert bench.permitted().count(False) == 1
        bench.clock.advance(0.1)
        await bench.run(2 * prober.PROBE_INTERVAL_S)
        assert all(bench.permitted())

    anyio.run(scenario)


def test_without_the_safeguard_the_breach_is_detected():
    async def scenario():
        bench = Bench((invariants.Safeguard.EVIDENCE_REQUIRED,))
        bench.fleet.engine('vm-2').alive = False
        await bench.run(3)
        with pytest.raises(invariants.InvariantBreachError):
            bench.permitted()

    anyio.run(scenario)


def test_a_drain_is_acknowledged_only_once_every_live_entry_stopped():
    async def scenario():
        bench = Bench()
        reports = news_entry_reports.make_news_entry_reports(
            FixedMembers('e1'),
            SharedNewsBus('control', bench.news, bench.clock),
            bench.configuration,
        )
        draining = domain_module.DomainReplica(
            'quotes-1', 'quotes', 4, 'draining', (), 'm', '1'
        )
        await bench.run(3)
        now_s = bench.clock.monotonic_s()
        seen_s = reports.last_seen_s('vm-0', now_s)
        assert now_s - seen_s <= prober.PROBE_INTERVAL_S
        assert not reports.senders_stopped(draining, now_s, now_s)
        bench.configuration.replicas = (attrs.evolve(REPLICA, serving=False),)
        await bench.entries['e1'].prober.step()
        assert not reports.senders_stopped(draining, now_s, now_s)
        await bench.run(prober.PROBE_INTERVAL_S)
        assert reports.senders_stopped(draining, now_s, now_s)

    anyio.run(scenario)


@hypothesis.given(strategies.binary(max_size=60))
def test_any_news_body_is_decoded_without_a_crash(body):
    for report in probe_reports.decode(body):
        assert len(report.fingerprint) == probe_reports.FINGERPRINT_BYTES


def test_probe_reports_are_small_and_never_understate_ages():
    """An entry must stop sending within 3 s of a loss despite rounded ages.

    Ages are rounded up, and those above the largest code count as not seen.
    Members that were not seen and replicas of another epoch yield no
    observation.
    """
    ages = (0.011, 2.49, None)
    report = probe_reports.ReplicaProbeReport(
        probe_reports.fingerprint_of(REPLICA),
        bytes(map(probe_reports.encode_age, ages)),
        17,
    )
    body = probe_reports.encode([report])
    assert len(body) == 12
    published = bus.NewsItem('evidence', 'e1', 1, '0', 1, body, 0.3)
    seen = list(
        probe_reports.decode_observations([published], [REPLICA], 100.0)
    )
    assert [each.vm for each in seen] == ['vm-0', 'vm-1']
    assert seen[0].in_flight == 17
    for each, age_s in zip(seen, ages, strict=False):
        assert each.seen_s <= 100.0 - 0.3 - age_s
    other = attrs.evolve(REPLICA, epoch=REPLICA.epoch + 1)
    assert not list(
        probe_reports.decode_observations([published], [other], 100.0)
    )
    assert probe_reports.encode_age(9.0) == probe_reports.NOT_SEEN


def test_a_replica_whose_vm_leaves_gets_no_new_work_without_the_store():
    """A leaving VM's replica receives no requests, though the VM answers.

    The domain object still shows the replica as serving; the news of the
    leaving VM takes precedence unless the safeguard is switched off.
    """

    async def scenario(disabled, expected):
        bench = Bench(disabled)
        await bench.run(3)
        publisher = SharedNewsBus('control', bench.news, bench.clock)
        published = leaving.publish(publisher, {'vm-1', 'other'}, frozenset())
        for entry in bench.entries.values():
            entry.permits.replace_leaving(leaving.read(publisher))
        assert set(bench.permitted()) == {expected}
        leaving.publish(publisher, (), published)
        assert leaving.read(publisher) == frozenset()

    anyio.run(scenario, (), False)
    off = (invariants.Safeguard.LEAVING_EXCLUDED,)
    anyio.run(scenario, off, True)
