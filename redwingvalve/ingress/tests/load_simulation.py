"""Plays seconds of load over several nodes in virtual time.

The nodes decide with the product's own modules: those that count and grant
places, and those that ask for them. Endpoints serve some requests at once and
queue the rest; datagrams between nodes take a millisecond and may get lost;
callers leave when nothing comes, and come back once when they are refused.
"""

import asyncio
import functools
import math
import random

import anyio
import attrs
import looptime

from redwingvalve.allocation import (
    allocator,
    dispatch,
    messages,
    owners,
    reserver,
)
from redwingvalve.ingress import (
    duration_estimates,
    load_balancing,
    refusals,
    reservations,
    routes,
    wait_queue,
)

# One way between nodes.
DATAGRAM_DELAY_S = 0.001
TICK_INTERVAL_S = 0.1
CALLER_PATIENCE_S = 2.0
DEADLINE_S = 6.0
# Callers heed a third of the time that they have left.
MAX_RETRY_AFTER_SHARE = 1 / 3


@attrs.frozen
class Deployment:
    """What serves, and what callers expect."""

    nodes: int = 8
    heads: int = 8
    slots: int = 13
    # Mean time in service, and from the start of it to the first event.
    service_s: float = 0.8
    first_event_s: float = 0.15
    goal_s: float = 0.3
    data_centres: int = 1

    @property
    def capacity_per_s(self):
        """Return the requests that the places serve."""
        return self.heads * self.slots / self.service_s


@attrs.frozen
class LoadPhase:
    """A load, as a share of the capacity, between two moments."""

    load: float
    from_s: float
    to_s: float


