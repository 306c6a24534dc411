"""How long it takes until all know, with real processes.

A death, a leaving and a change of configuration, at several sizes; at rest,
with messages lost, and with a third of the processes stopped for two seconds.
"""

import argparse
import json
import random
import signal
import time
import typing

import anyio
import attrs

from redwingvalve.bench import peer_fleet, spread_fleet
from redwingvalve.cli import options
from redwingvalve.core import environment, exit_status

KIND = 'clientaccounts'
DEFAULT_SIZES = '7,20,60'
CHANGES = 10
LEAVINGS = 2
DEATHS = 3
TIMEOUT_S = 40.0
REST_S = 10.0
PAUSE_S = 2.0
PAUSED_SHARE = 3
MS_PER_S = 1000


@attrs.frozen
class Spread:
    """Times until each process knew, and until the last one did."""

    event: str
    occasions: int
    each_p50_s: float
    each_p99_s: float
    all_worst_s: float
    unaware: int


async def measure(
    size: int, regions: int, fault: str, seed: int
) -> dict[str, typing.Any]:
    """Measure one fleet; fault is none, loss or pause."""
    loss = 0.05 if fault == 'loss' else 0.0
    randomness = random.Random(seed)
    async with spread_fleet.run_spread_fleet(size, regions, loss) as fleet:
        met = await fleet.all_met(TIMEOUT_S)
        rest = await _rest(fleet)
        async with anyio.create_task_group() as group:
            if fault == 'pause':
                group.start_soon(_pause_in_turn, fleet, randomness)
            spreads = [
                await _changes(fleet),
                await _leavings(fleet, randomness),
                await _deaths(fleet, randomness),
            ]
            group.cancel_scope.cancel()
        _resume(fleet)
        await anyio.sleep(PAUSE_S)
        seen = dict(spread_fleet.states_seen(fleet))
    return {
        'size': size,
        'regions': regions,
        'fault': fault,
        'all_met': met,
        'rest': rest,
        'spreads': [attrs.asdict(spread) for spread in spreads],
        'states_at_the_end': seen,
    }


async def _rest(fleet: spread_fleet.SpreadFleet) -> dict[str, float]:
    await anyio.sleep(REST_S / 2)
    before = await fleet.costs()
    await anyio.sleep(REST_S)
    after = await fleet.costs()
    count = len(after)

    def per_s(name: str) -> float:
        spent = sum(
            late[name] - early[name]
            for late, early in zip(after, before, strict=True)
        )
        passed_s = after[0]['at_s'] - before[0]['at_s']
        return spent / count / passed_s

    return {
        'processor_ms_per_s': round(per_s('processor_s') * MS_PER_S, 2),
        'sent_bytes_per_s': round(per_s('sent_bytes')),
        'received_bytes_per_s': round(per_s('received_bytes')),
        'memory_mb': round(
            sum(cost['memory_bytes'] for cost in after) / count / 1e6, 1
        ),
    }


async def _changes(fleet: spread_fleet.SpreadFleet) -> Spread:
    delays: list[list[float]] = []
    unaware = 0
    for number in range(CHANGES):
        name = f'account-{number}'
        body = peer_fleet.account_body(name)
        started_s = time.monotonic()
        created = await fleet.objects.create(KIND, name, body)
        version = int(created.ok.version)
        known = await fleet.all_have(KIND, version, TIMEOUT_S)
        unaware += len(fleet.live()) - len(known)
        delays.append([at_s - started_s for at_s in known])
        await anyio.sleep(0.3)
    return _spread('change in force', delays, unaware)


async def _leavings(
    fleet: spread_fleet.SpreadFleet, randomness: random.Random
) -> Spread:
    delays = []
    unaware = 0
    for _ in range(LEAVINGS):
        peer = randomness.choice(_running(fleet))
        started_s = time.monotonic()
        peer.tell(signal.SIGUSR1)
        known = await fleet.all_know(peer.name, 'leaving', TIMEOUT_S)
        unaware += len(fleet.live()) - 1 - len(known)
        delays.append([at_s - started_s for at_s in known])
        peer.process.kill()
        peer.stopped = True
        await fleet.all_know(peer.name, 'dead', TIMEOUT_S)
    return _spread('leaving', delays, unaware)


async def _deaths(
    fleet: spread_fleet.SpreadFleet, randomness: random.Random
) -> Spread:
    delays = []
    unaware = 0
    for _ in range(min(DEATHS, len(fleet.live()) - 2)):
        peer = randomness.choice(_running(fleet))
        started_s = time.monotonic()
        peer.stopped = True
        peer.process.kill()
        known = await fleet.all_know(peer.name, 'dead', TIMEOUT_S)
        unaware += len(fleet.live()) - len(known)
        delays.append([at_s - started_s for at_s in known])
    return _spread('death', delays, unaware)


async def _pause_in_turn(
    fleet: spread_fleet.SpreadFleet, randomness: random.Random
) -> None:
    while True:
        live = fleet.live()
        paused = randomness.sample(live, len(live) // PAUSED_SHARE)
        for peer in paused:
            if not peer.stopped:
                peer.tell(signal.SIGSTOP)
        await anyio.sleep(PAUSE_S)
        _resume(fleet)
        await anyio.sleep(PAUSE_S)


def _resume(fleet: spread_fleet.SpreadFleet) -> None:
    for peer in fleet.live():
        if peer.process.returncode is None:
            peer.tell(signal.SIGCONT)


def _running(
    fleet: spread_fleet.SpreadFleet,
) -> list[spread_fleet.PeerProcess]:
    return [peer for peer in fleet.live() if peer.process.returncode is None]


def _spread(event: str, delays: list[list[float]], unaware: int) -> Spread:
    single = sorted(delay for known in delays for delay in known)
    return Spread(
        event=event,
        occasions=len(delays),
        each_p50_s=round(single[len(single) // 2], 3),
        each_p99_s=round(single[int(len(single) * 0.99)], 3),
        all_worst_s=round(max(max(known) for known in delays if known), 3),
        unaware=unaware,
    )


def run_spread(
    arguments: argparse.Namespace, surroundings: environment.Environment
) -> exit_status.ExitStatus:
    """Measure each size and fault and print one JSON object for each."""
    for size in (arguments.sizes or DEFAULT_SIZES).split(','):
        for fault in arguments.faults.split(','):
            found = anyio.run(
                measure, int(size), arguments.regions, fault, arguments.seed
            )
            print(json.dumps(found), file=surroundings.stdout, flush=True)
    return exit_status.ExitStatus.SUCCESS


OPTIONS = (
    options.flag(
        'faults',
        'spread: none, loss (5%% of messages), pause (a third for 2 s)',
        'none,loss,pause',
    ),
    options.flag('regions', 'spread: 1 or 5 regions', 1, int),
)
