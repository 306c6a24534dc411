"""Processes whose every call blocks at a gate until the test releases it.

A process that is not released is paused at that call while virtual time
advances. Calls of one process are released in order. An order that was blocked
for longer than its timeout has timed out and never arrives.
"""

import asyncio
import random

from expression import Error

from redwingvalve.core import invariants
from redwingvalve.platform_api import engine_orders, object_api
from redwingvalve.replicas import controller, draft, entry_reports
from redwingvalve.standins import fake_fleet


class Gate:
    """Releases one blocked call at a time."""

    def __init__(self):
        self.waiting = []
        self.store_cut_off = False

    async def wait(self):
        released = asyncio.get_running_loop().create_future()
        self.waiting.append(released)
        await released

    def release_next(self):
        while self.waiting:
            released = self.waiting.pop(0)
            if not released.done():
                released.set_result(None)
                return


class GatedStore(object_api.ObjectApi):
    """The store client of one process."""

    def __init__(self, inner, gate):
        self.inner, self.gate = inner, gate

    async def _call(self, method, *arguments):
        await self.gate.wait()
        if self.gate.store_cut_off:
            return Error(object_api.Unavailable('cut off', maybe_applied=False))
        return await method(*arguments)

    async def get(self, kind, name):
        return await self._call(self.inner.get, kind, name)

    async def update(self, stored):
        return await self._call(self.inner.update, stored)

    async def list(self, kind):
        raise NotImplementedError

    async def create(self, kind, name, body):
        raise NotImplementedError

    async def delete(self, kind, name, version):
        raise NotImplementedError

    def watch(self, kind, version):
        raise NotImplementedError


class GatedOrders(fake_fleet.FakeEngineOrders):
    """The engine client of one process; probes are not blocked."""

    def __init__(self, fleet, gate):
        super().__init__(fleet)
        self.gate = gate

    async def send(self, address, order, timeout_s):
        started_s = self.fleet.clock.monotonic_s()
        await self.gate.wait()
        if self.fleet.clock.monotonic_s() - started_s > timeout_s:
            return Error(engine_orders.EngineUnreachable('given up'))
        return await super().send(address, order, timeout_s)


class EntriesSeeLiveVms(entry_reports.NoEntryReports):
    """Reports of entries that see every VM that is alive."""

    def __init__(self, fleet):
        self.fleet = fleet

    def last_seen_s(self, vm, now_s):
        return now_s if self.fleet.engine(vm).alive else None


class Process:
    """A controller that reconciles forever, one released call at a time."""

    def __init__(self, name, harness, runner):
        self.gate = Gate()
        self.harness = harness
        self.orders = GatedOrders(harness.fleet, self.gate)
        dependencies = controller.Dependencies(
            GatedStore(harness.store, self.gate),
            self.orders,
            harness.weights,
            harness.clock,
            EntriesSeeLiveVms(harness.fleet),
            random.Random(name),
            invariants.SafeguardSwitches(harness.disabled),
            draft.PlacementPolicy(),
        )
        self.controller = controller.make_domain_controller(
            'd', name, dependencies
        )
        self.task = runner.get_loop().create_task(self._run())

    async def _run(self):
        while True:
            await self.controller.step(self.harness.inputs())
            await self.gate.wait()

    def check(self):
        """Raise the exception of a process that has ended."""
        if self.task.done():
            self.task.result()


def run_until_blocked(runner):
    """Run until every process is blocked at its gate."""

    async def run_ready():
        loop = asyncio.get_running_loop()
        await asyncio.sleep(0)
        while loop._ready:  # asyncio has no public way to detect idleness
            await asyncio.sleep(0)

    runner.run(run_ready())


def check_engines(fleet):
    """Check that no engine obeyed an old order or interrupted a request."""
    for engine in fleet.engines.values():
        numbers = [order.fencing_number for order in engine.applied_orders]
        invariants.require(
            numbers == sorted(numbers),
            'no order of an old holder is obeyed after one of a newer holder',
            f'{engine.vm.name}: {numbers}',
        )
        invariants.require(
            not engine.interrupted_requests,
            'a planned stop cuts off no request in progress',
            engine.vm.name,
        )
