"""One fabric domain: forming, losses, drains and expired leases."""

import anyio
import attrs

from redwingvalve.declaration import schema
from redwingvalve.replicas import view
from redwingvalve.replicas.tests import fixtures

SERVING_TWO = ['serving', 'serving']


def test_replicas_are_formed_and_serve_after_the_read_back():
    async def scenario():
        harness = fixtures.Harness()
        (one,) = await harness.start('one')
        await harness.run(2, one)
        assert harness.states() == ['forming', 'forming']
        await harness.run(fixtures.LOAD_TIME_S + 2, one)
        assert harness.states() == SERVING_TWO

    anyio.run(scenario)


def test_a_lost_vm_is_replaced_by_the_spare_within_three_seconds():
    async def scenario():
        harness = fixtures.Harness()
        (one,) = await harness.start('one')
        await harness.run(30, one)
        victim = harness.domain().replicas[0].members[1]
        harness.fleet.engine(victim).alive = False
        await harness.run(3, one)
        healed = harness.domain().replicas[0]
        assert healed.state == 'forming' and victim not in healed.members
        await harness.run(fixtures.LOAD_TIME_S + 1, one)
        assert harness.states() == SERVING_TWO

    anyio.run(scenario)


def test_replica_whose_vms_all_return_is_adopted_without_a_load():
    """The whole domain is unreachable for a minute and returns unchanged. It
    serves again within seconds, because nothing is loaded again."""

    async def scenario():
        harness = fixtures.Harness()
        (one,) = await harness.start('one')
        await harness.run(30, one)
        loads = sum(e.loads for e in harness.fleet.engines.values())
        for engine in harness.fleet.engines.values():
            engine.alive = False
            await harness.run(0.5, one)
        await harness.run(60, one)
        assert harness.states() == ['broken', 'broken']
        for engine in harness.fleet.engines.values():
            engine.alive = True
        await harness.run(2, one)
        assert harness.states() == SERVING_TWO
        assert loads == sum(e.loads for e in harness.fleet.engines.values())

    anyio.run(scenario)


def test_usable_members_of_two_broken_replicas_are_merged():
    async def scenario():
        harness = fixtures.Harness(vms=6)
        (one,) = await harness.start('one')
        await harness.run(30, one)
        for replica in harness.domain().replicas:
            harness.fleet.engine(replica.members[0]).alive = False
        await harness.run(fixtures.LOAD_TIME_S + 5, one)
        assert harness.states() == ['broken', 'serving']

    anyio.run(scenario)


def test_only_a_replica_of_lower_price_is_dissolved():
    async def scenario():
        for price, expected in ((1.0, 'serving'), (50.0, 'draining')):
            expensive = fixtures.deployment(
                name='race', prices=schema.Prices(price, 0.05)
            )
            cheap = fixtures.deployment(name='bench')
            desired = (
                view.DesiredShare(expensive, 1),
                view.DesiredShare(cheap, 1),
            )
            harness = fixtures.Harness(vms=6, desired=desired)
            (one,) = await harness.start('one')
            await harness.run(30, one)
            broken = next(
                r for r in harness.domain().replicas if r.deployment == 'race'
            )
            harness.fleet.engine(broken.members[2]).alive = False
            await harness.run(4, one)
            (state,) = (
                r.state
                for r in harness.domain().replicas
                if r.deployment == 'bench'
            )
            assert state == expected
            await harness.run(60, one)
            assert ('race' in _serving(harness)) == (price > 1)

    anyio.run(scenario)


def test_a_rolling_change_with_room_for_one_replica_costs_no_downtime():
    async def scenario():
        harness = fixtures.Harness(vms=9)
        (one,) = await harness.start('one')
        await harness.run(30, one)
        harness.desired = (
            view.DesiredShare(fixtures.deployment(version='2'), 2, 2),
        )
        for _ in range(200):
            await harness.run(1, one)
            assert len(_serving(harness)) >= 2
        versions = {r.version for r in harness.domain().replicas}
        assert versions == {'2'} and harness.states() == SERVING_TWO

    anyio.run(scenario)


def test_a_planned_stop_waits_for_the_work_in_flight():
    """A rolling change in place drains one replica, which still has a request
    in flight long after all entries have stopped sending. The stop waits until
    that request has finished."""

    async def scenario():
        harness = fixtures.Harness(vms=6)
        (one,) = await harness.start('one')
        await harness.run(30, one)
        for engine in harness.fleet.engines.values():
            engine.state = attrs.evolve(engine.state, in_flight=1)
        harness.desired = (
            view.DesiredShare(fixtures.deployment(version='2'), 2, 1),
        )
        await harness.run(120, one)
        assert harness.states() == ['draining', 'serving']
        for engine in harness.fleet.engines.values():
            engine.state = attrs.evolve(engine.state, in_flight=0)
        await harness.run(3, one)
        assert harness.states() == ['forming', 'serving']
        assert not any(
            e.interrupted_requests for e in harness.fleet.engines.values()
        )

    anyio.run(scenario)


def test_a_flapping_vm_is_quarantined_for_growing_times():
    async def scenario():
        harness = fixtures.Harness()
        (one,) = await harness.start('one')
        await harness.run(30, one)
        spare = harness.domain().spare_vms()[0].name
        for _ in range(3):
            harness.fleet.engine(spare).alive = False
            await harness.run(5, one)
            harness.fleet.engine(spare).alive = True
            await harness.run(5, one)
        harness.fleet.engine(
            harness.domain().replicas[0].members[0]
        ).alive = False
        await harness.run(10, one)
        assert harness.states() == ['broken', 'serving']
        await harness.run(90, one)
        assert harness.states() == SERVING_TWO

    anyio.run(scenario)


def test_a_paused_holder_sends_no_order_after_another_acquired_the_lease():
    """Holder one is paused for longer than its term, and two acquires the
    lease. When one resumes it still assumes that it holds the lease. It must
    notice the loss before its first order, also if engines ignore fencing."""

    async def scenario():
        ignoring = fixtures.deployment(
            endpoint_trust=schema.EndpointTrust.IGNORES_FENCING
        )
        harness = fixtures.Harness(desired=(view.DesiredShare(ignoring, 2),))
        for engine in harness.fleet.engines.values():
            engine.checks_fencing = False
        one, two = await harness.start('one', 'two')
        await harness.run(2, one, two)
        await harness.run(60, two)
        assert harness.states() == SERVING_TWO
        sent = harness.order_clients['one'].sent
        await harness.run(10, one, two)
        assert harness.order_clients['one'].sent == sent
        assert harness.domain().lease.holder == 'two'

    anyio.run(scenario)


def test_lost_answers_and_an_outage_only_delay_reconciliation():
    async def scenario():
        harness = fixtures.Harness()
        (one,) = await harness.start('one')
        for _ in range(5):
            harness.store.faults.responses_to_drop = 1
            await harness.run(5, one)
        harness.store.set_outage(outage=True)
        await harness.run(3600, one)
        assert any('store' in text for text in one.status().waiting_for)
        calls = harness.store.calls.reads + harness.store.calls.writes
        await harness.run(600, one)
        assert (
            harness.store.calls.reads + harness.store.calls.writes - calls < 200
        )
        harness.store.set_outage(outage=False)
        await harness.run(60, one)
        assert harness.states() == SERVING_TWO

    anyio.run(scenario)


def _serving(harness):
    return [
        each.deployment
        for each in harness.domain().replicas
        if each.state == 'serving'
    ]