@attrs.define
class Results:
    """What became of the callers, by the moment at which they came."""

    asked: list = attrs.field(factory=list)
    on_time: list = attrs.field(factory=list)
    late: list = attrs.field(factory=list)
    lost: list = attrs.field(factory=list)
    refusals: int = 0
    # Datagrams between nodes.
    messages: int = 0
    held_s: list = attrs.field(factory=list)

    def share(self, moments, from_s, to_s):
        """Return the share of callers of a time that are among moments."""
        asked = _between(self.asked, from_s, to_s)
        return _between(moments, from_s, to_s) / max(asked, 1)

    def rate(self, moments, from_s, to_s):
        """Return how many of a time are among moments, a second."""
        return _between(moments, from_s, to_s) / (to_s - from_s)

    def held_p99_s(self):
        """Return how long refused callers were held."""
        ordered = sorted(self.held_s)
        return ordered[len(ordered) * 99 // 100] if ordered else 0.0


def _between(moments, from_s, to_s):
    return sum(from_s <= moment < to_s for moment in moments)


class Head:
    """An endpoint that serves so many at once and queues the others."""

    def __init__(self, slots):
        """Start idle."""
        self._places = anyio.Semaphore(slots)
        # Requests that came when all places were taken.
        self.queued = 0

    async def serve(self, first_event_s, service_s, on_first_event):
        """Run one request; begun is called at its first event."""
        if self._places.value == 0:
            self.queued += 1
        async with self._places:
            await anyio.sleep(first_event_s)
            on_first_event()
            await anyio.sleep(service_s - first_event_s)


class Node:
    """A node whose places are granted by the node that counts them."""

    def __init__(self, name, play):
        """Join the play's network."""
        self.name = name
        self._simulation = play
        self.loads = load_balancing.EndpointLoads()
        self.first_event_estimate = (
            duration_estimates.make_first_event_estimate()
        )
        number = int(name.rpartition('-')[2])
        self.data_centre = f'dc-{number % play.deployment.data_centres}'
        self.is_up = True
        self.born_ms = 0
        self._reservations = {}
        self.start()

    def start(self):
        """Begin, or begin anew after a kill, knowing nothing."""
        self.born_ms += 1
        self.is_up = True
        self.loads.by_endpoint.clear()
        self.allocator = allocator.Allocator(
            self._targets_of, anyio.current_time, self._simulation.rng
        )
        self.reserver = reserver.NodeReserver(
            data_centre=self.data_centre,
            targets=self,
            owners=owners.PoolOwners(
                self._simulation.candidates, anyio.current_time
            ),
            transport=self,
            loads=self.loads,
            clock=anyio.current_time,
            rng=self._simulation.rng,
        )

    def find_targets(self, service, model):
        """Return the targets, which all nodes know."""
        return self._simulation.targets

    def send(self, vm, message):
        """Send by a network that delays and loses datagrams."""
        self._simulation.send_datagram(self, vm, message)

    def receive(self, envelope):
        """Take a datagram."""
        sender = envelope.sender.vm
        dispatch.dispatch_message(
            envelope,
            self.allocator,
            self.reserver,
            functools.partial(self.send, sender),
        )

    async def run_reports(self):
        """Report holdings, and look at what has lapsed."""
        reported_s = anyio.current_time()
        while True:
            await anyio.sleep(TICK_INTERVAL_S)
            if not self.is_up:
                continue
            self.allocator.tick()
            if anyio.current_time() - reported_s >= reserver.REPORT_INTERVAL_S:
                reported_s = anyio.current_time()
                self.reserver.report()

    async def ask(self, first_s, *, has_returned):
        """Serve one attempt; return when to come back if it is refused."""
        play = self._simulation
        route = play.route
        began_s = anyio.current_time()
        ask = wait_queue.SlotRequest(
            urgency=1,
            on_time_s=refusals.on_time_wait_s(
                route, self.first_event_estimate.seconds
            ),
            wait_s=refusals.wait_s(
                route, first_s + DEADLINE_S - anyio.current_time()
            ),
            has_returned=has_returned and play.detects_caller_retries,
        )
        target, retry_after_s = await self.reserve_slot(ask)
        if target is None:
            play.got.held_s.append(anyio.current_time() - began_s)
            return refusals.with_jitter_s(retry_after_s, play.rng)
        sent_s = anyio.current_time()
        with anyio.move_on_after(
            CALLER_PATIENCE_S - (sent_s - began_s)
        ) as timeout_scope:
            on_first_event = functools.partial(
                self._on_first_event, first_s, sent_s, timeout_scope
            )
            await play.heads[target.endpoint_id].serve(
                play.deployment.first_event_s,
                play.sample_service_s(),
                on_first_event,
            )
        self.release_slot(target)
        if timeout_scope.cancelled_caught:
            play.got.lost.append(first_s)
        return None

    async def reserve_slot(self, ask):
        """Reserve a place."""
        found = await self.reserver.reserve('s', 'model', ask, (), ())
        if isinstance(found, reservations.NoSlot):
            return None, found.retry_after_s
        self._reservations.setdefault(found.target.endpoint_id, []).append(
            found
        )
        return found.target, 0

    def release_slot(self, target):
        """Release a place."""
        held = self._reservations[target.endpoint_id].pop()
        held.release(reservations.ReleaseState.FREE)

    def _targets_of(self, pool):
        return tuple(
            target
            for target in self._simulation.targets
            if pool.data_centre in {'', target.data_centre}
        )

    def _on_first_event(self, first_s, sent_s, timeout_scope):
        now_s = anyio.current_time()
        timeout_scope.deadline = math.inf
        self.first_event_estimate.observe(now_s - sent_s)
        play = self._simulation
        is_on_time = now_s - first_s <= play.deployment.goal_s
        (play.got.on_time if is_on_time else play.got.late).append(first_s)


class Simulation:
    """One load over one deployment."""

    # A share of the datagrams that is lost.
    datagram_loss = 0.0

    def __init__(self, deployment, phases, seed, detects_caller_retries=True):
        """Prepare."""
        self.deployment = deployment
        self.phases = phases
        self.detects_caller_retries = detects_caller_retries
        self.rng = random.Random(seed)
        self.got = Results()
        names = [f'head-{number}' for number in range(deployment.heads)]
        self.targets = tuple(
            load_balancing.Target(
                name,
                'h',
                1,
                deployment.slots,
                f'dc-{number % deployment.data_centres}',
            )
            for number, name in enumerate(names)
        )
        self.heads = {name: Head(deployment.slots) for name in names}
        self.nodes = []
        self.route = make_route(deployment.goal_s)

    async def run(self):
        """Play all waves and let what they left behind end."""
        self.nodes = [
            Node(f'vm-{number}', self)
            for number in range(self.deployment.nodes)
        ]
        async with anyio.create_task_group() as background:
            for node in self.nodes:
                background.start_soon(node.run_reports)
            async with anyio.create_task_group() as callers:
                background.start_soon(self.inject_faults)
                await self._start_callers(callers)
            background.cancel_scope.cancel()
        return self.got

    async def inject_faults(self):
        """Do nothing to the nodes."""

    def candidates(self):
        """Return all nodes, those too that are down."""
        return [
            owners.Candidate(node.name, node.data_centre) for node in self.nodes
        ]

    def send_datagram(self, origin, vm, message):
        """Carry a datagram between nodes that are up."""
        node = next(one for one in self.nodes if one.name == vm)
        packed = messages.pack(
            messages.Envelope(
                messages.Sender(origin.name, origin.born_ms), message
            )
        )
        if origin is node:
            node.receive(messages.unpack(packed))
            return
        self.got.messages += 1
        if not origin.is_up or self.rng.random() < self.datagram_loss:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self.datagram_delay_s(), self._deliver, node, packed)

    def datagram_delay_s(self):
        """Return how long a datagram is on its way."""
        return DATAGRAM_DELAY_S

    def _deliver(self, node, packed):
        if node.is_up:
            node.receive(messages.unpack(packed))

    def sample_service_s(self):
        """Return how long one request takes, longer than to its beginning."""
        mean_s = self.deployment.service_s - self.deployment.first_event_s
        return self.deployment.first_event_s + self.rng.gammavariate(
            2, mean_s / 2
        )

    async def _start_callers(self, callers):
        until_s = max(phase.to_s for phase in self.phases)
        while anyio.current_time() < until_s:
            now_s = anyio.current_time()
            load = sum(
                phase.load
                for phase in self.phases
                if phase.from_s <= now_s < phase.to_s
            )
            callers.start_soon(self._caller)
            rate_per_s = load * self.deployment.capacity_per_s
            await anyio.sleep(self.rng.expovariate(rate_per_s))

    async def _caller(self):
        first_s = anyio.current_time()
        self.got.asked.append(first_s)
        node = self.rng.choice(self.nodes)
        retry_after_s = await node.ask(first_s, has_returned=False)
        if retry_after_s is None:
            return
        self.got.refusals += 1
        left_s = DEADLINE_S - (anyio.current_time() - first_s)
        await anyio.sleep(min(retry_after_s, left_s * MAX_RETRY_AFTER_SHARE))
        node = self.rng.choice(self.nodes)
        if await node.ask(first_s, has_returned=True) is not None:
            self.got.refusals += 1
            self.got.lost.append(first_s)


def make_route(goal_s):
    """Return a route with a goal."""
    return routes.Route(
        name='r',
        host='h',
        path_prefix='/',
        kind=routes.RouteKind.STREAM,
        splits=(),
        timeout_ms=6000,
        goal_ms=int(goal_s * 1000),
        max_attempts=2,
        priority=1,
        anonymous=True,
        resumable=True,
        gap_goal_ms=200,
    )


def simulate(deployment, phases, seed=1, make_play=Simulation, **more):
    """Return what callers got."""
    return anyio.run(
        make_play(deployment, phases, seed, **more).run,
        backend_options={'loop_factory': looptime.new_event_loop},
    )
