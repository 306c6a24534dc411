"""Configuration changes during the node soak test, and their invariants.

Each version adds a route and revokes the API key of the previous version. A
node process must never revert to a version older than one it was seen to use,
and all nodes must use the latest version soon after the faults are healed.
"""

import anyio
import attrs

from redwingvalve.platform.tests import fleet_harness
from tests.integration import node_world

PROBE_INTERVAL_S = 0.1
# A request sent this soon after a version was first seen may still be handled
# with the previous one.
IN_FLIGHT_S = 0.25
NOT_FOUND = 404
UNAUTHORIZED = 401


def api_key(version):
    return f'key-of-version-{version}'


def route_prefix(version):
    return f'/version/{version}/'


def make_configuration(version):
    """Return a configuration with the routes of versions 1 to version."""
    made = fleet_harness.configuration(version)
    made['routes'] += [
        fleet_harness.route(
            f'version-{number}',
            route_prefix(number),
            'idempotent',
            fleet_harness.PLAIN_SERVICE,
            anonymous=True,
        )
        for number in range(1, version + 1)
    ]
    is_short = bool(version % 2)
    made['limits']['idle_timeout_ms'] = 1500 if is_short else 15_000
    keys = [fleet_harness.API_KEY, api_key(version)]
    made['tenants'] = [{'name': 'workshop', 'api_keys': keys, 'priority': 0}]
    return made


@attrs.define(eq=False)
class Versions:
    """Tracks the latest written version and the versions processes use."""

    cluster: node_world.NodeCluster
    rng: object
    number: int = 1
    breaches: list = attrs.field(factory=list)
    # Newest version seen in use and the time it was seen, by process id.
    _seen: dict = attrs.field(factory=dict)

    def write(self):
        self.cluster.store.put(
            'config', 'main', make_configuration(self.number)
        )

    def change(self):
        self.number += 1
        self.write()

    async def watch(self):
        """Probe random nodes for random versions until cancelled."""
        while True:
            await anyio.sleep(PROBE_INTERVAL_S)
            node = self.rng.choice(self.cluster.nodes)
            if node.is_running:
                await self._probe(node, self.rng.randint(1, self.number))

    async def _probe(self, node, version):
        process = node.process.pid
        sent_s = anyio.current_time()
        status = await _get_status(node, route_prefix(version), key=None)
        self.record_response(
            process, version, status, sent_s, anyio.current_time()
        )

    def record_response(self, process, version, status, sent_s, got_s):
        """Record a probe response; a version no longer in use is a breach."""
        seen, seen_s = self._seen.get(process, (0, 0))
        if status == NOT_FOUND:
            if version <= seen and sent_s > seen_s + IN_FLIGHT_S:
                self.breaches.append(
                    f'process {process} used version {seen} and now lacks'
                    f' {version}'
                )
        elif status and version > seen:
            self._seen[process] = (version, got_s)

    async def check_converged(self):
        """Return a breach per node that does not use the latest version."""
        found = []
        for node in self.cluster.nodes:
            status = await _get_status(
                node, route_prefix(self.number), key=None
            )
            if status in {0, NOT_FOUND}:
                found.append(f'{node.ip} returns {status} for the latest route')
            if self.number == 1:
                continue
            old_key = api_key(self.number - 1)
            status = await _get_status(node, '/card/1', key=old_key)
            if status != UNAUTHORIZED:
                found.append(f'{node.ip} returns {status} for a revoked key')
        return found


async def _get_status(node, path, key):
    """Return the response status, or 0 if there was no complete response."""
    caller = fleet_harness.Caller((node.ip, node_world.FRONT_PORT))
    try:
        response = await caller.ask(path, b'body', key=key)
    except (OSError, TimeoutError):
        return 0
    finally:
        if caller.connection is not None:
            caller.connection.abandon()
    return response.status if response.ending == 'whole' else 0
