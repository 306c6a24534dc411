"""Load on endpoints that spoil most answers, while nodes are disturbed."""

import random
import time

import anyio
import attrs

from redwingvalve.node import daemon
from redwingvalve.platform.tests import fleet_harness

WINDOW_S = 4.0
BOUNDS = {
    **fleet_harness.BOUNDS,
    'budget_window_s': WINDOW_S,
    'budget_extra': 60,
}
SPOILED_SHARE = 0.8


def configuration():
    """Return the harness's configuration with three attempts per request."""
    document = fleet_harness.configuration()
    for route in document['routes']:
        if route['kind'] != 'non_idempotent':
            route['max_attempts'] = 3
    return document


@attrs.define(eq=False)
class RetryLoad:
    """Sends requests to random nodes and counts arrivals at endpoints."""

    fleet: fleet_harness.Fleet
    is_stream: bool = False
    requests_per_s: float = 25.0
    seed: int = 0
    sent_s: list[float] = attrs.field(factory=list)
    _scopes: dict[str, anyio.CancelScope] = attrs.field(factory=dict)

    async def run(self, disturbances, duration_s):
        """Send for duration_s; disturbances are pairs of a time and a call."""
        rng = random.Random(self.seed)
        for endpoint in self.fleet.endpoints.values():
            endpoint.faults.spoiled_share = SPOILED_SHARE
        async with anyio.create_task_group() as group:
            for at_s, disturb in disturbances:
                group.start_soon(self._disturb, at_s, disturb, group)
            end_s = anyio.current_time() + duration_s
            while anyio.current_time() < end_s:
                await anyio.sleep(rng.expovariate(self.requests_per_s))
                listening = [
                    one for one in self.fleet.nodes if one.is_listening
                ]
                if listening:
                    group.start_soon(self._send, rng.choice(listening))
            group.cancel_scope.cancel()

    async def start_node(self, name, group):
        """Start a node; return when it accepts callers."""
        node = daemon.make_node(
            fleet_harness.node_settings(
                name, self.fleet.store_address, bounds=BOUNDS
            )
        )
        scope = anyio.CancelScope()
        self._scopes[name] = scope
        self.fleet.nodes.append(node)

        async def run():
            with scope:
                await node.run(anyio.Event())

        group.start_soon(run)
        await self.fleet.wait_until(lambda: node.is_listening)

    async def replace(self, group, *names):
        """Kill the named nodes and start a new process of each."""
        for name in names:
            self._scopes.pop(name).cancel()
        self.fleet.nodes[:] = [
            node for node in self.fleet.nodes if node.settings.vm not in names
        ]
        await anyio.sleep(0.05)
        async with anyio.create_task_group() as starting:
            for name in names:
                starting.start_soon(self.start_node, name, group)

    def worst_excess(self):
        """Return the most retries beyond those allowed in any window."""
        repeats_s = sorted(self._repeats_s())
        return max(
            _count(repeats_s, at_s) - self._allowed(at_s) for at_s in repeats_s
        )

    def most_repeats(self):
        """Return the most retries in any window."""
        repeats_s = sorted(self._repeats_s())
        return max(_count(repeats_s, at_s) for at_s in repeats_s)

    def _repeats_s(self):
        arrivals = sorted(
            (at_s, attempt_id)
            for endpoint in self.fleet.endpoints.values()
            for at_s, attempt_id in zip(
                endpoint.arrivals.times_s,
                endpoint.arrivals.attempt_ids,
                strict=True,
            )
        )
        seen = set()
        for at_s, attempt_id in arrivals:
            if attempt_id in seen:
                yield at_s
            seen.add(attempt_id)

    def _allowed(self, start_s):
        starts_s = (start_s, start_s - WINDOW_S / 2, start_s - WINDOW_S)
        most = max(_count(self.sent_s, one) for one in starts_s)
        return BOUNDS['retry_budget_ratio'] * most + BOUNDS['budget_extra']

    async def _disturb(self, at_s, disturb, group):
        await anyio.sleep(at_s)
        await disturb(group)

    async def _send(self, node):
        front = node.settings.front
        caller = fleet_harness.Caller((front.host, front.port))
        self.sent_s.append(time.monotonic())
        try:
            if self.is_stream:
                await caller.stream()
            else:
                await caller.ask('/card/1')
        except (OSError, TimeoutError):
            # The node was killed; what arrived at endpoints still counts.
            return


def _count(times_s, start_s):
    return sum(start_s <= at_s < start_s + WINDOW_S for at_s in times_s)
