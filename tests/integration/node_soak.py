"""Randomized soak test of node processes with external fault injection.

`python -m tests.integration.node_soak --seeds 1-50 --duration-s 20` prints one
line per seed. If a seed breaches an invariant, its logs are kept and the exit
status is 1.
"""

import argparse
import random
import shutil
import signal
import sys
import tempfile

import anyio
import attrs

from redwingvalve.platform.standins import store as fake_store
from redwingvalve.platform.tests import fleet_harness
from tests.integration import (
    node_faults,
    node_versions,
    node_world,
    soak_streams,
)

CALLERS = 6
# In addition, callers of streams of drawn lengths only. They are counted apart,
# as a long stream takes the time of many refusals.
STREAM_CALLERS = 5
# After all faults are healed, requests must recover within this time to this
# fraction of successful responses.
RECOVERY_S = 4.0
RECOVERED_FRACTION = 0.9
# An endpoint may receive requests for this long after it reports 'draining'.
DRAIN_S = fleet_harness.BOUNDS['drain_ms'] / 1000
SETTLE_S = 2.5
# The same after an evacuation, and until one that has ended is known to all.
EVACUATE_S = node_world.BOUNDS['evacuate_ms'] / 1000
MAX_NODES = 12
# Callers that use an open connection until its process is gone.
CLINGING_PART = 0.3
# Endpoints whose answers end with their connections.
UNFRAMED_PART = 0.3
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


@attrs.define(eq=False)
class RunResults:
    """Requests sent by callers and the responses they received."""

    sent: int = 0
    served: int = 0
    breaches: list = attrs.field(factory=list)
    # Attempts that must run at most once, and attempts reported as not run.
    at_most_once: list = attrs.field(factory=list)
    not_run: list = attrs.field(factory=list)
    outcomes: list = attrs.field(factory=list)
    # Those of the callers of streams only.
    streams: 'RunResults | None' = None


@attrs.define(eq=False)
class Caller:
    """Sends requests in sequence over reused and new connections."""

    cluster: node_world.NodeCluster
    results: RunResults
    rng: object
    # Draws the streams of a caller of streams only.
    stream_rng: object | None = None
    connection: fleet_harness.Caller | None = None
    stream: soak_streams.Stream | None = None

    async def run(self):
        clings = self.stream_rng and self.stream_rng.random() < CLINGING_PART
        while True:
            changes = self.rng.random() < 0.3 and not clings
            if self.connection is None or changes:
                node = self.rng.choice(self.cluster.nodes)
                self.connection = fleet_harness.Caller(
                    (node.ip, node_world.FRONT_PORT)
                )
            await self._send_request()
            await anyio.sleep(self.rng.uniform(0, 0.05))

    async def _send_request(self):
        kind = 'stream'
        if self.stream_rng is None:
            kind = self.rng.choice(('stream', 'quote', 'card'))
        self.results.sent += 1
        is_served = False
        try:
            response = await self._send(kind)
            is_served = self._check_response(kind, response)
        except (OSError, TimeoutError):
            # The node is down or paused; reconnect to a random node.
            self.connection = None
        self.results.served += is_served
        self.results.outcomes.append((anyio.current_time(), is_served))

    async def _send(self, kind):
        if kind == 'stream':
            self.stream = soak_streams.draw(self.stream_rng)
            return await soak_streams.ask(self.connection, self.stream)
        if kind == 'quote':
            number = self.connection.number + 1
            self.results.at_most_once.append(self.connection.attempt_id(number))
        return await self.connection.ask(f'/{kind}/1', b'body')

    def _check_response(self, kind, response):
        """Return whether the request was served; record any breach."""
        attempt = self.connection.attempt_id(self.connection.number)
        if kind == 'stream':
            problem = soak_streams.find_breach(self.stream, response)
            if problem:
                self.results.breaches.append(f'{attempt} {problem}')
        if response.ending != 'whole':
            self.connection = None
            return False
        if kind == 'quote' and response.status in NOT_RUN_STATUSES:
            self.results.not_run.append(attempt)
        if response.status != 200:
            return False
        if kind != 'stream' and response.body != b'body of %b' % attempt:
            self.results.breaches.append(f'{attempt}: body {response.body}')
        return True


def check(cluster, results):
    """Return all breaches found in a run."""
    breaches = [*cluster.breaches, *results.breaches]
    breaches += [
        f'{attempt} ran {cluster.count_runs(attempt)} times'
        for attempt in results.at_most_once
        if cluster.count_runs(attempt) > 1
    ]
    breaches += [
        f'{attempt} was said not to run and ran'
        for attempt in results.not_run
        if cluster.count_runs(attempt)
    ]
    end_s = results.outcomes[-1][0] if results.outcomes else 0
    late = [served for at_s, served in results.outcomes if at_s > end_s - 2]
    if sum(late) < RECOVERED_FRACTION * len(late) or not late:
        breaches.append(f'recovered {sum(late)} of {len(late)}')
    return breaches


