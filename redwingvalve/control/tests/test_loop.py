"""Plans become serving replicas; shares leave an unreachable domain."""

import random

import anyio

from redwingvalve.control import loop
from redwingvalve.core import clock
from redwingvalve.declaration import schema
from redwingvalve.plans import manager
from redwingvalve.platform_api import vm_list
from redwingvalve.replicas import controller
from redwingvalve.replicas import domain as domain_module
from redwingvalve.standins import fake_fleet, memory_store


class Harness:
    """Two domains of nine VMs and any number of control processes."""

    def __init__(self):
        self.clock = clock.ManualClock(50.0)
        self.store = memory_store.make_memory_object_api()
        vms = tuple(
            vm_list.Vm(f'vm-{i}', f'10.0.0.{i}:80', 'nave-a', f'd{i % 2}')
            for i in range(18)
        )
        self.fleet = fake_fleet.FakeFleet(vms, self.clock, 20.0)
        self.weights = fake_fleet.FakeWeightStore(self.clock, 1.0, 4)

    def loop(self, owner):
        dependencies = controller.Dependencies(
            self.store,
            fake_fleet.FakeEngineOrders(self.fleet),
            self.weights,
            self.clock,
            rng=random.Random(3),
        )
        return loop.make_control_loop(owner, dependencies, self.fleet)

    async def confirm(self, declaration):
        plans = manager.make_plan_manager(self.store, self.fleet, self.clock)
        made = await plans.propose(declaration, 'ana')
        assert (await plans.confirm(made.ok.name, 'ana')).is_ok()

    async def run(self, duration_s, *loops):
        for _ in range(int(duration_s / loop.STEP_INTERVAL_S)):
            for each in loops:
                await each.step()
            self.clock.advance(loop.STEP_INTERVAL_S)

    def serving(self, *names):
        listed = self.store.list_now(domain_module.KIND).objects
        domains = [domain_module.from_stored(stored) for stored in listed]
        return domain_module.count_serving(
            (d for d in domains if not names or d.name in names), 'quotes'
        )


def declared(replicas):
    return schema.Declaration(
        'tapiceria',
        (schema.ModelDeployment('quotes', 'm', '1', replicas, 3),),
    )


def test_a_confirmed_plan_becomes_serving_replicas():
    async def scenario():
        harness = Harness()
        one, two = harness.loop('one'), harness.loop('two')
        await harness.run(2, one, two)
        await harness.confirm(declared(4))
        await harness.run(40, one, two)
        assert harness.serving() == 4

    anyio.run(scenario)


def test_replicas_of_an_unreachable_domain_are_formed_where_vms_are_free():
    """One domain becomes unreachable while the other has free VMs for one more
    replica. Exactly one is formed there; the other lost replicas wait."""

    async def scenario():
        harness = Harness()
        one, two = harness.loop('one'), harness.loop('two')
        await harness.confirm(declared(4))
        await harness.run(40, one, two)
        for engine in harness.fleet.engines.values():
            engine.alive = engine.vm.fabric_domain == 'd1'
        await harness.run(60, one, two)
        assert (harness.serving('d1'), harness.serving('d0')) == (3, 0)
        for engine in harness.fleet.engines.values():
            engine.alive = True
        await harness.run(60, one, two)
        assert harness.serving() == 4

    anyio.run(scenario)


def test_a_controller_that_stops_releases_its_domains_at_once():
    async def scenario():
        harness = Harness()
        one, two = harness.loop('one'), harness.loop('two')
        await harness.run(2, one, two)
        await harness.confirm(declared(2))
        await one.release()
        await harness.run(35, two)
        assert harness.serving() == 2

    anyio.run(scenario)
