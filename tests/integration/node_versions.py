"""Configurations that change while nodes are soaked, and what must hold.

Each version adds a route and takes the key of the version before away. A node
process that was seen to use a version never goes back behind it, and all nodes
use the last one soon after the faults are over.
"""

import anyio
import attrs

from redwingvalve.platform.tests import fleet_harness
from tests.integration import node_world

PROBE_S = 0.1
# What a node may still have under way from before it took a version.
SLACK_S = 0.25
NOT_FOUND = 404
UNAUTHORIZED = 401


def key_of(version):
    return f'key-of-version-{version}'


def path_of(version):
    return f'/version/{version}/'


def document(version):
    """Return a configuration with the routes of all versions so far."""
    made = fleet_harness.configuration(version)
    made['routes'] += [
        fleet_harness.route(
            f'version-{number}',
            path_of(number),
            'idempotent',
            fleet_harness.PLAIN_SERVICE,
            anonymous=True,
        )
        for number in range(1, version + 1)
    ]
    keys = [fleet_harness.API_KEY, key_of(version)]
    made['tenants'] = [{'name': 'workshop', 'api_keys': keys, 'priority': 0}]
    return made


@attrs.define(eq=False)
class Versions:
    """What the operator wrote last, and what each process was seen to use."""

    world: node_world.World
    chance: object
    number: int = 1
    breaches: list = attrs.field(factory=list)
    # The newest version in use, and when that was seen, by process.
    _seen: dict = attrs.field(factory=dict)

    def write(self):
        self.world.store.put('config', 'main', document(self.number))

    def change(self):
        self.number += 1
        self.write()

    async def watch(self):
        """Ask nodes by chance which versions they use, until cancelled."""
        while True:
            await anyio.sleep(PROBE_S)
            node = self.chance.choice(self.world.nodes)
            if node.is_running:
                await self._probe(node, self.chance.randint(1, self.number))

    async def _probe(self, node, version):
        process = node.process.pid
        sent_s = anyio.current_time()
        status = await _ask(node, path_of(version), key=None)
        self.note(process, version, status, sent_s, anyio.current_time())

    def note(self, process, version, status, sent_s, got_s):
        """Take an answer; remember a version that went out of use."""
        seen, seen_s = self._seen.get(process, (0, 0))
        if status == NOT_FOUND:
            if version <= seen and sent_s > seen_s + SLACK_S:
                self.breaches.append(
                    f'process {process} went back from {seen} behind {version}'
                )
        elif status and version > seen:
            self._seen[process] = (version, got_s)

    async def check_calm(self):
        """Return the nodes that don't use the last version."""
        found = []
        for node in self.world.nodes:
            status = await _ask(node, path_of(self.number), key=None)
            if status in {0, NOT_FOUND}:
                found.append(f'{node.ip} answers {status} for the last route')
            if self.number == 1:
                continue
            old_key = key_of(self.number - 1)
            status = await _ask(node, '/card/1', key=old_key)
            if status != UNAUTHORIZED:
                found.append(f'{node.ip} answers {status} to a key taken away')
        return found


async def _ask(node, path, key):
    """Return the status, or 0 without an answer."""
    caller = fleet_harness.Caller((node.ip, node_world.FRONT_PORT))
    try:
        answer = await caller.ask(path, b'body', key=key)
    except (OSError, TimeoutError):
        return 0
    finally:
        if caller.connection is not None:
            caller.connection.abandon()
    return answer.status if answer.ending == 'whole' else 0
