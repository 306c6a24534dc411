"""A randomized soak of node processes, faults injected from outside.

`python -m tests.integration.node_soak --seeds 1-50 --duration-s 20` prints a
line for each seed; a breach ends it with status 1 and keeps the logs.
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
from tests.integration import node_faults, node_versions, node_world

CALLERS = 6
# What was served of the last requests, once all faults are over.
RECOVER_S = 4.0
RECOVERED_SHARE = 0.9
# From an entry that says 'draining' to the last request that may be sent.
DRAIN_S = fleet_harness.BOUNDS['drain_ms'] / 1000
CALM_S = 2.5
EVENTS = list(range(1, 7))
NOT_RUN = frozenset((408, 421, 429, 503))


@attrs.define(eq=False)
class Tally:
    """What callers got."""

    asked: int = 0
    served: int = 0
    breaches: list = attrs.field(factory=list)
    # Attempts that may run once at most; those that were said not to run.
    quotes: list = attrs.field(factory=list)
    not_run: list = attrs.field(factory=list)
    last: list = attrs.field(factory=list)


@attrs.define(eq=False)
class Caller:
    """Sends one request after the other, on kept and on new connections."""

    world: node_world.World
    tally: Tally
    chance: object
    connection: fleet_harness.Caller | None = None

    async def run(self):
        while True:
            if self.connection is None or self.chance.random() < 0.3:
                node = self.chance.choice(self.world.nodes)
                self.connection = fleet_harness.Caller(
                    (node.ip, node_world.FRONT_PORT)
                )
            await self._ask()
            await anyio.sleep(self.chance.uniform(0, 0.05))

    async def _ask(self):
        kind = self.chance.choice(('stream', 'quote', 'card'))
        self.tally.asked += 1
        is_served = False
        try:
            answer = await self._send(kind)
            is_served = self._judge(kind, answer)
        except (OSError, TimeoutError):
            # A node that is gone or frozen; the caller goes elsewhere.
            self.connection = None
        self.tally.served += is_served
        self.tally.last.append((anyio.current_time(), is_served))

    async def _send(self, kind):
        if kind == 'stream':
            return await self.connection.stream()
        if kind == 'quote':
            number = self.connection.number + 1
            self.tally.quotes.append(self.connection.attempt_id(number))
        return await self.connection.ask(f'/{kind}/1', b'body')

    def _judge(self, kind, answer):
        """Return whether the request was served; note what must not be."""
        attempt = self.connection.attempt_id(self.connection.number)
        if answer.ending != 'whole':
            self.connection = None
            return False
        if kind == 'quote' and answer.status in NOT_RUN:
            self.tally.not_run.append(attempt)
        if answer.status != 200:
            return False
        if kind == 'stream' and answer.events != EVENTS:
            self.tally.breaches.append(f'{attempt}: events {answer.events}')
        if kind != 'stream' and answer.body != b'body of %b' % attempt:
            self.tally.breaches.append(f'{attempt}: body {answer.body}')
        return True


def check(world, tally):
    """Return every broken promise of a run."""
    breaches = [*world.breaches, *tally.breaches]
    breaches += [
        f'{attempt} ran {world.runs_of(attempt)} times'
        for attempt in tally.quotes
        if world.runs_of(attempt) > 1
    ]
    breaches += [
        f'{attempt} was said not to run and ran'
        for attempt in tally.not_run
        if world.runs_of(attempt)
    ]
    end_s = tally.last[-1][0] if tally.last else 0
    late = [served for at_s, served in tally.last if at_s > end_s - 2]
    if sum(late) < RECOVERED_SHARE * len(late) or not late:
        breaches.append(f'recovered {sum(late)} of {len(late)}')
    return breaches


async def drain_one(world):
    """Let an endpoint leave in a calm moment; return what went there late."""
    endpoint = world.chance.choice(world.living(fleet_harness.PLAIN_SERVICE))
    endpoint.drain()
    await anyio.sleep(DRAIN_S)
    before = len(endpoint.runs)
    await anyio.sleep(1)
    late = len(endpoint.runs) - before
    return [f'{endpoint.endpoint_id} got {late} late'] if late else []


async def heal(world):
    """End all faults and start what is down."""
    world.store.faults = fake_store.StoreFaults()
    for node in world.nodes:
        node.proxy.heal()
        node.send(signal.SIGCONT)
        if not node.is_running:
            node.start()
    await anyio.sleep(RECOVER_S)


async def soak(seed, duration_s, nodes, folder):
    """Play one seed; return its tally, its faults and its breaches."""
    world = node_world.World(seed, nodes, folder)
    versions = node_versions.Versions(world, random.Random(seed))
    tally = Tally()
    found = []
    told = []
    async with anyio.create_task_group() as group:
        try:
            await world.start(group)
            versions.write()
            await anyio.sleep(CALM_S)
            group.start_soon(versions.watch)
            for _ in range(CALLERS):
                chance = random.Random(world.chance.random())
                group.start_soon(Caller(world, tally, chance).run)
            found += await drain_one(world)
            async with anyio.create_task_group() as fault_group:
                faults = node_faults.Faults(world, versions, fault_group)
                await faults.run(duration_s)
                told = faults.told
            await heal(world)
            found += await drain_one(world)
            found += await versions.check_calm()
        finally:
            world.kill_all()
            group.cancel_scope.cancel()
    found += versions.breaches
    return tally, told, [*found, *check(world, tally)]


def main(arguments=None):
    """Play seeds; return 1 if one of them broke a promise."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', default='1-5')
    parser.add_argument('--duration-s', type=float, default=20)
    parser.add_argument('--nodes', type=int, default=4)
    given = parser.parse_args(arguments)
    first, _, last = given.seeds.partition('-')
    broken = 0
    for seed in range(int(first), int(last or first) + 1):
        folder = tempfile.mkdtemp(prefix=f'node-soak-{seed}-')
        tally, told, breaches = anyio.run(
            soak, seed, given.duration_s, given.nodes, folder
        )
        broken += bool(breaches)
        sys.stdout.write(
            f'seed {seed}: {len(told)} faults, {tally.served} of {tally.asked}'
            f' served, {len(breaches)} breaches\n'
        )
        for breach in breaches[:5]:
            sys.stdout.write(f'  {breach} (logs: {folder})\n')
        sys.stdout.flush()
        if not breaches:
            shutil.rmtree(folder)
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
