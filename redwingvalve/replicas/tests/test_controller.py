"""One fabric domain through formation, losses, drains and lapses."""

import anyio
import attrs

from redwingvalve.declaration import schema
from redwingvalve.replicas import view
from redwingvalve.replicas.tests import fixtures

SERVING_TWO = ['serving', 'serving']


def test_replicas_are_formed_and_serve_after_the_read_back():
    async def scenario():
        bench = fixtures.Bench()
        (one,) = await bench.begin('one')
        await bench.run(2, one)
        assert bench.states() == ['forming', 'forming']
        await bench.run(fixtures.LOAD_S + 2, one)
        assert bench.states() == SERVING_TWO

    anyio.run(scenario)


def test_a_lost_vm_is_replaced_by_the_spare_within_three_seconds():
    async def scenario():
        bench = fixtures.Bench()
        (one,) = await bench.begin('one')
        await bench.run(30, one)
        victim = bench.domain().replicas[0].members[1]
        bench.fleet.engine(victim).alive = False
        await bench.run(3, one)
        healed = bench.domain().replicas[0]
        assert healed.state == 'forming' and victim not in healed.members
        await bench.run(fixtures.LOAD_S + 1, one)
        assert bench.states() == SERVING_TWO

    anyio.run(scenario)


def test_what_comes_back_whole_is_adopted_and_not_loaded_again():
    """The whole domain goes dark for a minute and returns as it was: callers
    are served again within seconds, because nothing is loaded anew."""

    async def scenario():
        bench = fixtures.Bench()
        (one,) = await bench.begin('one')
        await bench.run(30, one)
        loads = sum(e.loads for e in bench.fleet.engines.values())
        for engine in bench.fleet.engines.values():
            engine.alive = False
            await bench.run(0.5, one)
        await bench.run(60, one)
        assert bench.states() == ['broken', 'broken']
        for engine in bench.fleet.engines.values():
            engine.alive = True
        await bench.run(2, one)
        assert bench.states() == SERVING_TWO
        assert loads == sum(e.loads for e in bench.fleet.engines.values())

    anyio.run(scenario)


def test_remnants_of_two_broken_replicas_are_merged():
    async def scenario():
        bench = fixtures.Bench(vms=6)
        (one,) = await bench.begin('one')
        await bench.run(30, one)
        for replica in bench.domain().replicas:
            bench.fleet.engine(replica.members[0]).alive = False
        await bench.run(fixtures.LOAD_S + 5, one)
        assert bench.states() == ['broken', 'serving']

    anyio.run(scenario)


def test_a_dear_replica_takes_the_vms_of_a_cheap_one_but_not_of_its_equal():
    async def scenario():
        for price, expected in ((1.0, 'serving'), (50.0, 'draining')):
            dear = fixtures.deployment(
                name='race', prices=schema.Prices(price, 0.05)
            )
            cheap = fixtures.deployment(name='bench')
            wanted = (view.DesiredShare(dear, 1), view.DesiredShare(cheap, 1))
            bench = fixtures.Bench(vms=6, wanted=wanted)
            (one,) = await bench.begin('one')
            await bench.run(30, one)
            broken = next(
                r for r in bench.domain().replicas if r.deployment == 'race'
            )
            bench.fleet.engine(broken.members[2]).alive = False
            await bench.run(4, one)
            (state,) = (
                r.state
                for r in bench.domain().replicas
                if r.deployment == 'bench'
            )
            assert state == expected
            await bench.run(60, one)
            assert ('race' in _serving(bench)) == (price > 1)

    anyio.run(scenario)


def test_a_rolling_change_with_room_for_one_replica_costs_no_downtime():
    async def scenario():
        bench = fixtures.Bench(vms=9)
        (one,) = await bench.begin('one')
        await bench.run(30, one)
        bench.wanted = (
            view.DesiredShare(fixtures.deployment(version='2'), 2, 2),
        )
        for _ in range(200):
            await bench.run(1, one)
            assert len(_serving(bench)) >= 2
        versions = {r.version for r in bench.domain().replicas}
        assert versions == {'2'} and bench.states() == SERVING_TWO

    anyio.run(scenario)


def test_a_planned_stop_waits_for_the_work_in_flight():
    """A rolling change in place drains one replica. A request is still being
    answered on it, long after all entries have stopped sending; the stop
    waits until the caller has its whole answer."""

    async def scenario():
        bench = fixtures.Bench(vms=6)
        (one,) = await bench.begin('one')
        await bench.run(30, one)
        for engine in bench.fleet.engines.values():
            engine.state = attrs.evolve(engine.state, in_flight=1)
        bench.wanted = (
            view.DesiredShare(fixtures.deployment(version='2'), 2, 1),
        )
        await bench.run(120, one)
        assert bench.states() == ['draining', 'serving']
        for engine in bench.fleet.engines.values():
            engine.state = attrs.evolve(engine.state, in_flight=0)
        await bench.run(3, one)
        assert bench.states() == ['forming', 'serving']
        assert not any(
            e.interrupted_requests for e in bench.fleet.engines.values()
        )

    anyio.run(scenario)


def test_a_flapping_vm_is_kept_out_for_growing_times():
    async def scenario():
        bench = fixtures.Bench()
        (one,) = await bench.begin('one')
        await bench.run(30, one)
        spare = bench.domain().spare_vms()[0].name
        for _ in range(3):
            bench.fleet.engine(spare).alive = False
            await bench.run(5, one)
            bench.fleet.engine(spare).alive = True
            await bench.run(5, one)
        bench.fleet.engine(bench.domain().replicas[0].members[0]).alive = False
        await bench.run(10, one)
        assert bench.states() == ['broken', 'serving']
        await bench.run(90, one)
        assert bench.states() == SERVING_TWO

    anyio.run(scenario)


def test_a_paused_holder_orders_nothing_after_another_took_over():
    """Holder one is paused for longer than its term; two takes the lease.
    When one goes on it still believes that it holds the lease, so it must
    find out before its first order, also where engines ignore fencing."""

    async def scenario():
        ignoring = fixtures.deployment(
            endpoint_trust=schema.EndpointTrust.IGNORES_FENCING
        )
        bench = fixtures.Bench(wanted=(view.DesiredShare(ignoring, 2),))
        for engine in bench.fleet.engines.values():
            engine.checks_fencing = False
        one, two = await bench.begin('one', 'two')
        await bench.run(2, one, two)
        await bench.run(60, two)
        assert bench.states() == SERVING_TWO
        sent = bench.ways['one'].sent
        await bench.run(10, one, two)
        assert bench.ways['one'].sent == sent
        assert bench.domain().lease.holder == 'two'

    anyio.run(scenario)


def test_lost_answers_and_an_outage_only_delay_what_is_wanted():
    async def scenario():
        bench = fixtures.Bench()
        (one,) = await bench.begin('one')
        for _ in range(5):
            bench.store.faults.responses_to_drop = 1
            await bench.run(5, one)
        bench.store.set_outage(outage=True)
        await bench.run(3600, one)
        assert any('store' in text for text in one.status().waiting_for)
        calls = bench.store.calls.reads + bench.store.calls.writes
        await bench.run(600, one)
        assert bench.store.calls.reads + bench.store.calls.writes - calls < 200
        bench.store.set_outage(outage=False)
        await bench.run(60, one)
        assert bench.states() == SERVING_TWO

    anyio.run(scenario)


def _serving(bench):
    return [
        each.deployment
        for each in bench.domain().replicas
        if each.state == 'serving'
    ]
