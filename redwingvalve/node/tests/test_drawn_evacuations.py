"""Evacuations that begin and end at random, under load and faults."""

import random
import time

import anyio
import hypothesis
import pytest
from hypothesis import strategies

from redwingvalve.node import peers
from redwingvalve.node.tests import evacuation_harness as shared

NODES = 6
DATA_CENTRES = ('zone-1', shared.AWAY)
REQUESTS_PER_S = 40
PERIODS = 4
# Shortest and longest time between two changes.
PERIOD_S = (0.5, 2 * shared.BOUND_S)
# A request that was written earlier arrives within this time.
TRANSIT_S = 0.1


class Timeline:
    """Which data centres were evacuated, and since when."""

    def __init__(self, fleet):
        self.intervals = []
        self._fleet = fleet
        self._began_s = {}

    def toggle(self, data_centre):
        if data_centre in self._began_s:
            began_s = self._began_s.pop(data_centre)
            self.intervals.append((data_centre, began_s, time.monotonic()))
            shared.restore(self._fleet, data_centre)
        else:
            shared.evacuate(self._fleet, data_centre)
            self._began_s[data_centre] = time.monotonic()

    def end(self):
        for data_centre in tuple(self._began_s):
            self.toggle(data_centre)

    def late_arrivals(self):
        return [
            (endpoint.endpoint_id, arrived_s - began_s)
            for data_centre, began_s, ended_s in self.intervals
            for endpoint in shared.endpoints_of(self._fleet, data_centre)
            for arrived_s in endpoint.arrivals.times_s
            if began_s + shared.BOUND_S + TRANSIT_S < arrived_s < ended_s
        ]


async def send_load(fleet, rng, answers):
    """Send requests of all kinds to random nodes until cancelled."""

    async def ask(index, path):
        caller = fleet.caller(index)
        answers.append(await (caller.ask(path) if path else caller.stream()))

    async with anyio.create_task_group() as group:
        while True:
            path = rng.choice((shared.PLAIN, shared.ONCE, ''))
            group.start_soon(ask, rng.randrange(len(fleet.nodes)), path)
            await anyio.sleep(rng.expovariate(REQUESTS_PER_S))


def play(seed):
    rng = random.Random(seed)
    answers = []

    async def test(fleet):
        for endpoint in fleet.endpoints.values():
            endpoint.faults.spoiled_share = 0.1
            endpoint.faults.rng = random.Random(rng.random())
        timeline = Timeline(fleet)
        heals = []
        async with anyio.create_task_group() as group:
            group.start_soon(send_load, fleet, rng, answers)
            for _ in range(PERIODS):
                while heals:
                    heals.pop()()
                for node in rng.sample(fleet.nodes, rng.randrange(NODES - 1)):
                    heals.append(shared.cut_off_from_store(node))
                if rng.random() < 0.3:
                    fleet.store.drop_history()
                timeline.toggle(rng.choice(DATA_CENTRES))
                await anyio.sleep(rng.uniform(*PERIOD_S))
            group.cancel_scope.cancel()
        timeline.end()
        assert not timeline.late_arrivals()

    shared.run(test, nodes=NODES, engines=4, engines_away=4, data_centres=2)
    assert {one.status for one in answers} >= {200}


@hypothesis.given(
    seed=strategies.integers(0, 1000), is_large=strategies.booleans()
)
# Shrinking plays many seconds of load without a clearer example.
@hypothesis.settings(
    max_examples=2, deadline=None, phases=[hypothesis.Phase.generate]
)
def test_no_request_arrives_after_the_bound(seed, is_large):
    """Nodes are cut off from the store, and endpoints fail, meanwhile."""
    with pytest.MonkeyPatch.context() as patch:
        if is_large:
            patch.setattr(peers, 'LARGE_FLEET_NODES', 3)
        play(seed)
