"""Test harness: a domain of VMs, a store and controllers in virtual time."""

import random

import attrs

from redwingvalve.core import clock, invariants
from redwingvalve.declaration import schema
from redwingvalve.platform_api import vm_list
from redwingvalve.replicas import controller, draft, entry_reports, view
from redwingvalve.replicas import domain as domain_module
from redwingvalve.standins import fake_fleet, memory_store

STEP_S = 0.5
LOAD_TIME_S = 20.0


def deployment(**changed):
    declared = schema.ModelDeployment(
        'quotes',
        'm',
        '1',
        replicas=2,
        vms_per_replica=3,
        load_time_s=LOAD_TIME_S,
    )
    return attrs.evolve(declared, **changed)


class Harness:
    """One fabric domain; each controller has its own client of the engines."""

    def __init__(self, vms=7, desired=None, disabled=()):
        self.clock = clock.ManualClock(1000.0)
        self.store = memory_store.make_memory_object_api()
        self.fleet = fake_fleet.FakeFleet(
            tuple(
                vm_list.Vm(f'vm-{i}', f'10.0.0.{i}:80', 'nave-a', 'd')
                for i in range(vms)
            ),
            self.clock,
            LOAD_TIME_S,
        )
        self.weights = fake_fleet.FakeWeightStore(self.clock, 1.0, 4)
        self.desired = desired or (view.DesiredShare(deployment(), 2, 0),)
        self.disabled = disabled
        self.order_clients = {}

    async def start(self, *owners):
        body = domain_module.to_body(domain_module.FabricDomain('d', 'nave-a'))
        await self.store.create(domain_module.KIND, 'd', body)
        return [self.controller(owner) for owner in owners]

    def controller(self, owner, store=None):
        self.order_clients[owner] = fake_fleet.FakeEngineOrders(self.fleet)
        dependencies = controller.Dependencies(
            store or self.store,
            self.order_clients[owner],
            self.weights,
            self.clock,
            entry_reports.NoEntryReports(),
            random.Random(owner),
            invariants.SafeguardSwitches(self.disabled),
            draft.PlacementPolicy(),
        )
        return controller.make_domain_controller('d', owner, dependencies)

    def inputs(self):
        return controller.ControllerInputs(self.fleet.vms(), self.desired)

    async def run(self, duration_s, *controllers):
        for _ in range(int(duration_s / STEP_S)):
            for each in controllers:
                await each.step(self.inputs())
            self.clock.advance(STEP_S)

    def domain(self):
        (stored,) = self.store.list_now(domain_module.KIND).objects
        return domain_module.from_stored(stored)

    def states(self):
        return sorted(each.state.value for each in self.domain().replicas)
