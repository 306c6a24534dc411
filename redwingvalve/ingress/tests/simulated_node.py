"""A node of a simulation, which runs the production modules for slots."""

import functools
import math

import anyio

from redwingvalve.allocation import (
    allocator,
    cold_endpoints,
    cold_starts,
    dispatch,
    owners,
    reserver,
    start_forwarder,
)
from redwingvalve.ingress import (
    duration_estimates,
    load_balancing,
    refusals,
    reservations,
    wait_queue,
)
from redwingvalve.platform import endpoint_statements

TICK_INTERVAL_S = 0.1
CALLER_PATIENCE_S = 2.0
DEADLINE_S = 6.0


class Node:
    """A node that requests slots from the node that owns their pool."""

    def __init__(self, name, simulation):
        """Join the simulated network."""
        self.name = name
        self._simulation = simulation
        self.loads = load_balancing.EndpointLoads()
        self.first_event_estimate = (
            duration_estimates.make_first_event_estimate()
        )
        number = int(name.rpartition('-')[2])
        self.data_centre = f'dc-{number % simulation.deployment.data_centres}'
        self.is_up = True
        self.born_ms = 0
        self.start()

    def start(self):
        """Start, or restart after a kill, without any state."""
        self.born_ms += 1
        self.is_up = True
        self.loads.by_endpoint.clear()
        pool_owners = owners.PoolOwners(
            self._simulation.candidates, anyio.current_time
        )
        self.cold_endpoints = cold_endpoints.ColdEndpoints(anyio.current_time)
        self.allocator = allocator.Allocator(
            self._pool_targets,
            anyio.current_time,
            self._simulation.rng,
            cold=cold_starts.ColdStarts(self.cold_endpoints),
            forwarder=start_forwarder.make_forwarder(
                self.name, pool_owners, self, anyio.current_time()
            ),
        )
        takeovers = self.allocator.takeovers
        takeovers.holders = self._simulation.living
        takeovers.request = self.send
        takeovers.owns = functools.partial(pool_owners.is_first, self.name)
        takeovers.refresh = pool_owners.refresh
        self.reserver = reserver.NodeReserver(
            data_centre=self.data_centre,
            targets=self,
            owners=pool_owners,
            transport=self,
            loads=self.loads,
            clock=anyio.current_time,
            rng=self._simulation.rng,
            cold=cold_starts.ColdStarts(self.cold_endpoints),
        )
        self._simulation.node_started(self)

    def find_targets(self, service, model):
        """Return the targets, which are the same on all nodes."""
        return self._simulation.targets

    def mark_leaving(self, endpoint_id, born_ms=0):
        """Ignore endpoints that leave; the targets are fixed."""

    def send(self, vm, message):
        """Send a message over a network that delays and loses datagrams."""
        self._simulation.send_datagram(self, vm, message)

    def receive(self, envelope):
        """Receive a datagram."""
        sender = envelope.sender.vm
        dispatch.dispatch_message(
            envelope,
            self.allocator,
            self.reserver,
            functools.partial(self.send, sender),
        )

    async def run_reports(self):
        """Report held slots, and release expired ones, until cancelled."""
        reported_s = anyio.current_time()
        while True:
            await anyio.sleep(TICK_INTERVAL_S)
            if not self.is_up:
                continue
            self.allocator.tick()
            if anyio.current_time() - reported_s >= reserver.REPORT_INTERVAL_S:
                reported_s = anyio.current_time()
                self.reserver.report()

    async def ask(self, first_attempt_s, *, has_returned):
        """Handle one attempt; return the time to the retry if refused."""
        simulation = self._simulation
        route = simulation.route
        started_s = anyio.current_time()
        ask = wait_queue.SlotRequest(
            urgency=1,
            on_time_s=refusals.on_time_wait_s(
                route, self.first_event_estimate.seconds
            ),
            wait_s=refusals.wait_s(
                route, first_attempt_s + DEADLINE_S - anyio.current_time()
            ),
            has_returned=has_returned and simulation.detects_caller_retries,
        )
        found = await self.reserver.reserve('s', 'model', ask, (), ())
        if isinstance(found, reservations.NoSlot):
            simulation.results.held_s.append(anyio.current_time() - started_s)
            return refusals.with_jitter_s(found.retry_after_s, simulation.rng)
        sent_s = anyio.current_time()
        with anyio.move_on_after(
            CALLER_PATIENCE_S - (sent_s - started_s)
        ) as timeout_scope:
            on_first_event = functools.partial(
                self._on_first_event,
                first_attempt_s,
                sent_s,
                timeout_scope,
                found,
            )
            await simulation.heads[found.target.endpoint_id].serve(
                self,
                simulation.deployment.first_event_s,
                simulation.sample_service_s(),
                on_first_event,
            )
        found.release(reservations.ReleaseState.FREE)
        if timeout_scope.cancelled_caught:
            simulation.results.lost.append(first_attempt_s)
        return None

    def _pool_targets(self, pool):
        return tuple(
            target
            for target in self._simulation.targets
            if pool.data_centre in {'', target.data_centre}
        )

    def _on_first_event(
        self, first_attempt_s, sent_s, timeout_scope, reservation
    ):
        now_s = anyio.current_time()
        head = self._simulation.heads[reservation.target.endpoint_id]
        self._simulation.answer_received(self, head)
        left_s = max(0, head.cold_until_s - now_s) if head.states_cold else None
        statement = endpoint_statements.Statement(
            head.stated_requests_per_s, cold_left_s=left_s
        )
        reservation.record_statement(statement)
        timeout_scope.deadline = math.inf
        self.first_event_estimate.observe(now_s - sent_s)
        simulation = self._simulation
        is_on_time = now_s - first_attempt_s <= simulation.deployment.goal_s
        (
            simulation.results.on_time
            if is_on_time
            else simulation.results.late
        ).append(first_attempt_s)
