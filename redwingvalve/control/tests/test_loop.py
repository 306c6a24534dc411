"""Plans become serving replicas, and shares leave a domain that is dark."""

import random

import anyio

from redwingvalve.control import loop
from redwingvalve.core import clock
from redwingvalve.declaration import schema
from redwingvalve.plans import manager
from redwingvalve.platform_api import vm_list
from redwingvalve.replicas import controller
from redwingvalve.replicas import domain as domain_module
from redwingvalve.standins import memory_fleet, memory_store


class Bench:
    """Two domains of nine VMs and any number of control processes."""

    def __init__(self):
        self.clock = clock.ManualClock(50.0)
        self.store = memory_store.make_memory_object_api()
        vms = tuple(
            vm_list.Vm(f'vm-{i}', f'10.0.0.{i}:80', 'nave-a', f'd{i % 2}')
            for i in range(18)
        )
        self.fleet = memory_fleet.MemoryFleet(vms, self.clock, 20.0)
        self.weights = memory_fleet.MemoryWeights(self.clock, 1.0, 4)

    def loop(self, owner):
        tools = controller.Dependencies(
            self.store,
            memory_fleet.MemoryOrders(self.fleet),
            self.weights,
            self.clock,
            rng=random.Random(3),
        )
        return loop.make_control_loop(owner, tools, self.fleet)

    async def confirm(self, declaration):
        plans = manager.make_plan_manager(self.store, self.fleet, self.clock)
        made = await plans.propose(declaration, 'ana')
        assert (await plans.confirm(made.ok.name, 'ana')).is_ok()

    async def run(self, duration_s, *loops):
        for _ in range(int(duration_s / loop.STEP_EVERY_S)):
            for each in loops:
                await each.step()
            self.clock.advance(loop.STEP_EVERY_S)

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
        bench = Bench()
        one, two = bench.loop('one'), bench.loop('two')
        await bench.run(2, one, two)
        await bench.confirm(declared(4))
        await bench.run(40, one, two)
        assert bench.serving() == 4

    anyio.run(scenario)


def test_replicas_of_a_dark_domain_are_formed_where_vms_are_free():
    """A domain goes dark while the other one has VMs for one more replica:
    that one is formed there, and only once; what else was lost waits."""

    async def scenario():
        bench = Bench()
        one, two = bench.loop('one'), bench.loop('two')
        await bench.confirm(declared(4))
        await bench.run(40, one, two)
        for engine in bench.fleet.engines.values():
            engine.alive = engine.vm.fabric_domain == 'd1'
        await bench.run(60, one, two)
        assert (bench.serving('d1'), bench.serving('d0')) == (3, 0)
        for engine in bench.fleet.engines.values():
            engine.alive = True
        await bench.run(60, one, two)
        assert bench.serving() == 4

    anyio.run(scenario)


def test_a_controller_that_ends_hands_its_domains_over_at_once():
    async def scenario():
        bench = Bench()
        one, two = bench.loop('one'), bench.loop('two')
        await bench.run(2, one, two)
        await bench.confirm(declared(2))
        await one.release()
        await bench.run(35, two)
        assert bench.serving() == 2

    anyio.run(scenario)
