"""Plays load on endpoints that turn cold, in virtual time."""

import asyncio
import itertools
import math

import anyio
import attrs
import looptime

from redwingvalve.allocation import start_limits
from redwingvalve.fleet import endpoints
from redwingvalve.ingress import routes
from redwingvalve.ingress.tests import load_simulation

COLD_PER_S = 14.0
BOUND = start_limits.Bound(1.5, 5.0)
# What may reach a cold endpoint in any one second.
ALLOWED = 26
COLD_S = 30.0
TURN_COLD_S = 2.5
END_S = 6.5
SERVICE = routes.Service(
    's', '/health', 50, cold_s=COLD_S, cold_per_s=COLD_PER_S
)


class ColdSimulation(load_simulation.Simulation):
    """A third of the heads restart and are cold from TURN_COLD_S on."""

    # When entries say so: up to a heartbeat and the lag of the watch later.
    entry_lag_s = (0.0, 1.5)
    states_cold = True

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self.names = sorted(self.heads)
        self.cold = [self.heads[name] for name in self.names[::3]]
        # When each head turned cold, by its object.
        self.cold_since_s = {}
        # What a node reads that starts now.
        self.listed = {
            target.endpoint_id: endpoint(target, 1) for target in self.targets
        }

    def node_started(self, node):
        node.cold_endpoints.configure([SERVICE])
        node.cold_endpoints.update(self.listed.values())

    async def run(self):
        async with anyio.create_task_group() as group:
            group.start_soon(self.turn_cold)
            results = await super().run()
            group.cancel_scope.cancel()
        return results

    async def turn_cold(self):
        await anyio.sleep(TURN_COLD_S)
        await self.restart(self.cold)

    async def restart(self, heads):
        """Let heads be cold; their entries say so later, one by one."""
        now_s = anyio.current_time()
        for head in heads:
            head.cold_until_s = now_s + COLD_S
            head.states_cold = self.states_cold
            self.cold_since_s[head] = now_s
        loop = asyncio.get_running_loop()
        for target in self.targets:
            if self.heads[target.endpoint_id] in heads:
                lag_s = self.rng.uniform(*self.entry_lag_s)
                if math.isfinite(lag_s):
                    loop.call_later(lag_s, self.list_cold, target)

    def list_cold(self, target):
        """Write an entry; nodes read it within 0.2 s."""
        left_s = COLD_S - (anyio.current_time() - TURN_COLD_S)
        entry = endpoint(target, 2, int(left_s * 1000))
        self.listed[target.endpoint_id] = entry
        loop = asyncio.get_running_loop()
        for node in self.nodes:
            lag_s = self.rng.uniform(0, 0.2)
            loop.call_later(lag_s, node.cold_endpoints.update, [entry])

    def most_in_a_second(self, head):
        """Return the most requests within a second at a cold head."""
        arrivals_s = [
            at_s
            for at_s, *_ in head.arrivals
            if at_s >= self.cold_since_s[head]
        ]
        return most_in_a_second(arrivals_s)

    def most_at_cold_heads(self):
        return max(map(self.most_in_a_second, self.cold_since_s))


def most_in_a_second(times_s):
    times_s = sorted(times_s)
    most = 0
    first = 0
    for number, at_s in enumerate(times_s):
        while times_s[first] <= at_s - 1:
            first += 1
        most = max(most, number - first + 1)
    return most


class UnknownColdSimulation(ColdSimulation):
    """Nobody knows that the heads are cold, neither entries nor answers."""

    entry_lag_s = (math.inf, math.inf)
    states_cold = False


class BadNetworkSimulation(ColdSimulation):
    """A tenth of all datagrams is lost, others come late or twice."""

    datagram_loss = 0.1

    def datagram_delay_s(self):
        late_s = 0.05 if self.rng.random() < 0.05 else 0.0
        return late_s + load_simulation.DATAGRAM_DELAY_S * self.rng.uniform(
            1, 5
        )

    def send_datagram(self, origin, vm, message):
        super().send_datagram(origin, vm, message)
        if origin.name != vm and self.rng.random() < 0.1:
            super().send_datagram(origin, vm, message)


class OwnerFaultsSimulation(ColdSimulation):
    """Every 0.8 s an owner of pools restarts, or stops answering, by turns."""

    async def inject_faults(self):
        for number in itertools.count():
            await anyio.sleep(0.8)
            owners = [
                node
                for node in self.nodes
                if node.is_up and node.allocator.is_busy
            ]
            owner = self.rng.choice(owners or self.nodes)
            owner.is_up = False
            await anyio.sleep(0.5)
            if number % 2:
                owner.is_up = True
            else:
                owner.start()


class UnknownColdOwnerFaultsSimulation(
    UnknownColdSimulation, OwnerFaultsSimulation
):
    """Owners fail while nobody knows that heads are cold."""


class TwoOwnersSimulation(ColdSimulation):
    """Half of the nodes reach one half of the nodes only, and its owners."""

    cut_from_s = TURN_COLD_S - 1.0
    cut_to_s = TURN_COLD_S + 2.0

    def send_datagram(self, origin, vm, message):
        now_s = anyio.current_time()
        is_cut = self.cut_from_s <= now_s < self.cut_to_s
        if is_cut and side(origin.name) != side(vm):
            return
        super().send_datagram(origin, vm, message)


class ReturningDataCentreSimulation(ColdSimulation):
    """All endpoints of a data centre come back at once, all of them cold."""

    data_centre = 'dc-0'

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self.all_targets = self.targets
        self.targets = tuple(
            target
            for target in self.all_targets
            if target.data_centre != self.data_centre
        )
        self.returning = [
            self.heads[target.endpoint_id]
            for target in self.all_targets
            if target.data_centre == self.data_centre
        ]

    async def turn_cold(self):
        await anyio.sleep(TURN_COLD_S)
        self.targets = self.all_targets
        loop = asyncio.get_running_loop()
        for node in self.nodes:
            lag_s = self.rng.uniform(0, 1.0)
            loop.call_later(
                lag_s, node.cold_endpoints.mark_cold, self.data_centre
            )
        await self.restart(self.returning)


def side(name):
    return int(name.rpartition('-')[2]) % 2


def endpoint(target, born_ms, cold_left_ms=0):
    return endpoints.Endpoint(
        target.endpoint_id,
        born_ms,
        SERVICE.name,
        target.host,
        target.port,
        target.data_centre,
        target.slots,
        False,
        cold_left_ms=cold_left_ms,
    )


@attrs.frozen
class Fleet:
    nodes: int
    heads: int
    data_centres: int
    # Requests per second and head.
    load_per_s: float


SERVICE_S = 0.45
SLOTS = 24


def simulate(simulation_type, fleet, seed=1):
    deployment = load_simulation.Deployment(
        nodes=fleet.nodes,
        heads=fleet.heads,
        slots=SLOTS,
        service_s=SERVICE_S,
        data_centres=fleet.data_centres,
    )
    load = fleet.load_per_s * SERVICE_S / SLOTS
    phases = [load_simulation.LoadPhase(load, 0.0, END_S)]
    simulation = simulation_type(deployment, phases, seed)
    anyio.run(
        simulation.run,
        backend_options={'loop_factory': looptime.new_event_loop},
    )
    return simulation
