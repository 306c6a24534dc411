"""Replicas leave without notice, while the groups of others form anew."""

import asyncio
import collections
import itertools
import json
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import rig2

from redwingvalve.platform.standins import endpoint as endpoint_standin

# Of the sheet: a join that is warm, and form_ms.
endpoint_standin.JOIN_DURATION_S = 0.2
endpoint_standin.OPEN_DURATION_S = 0.3
# Of the configuration (report_lag_ms): how old the values of a report are.
REPORT_LAG_S = 0.2
REPORT_PATH = b'/redwingvalve/report'
REPLICAS = 24
DOMAINS = 2
# As `scale_in` says, twice in each round.
SHARE = 0.15
ROUND_S = 2.0
PAUSE_S = (0.55, 0.75)
RUN_S = 95.0
# How long a replica that has left goes on serving: drain_ms and a little more.
SERVES_ON_S = 2.5
SERVING = frozenset(('open', 'closing'))


class Replica(endpoint_standin.FakeEndpoint):
    """A replica whose reports are as of some hundred milliseconds ago."""

    def __init__(self, fleet, name, domain):
        super().__init__(fleet.store, name, rig2.ENGINE_SERVICE, domain)
        self._fleet = fleet
        self._past = collections.deque(maxlen=50)
        self.has_left = False
        self.has_ended = False

    def write_entry(self):
        self._past.append((time.monotonic(), self._entry()))
        if not self.has_left:
            super().write_entry()

    def serve(self, request, responder):
        expected = request.header(b'x-expect-instance')
        is_own = expected is None or expected.decode() == self.endpoint_id
        if request.target == REPORT_PATH and is_own:
            body = json.dumps(self._reported()).encode()
            kind = (b'content-type', b'application/json')
            responder.send_response(200, [kind], body)
            return
        super().serve(request, responder)

    def leave_without_notice(self):
        """Remove the entry, and serve on for some seconds."""
        self.has_left = True
        self._fleet.store.remove('servers', self.endpoint_id)
        loop = asyncio.get_running_loop()
        loop.call_later(SERVES_ON_S, self.end)

    def end(self):
        self.has_ended = True
        self.crash()

    def _reported(self):
        until_s = time.monotonic() - REPORT_LAG_S
        known = [entry for at_s, entry in self._past if at_s <= until_s]
        return known[-1] if known else self._past[0][1]

    def _join(self, order):
        before, members = self.group, list(self.members)
        status = super()._join(order)
        if status == 202 and before is not None:
            self._check_two(before, members, order)
        return status

    def _check_two(self, before, members, order):
        """Record a join of another group while the head of this one serves."""
        key = (before['name'], before['epoch'])
        if key == (order['group'], order['epoch']):
            return
        head = self._fleet.endpoints.get(members[0])
        if head is None or head.has_ended or head.group is None:
            return
        head_key = (head.group['name'], head.group['epoch'])
        if head_key == key and head.group['state'] in SERVING:
            self._fleet.broken += 1
            self._fleet.record.note(
                f'TWO: {self.endpoint_id} joins {order["group"]}, while '
                f'{key[0]} of {head.endpoint_id}, which it has not left, is '
                f'{head.group["state"]}'
            )


async def add_replica(fleet, number):
    name = f'i-{number:04}'
    found = Replica(fleet, name, f'domain-{number % DOMAINS}')
    fleet.endpoints[name] = found
    await found.start()


def pick(fleet, rng):
    """Return 15 in 100 of the replicas."""
    there = [one for one in fleet.engines() if not one.has_left]
    return rng.sample(there, round(SHARE * REPLICAS))


async def scale_in_and_out(fleet, rng, numbers):
    """Take replicas away that report nothing, and add as many empty ones."""
    for one in pick(fleet, rng):
        state = one.group['state'] if one.group else 'in no group'
        fleet.record.note(f'{one.endpoint_id}, {state}, leaves')
        one.leave_without_notice()
        await add_replica(fleet, next(numbers))


async def disturb(fleet, rng, until_s):
    numbers = itertools.count(REPLICAS)
    while time.monotonic() < until_s:
        began_s = time.monotonic()
        await scale_in_and_out(fleet, rng, numbers)
        # The groups of those that left are formed anew meanwhile.
        await asyncio.sleep(rng.uniform(*PAUSE_S))
        await scale_in_and_out(fleet, rng, numbers)
        left_s = began_s + ROUND_S - time.monotonic()
        await asyncio.sleep(max(left_s, 0))


async def case(fleet, has_trouble):
    await fleet.start_store(rig2.configuration())
    fleet.broken = 0
    fleet.engines = lambda: [
        one for one in fleet.endpoints.values() if isinstance(one, Replica)
    ]
    for number in range(REPLICAS):
        await add_replica(fleet, number)
    await fleet.add_endpoint('p0', rig2.PLAIN_SERVICE)
    nodes = [await fleet.add_node(f'front-{one}') for one in range(2)]
    known = [('X-Model', rig2.MODEL), ('X-Token-Counts', '100,20')]
    for node in nodes:
        await fleet.wait_until_serving(node, '/recap/1', known)
    fleet.record.note('both nodes serve')
    seed = random.randrange(10_000)
    fleet.record.note(f'seed {seed}')
    until_s = time.monotonic() + RUN_S
    if has_trouble:
        await disturb(fleet, random.Random(seed), until_s)
        await asyncio.sleep(SERVES_ON_S)
    else:
        await asyncio.sleep(RUN_S / 3)
    joins = sum(
        order['operation'] == 'join'
        for one in fleet.engines()
        for order in one.orders
    )
    fleet.record.note(f'{joins} joins ordered, {fleet.broken} broke the rule')
    return not fleet.broken


rig2.run(case, FOLDER)
