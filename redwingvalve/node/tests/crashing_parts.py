"""Requests with a part in their prompts that crashes what answers on it."""

import enum
import itertools
import random

import anyio
import attrs

from redwingvalve.platform.standins import endpoint_crashes
from redwingvalve.platform.tests import fleet_harness

BAD = b'bad'
OTHER_BAD = b'worse'
FIRST = b'f1'
OTHERS = (b'a1', b'b2')
CRASHES = 5
CRASH_DELAY_S = 0.05
# Time in which all nodes in touch have to know of the last of them, and the
# sends that are allowed later.
KNOWN_EVERYWHERE_S = 3.0
MAX_LATE_ARRIVALS = 3
# Sound requests are counted from here on, after the crashes.
RECOVERED_S = 3.0
MEASURED_S = 2.0


class Position(enum.Enum):
    FIRST = 'first'
    MIDDLE = 'middle'
    AFTER_MANY = 'after many'


@attrs.frozen
class Asked:
    at_s: float
    is_bad: bool
    status: int
    ending: str
    body: bytes


@attrs.define(eq=False)
class CrashingPart:
    """Sends requests with the part beside sound ones, and counts."""

    fleet: fleet_harness.Fleet
    is_stream: bool = False
    position: Position = Position.MIDDLE
    bad_parts: tuple[bytes, ...] = (BAD,)
    others: tuple[bytes, ...] = OTHERS
    seed: int = 0
    rng: random.Random = attrs.field(init=False)
    asked: list[Asked] = attrs.field(factory=list)
    # Since when the part crashes endpoints.
    prepared_s: float = 0
    _numbers: itertools.count = attrs.field(factory=itertools.count)

    def __attrs_post_init__(self):
        self.rng = random.Random(self.seed)

    def prepare(self, entry_lapse_s=1.5, return_delay_s=3.0, **crashes):
        """Make all endpoints crash under the bad parts, and return."""
        self.prepared_s = anyio.current_time()
        for endpoint in self.fleet.endpoints.values():
            endpoint.faults.entry_lapse_s = entry_lapse_s
            endpoint.faults.crashes = endpoint_crashes.CrashFaults(
                parts=frozenset(self.bad_parts),
                return_delay_s=return_delay_s,
                delay_s=CRASH_DELAY_S,
                **crashes,
            )

    async def send_bad_until(self, end_s, gap_s=0.25, abreast=1):
        """Send requests with the bad part, no two alike, until a time."""
        async with anyio.create_task_group() as group:
            while anyio.current_time() < end_s:
                for _ in range(abreast):
                    group.start_soon(self.send_bad)
                await anyio.sleep(gap_s * self.rng.uniform(0.7, 1.3))

    async def send_sound_until(self, end_s, per_s=12.0):
        """Send requests that share all but the bad part, until a time."""
        async with anyio.create_task_group() as group:
            while anyio.current_time() < end_s:
                group.start_soon(self.send_sound)
                await anyio.sleep(self.rng.expovariate(per_s))

    async def send_bad(self):
        bad = self.rng.choice(self.bad_parts)
        many = tuple(b'c%x' % number for number in range(12))
        parts = {
            Position.FIRST: (bad, *self.others),
            Position.MIDDLE: (FIRST, bad, *self.others),
            Position.AFTER_MANY: (FIRST, *many, bad),
        }[self.position]
        await self.send(parts, is_bad=True)

    async def send_sound(self):
        await self.send((FIRST, *self.others), is_bad=False)

    async def send(self, parts, *, is_bad, node=None):
        number = next(self._numbers)
        listening = [one for one in self.fleet.nodes if one.is_listening]
        if not listening:
            return
        front = (node or self.rng.choice(listening)).settings.front
        caller = fleet_harness.Caller((front.host, front.port))
        own = b'%x' % (0xABC000 + number)
        prefix = b','.join(b'%b:40' % part for part in (*parts, own))
        headers = [(b'X-Prompt-Prefix', prefix)]
        path = f'/card/{number}'
        if self.is_stream:
            path = f'/draft/{number}'
            model = fleet_harness.SMALL_MODEL.encode()
            headers += [(b'X-Model', model), (b'X-Token-Counts', b'100,20')]
        at_s = anyio.current_time()
        try:
            response = await caller.ask(path, b'%d' % number, headers=headers)
        except (OSError, TimeoutError):
            # The node has ended.
            return
        self.asked.append(
            Asked(at_s, is_bad, response.status, response.ending, response.body)
        )

    def crashes_s(self):
        endpoints = self.fleet.endpoints.values()
        return sorted(
            at_s for one in endpoints for at_s in one.faults.crashes.crashes_s
        )

    def late_arrivals(self):
        """Return how often any bad part arrived when it had to be refused."""
        assert len(self.crashes_s()) >= CRASHES
        return max(map(self._late_arrivals, self.bad_parts))

    def _late_arrivals(self, part):
        """Each arrival crashes an endpoint a moment later."""
        arrivals_s = sorted(
            run.began_s
            for endpoint in self.fleet.endpoints.values()
            for run in endpoint.runs
            if part in _shared_parts(run) and run.began_s >= self.prepared_s
        )
        if len(arrivals_s) < CRASHES:
            # It was refused with the company that it shares with another one.
            return 0
        known_s = arrivals_s[CRASHES - 1] + CRASH_DELAY_S + KNOWN_EVERYWHERE_S
        return sum(at_s > known_s for at_s in arrivals_s)

    def served_share(self, since_s, until_s=float('inf')):
        """Return the share of the sound requests that were answered whole."""
        sound = [
            one
            for one in self.asked
            if not one.is_bad and since_s <= one.at_s < until_s
        ]
        assert sound
        return sum(map(is_served, sound)) / len(sound)

    def falsely_served(self):
        """Return the requests with a bad part whose callers saw a success."""
        return [one for one in self.asked if one.is_bad and is_served(one)]


def _shared_parts(run):
    prefix = dict(run.headers).get(b'x-prompt-prefix', b'')
    return [entry.partition(b':')[0] for entry in prefix.split(b',')][:-1]


def is_served(one):
    return one.status == 200 and one.ending == 'whole'


async def run_crashing(
    crashing, *, calm_s=1.0, gap_s=0.25, abreast=1, **crashes
):
    """Send sound requests, then bad ones beside them; return the share.

    The share is that of the sound ones that were served after the crashes.
    """
    crashing.prepare(**crashes)
    bad_s = anyio.current_time() + calm_s
    outlives_s = crashes.get('outlives_answer_s', 0)
    end_s = bad_s + 1.5 + outlives_s + RECOVERED_S + MEASURED_S
    async with anyio.create_task_group() as group:
        group.start_soon(crashing.send_sound_until, end_s)
        await anyio.sleep_until(bad_s)
        group.start_soon(crashing.send_bad_until, end_s, gap_s, abreast)
    return crashing.served_share(
        crashing.crashes_s()[CRASHES - 1] + RECOVERED_S, end_s - 0.5
    )