async def check_drain(cluster):
    """Drain an endpoint without faults; report requests it gets too late."""
    endpoint = cluster.rng.choice(
        cluster.ready_endpoints(fleet_harness.PLAIN_SERVICE)
    )
    endpoint.drain()
    await anyio.sleep(DRAIN_S)
    before = len(endpoint.runs)
    await anyio.sleep(1)
    late = len(endpoint.runs) - before
    return [f'{endpoint.endpoint_id} got {late} late'] if late else []


async def check_evacuation(cluster):
    """Evacuate the only data centre; report what reaches its endpoints."""
    cluster.store.put('evacuations', 'zone-1', {})
    await anyio.sleep(EVACUATE_S)
    before = cluster.count_arrivals()
    await anyio.sleep(1)
    late = cluster.count_arrivals() - before
    cluster.store.remove('evacuations', 'zone-1')
    await anyio.sleep(EVACUATE_S + RECOVERY_S)
    return [f'{late} requests reached an evacuated zone'] if late else []


async def heal(cluster):
    """Clear all faults and start nodes that are down."""
    cluster.store.faults = fake_store.StoreFaults()
    for node in cluster.nodes:
        node.proxy.heal()
        node.send_signal(signal.SIGCONT)
        if not node.is_running:
            node.start()
    await anyio.sleep(RECOVERY_S)


async def soak(seed, duration_s, nodes, directory):
    """Run one seed; return its results, injected faults and breaches."""
    cluster = node_world.NodeCluster(
        seed, nodes, directory, unframed_part=UNFRAMED_PART
    )
    versions = node_versions.Versions(cluster, random.Random(seed))
    results = RunResults(streams=RunResults())
    found = []
    injected = []
    async with anyio.create_task_group() as group:
        try:
            await cluster.start(group)
            versions.write()
            await anyio.sleep(SETTLE_S)
            group.start_soon(versions.watch)
            for _ in range(CALLERS):
                rng = random.Random(cluster.rng.random())
                group.start_soon(Caller(cluster, results, rng).run)
            for number in range(STREAM_CALLERS):
                rng = random.Random(f'streams {seed} {number}')
                caller = Caller(cluster, results.streams, rng, rng)
                group.start_soon(caller.run)
            found += await check_drain(cluster)
            async with anyio.create_task_group() as fault_group:
                faults = node_faults.Faults(cluster, versions, fault_group)
                async with anyio.create_task_group() as silences:
                    silences.start_soon(faults.silence_endpoints, seed)
                    silences.start_soon(faults.silence_while_others_refuse)
                    await faults.run(duration_s)
                    silences.cancel_scope.cancel()
                injected = faults.injected
            await heal(cluster)
            found += await check_drain(cluster)
            found += await check_evacuation(cluster)
            found += await versions.check_converged()
        finally:
            cluster.kill_all()
            group.cancel_scope.cancel()
    found += [*versions.breaches, *results.streams.breaches]
    return results, injected, [*found, *check(cluster, results)]


def draw_nodes(seed):
    return random.Random(f'nodes {seed}').randint(1, MAX_NODES)


def main(arguments=None):
    """Run all seeds; return 1 if any of them had a breach."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', default='1-5')
    parser.add_argument('--duration-s', type=float, default=20)
    parser.add_argument('--nodes', type=int, help='drawn by default')
    options = parser.parse_args(arguments)
    first, _, last = options.seeds.partition('-')
    broken = 0
    for seed in range(int(first), int(last or first) + 1):
        directory = tempfile.mkdtemp(prefix=f'node-soak-{seed}-')
        nodes = options.nodes or draw_nodes(seed)
        results, injected, breaches = anyio.run(
            soak, seed, options.duration_s, nodes, directory
        )
        broken += bool(breaches)
        sys.stdout.write(
            f'seed {seed}: {nodes} nodes, {len(injected)} faults,'
            f' {results.served} of {results.sent} served,'
            f' {results.streams.served} of {results.streams.sent} streams,'
            f' {len(breaches)} breaches\n'
        )
        for breach in breaches[:5]:
            sys.stdout.write(f'  {breach} (logs: {directory})\n')
        sys.stdout.flush()
        if not breaches:
            shutil.rmtree(directory)
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
