"""A request that crashes each endpoint that runs it, sent to a fleet."""

import contextlib
import random

import anyio
import attrs

from redwingvalve.platform.tests import fleet_harness

PLAIN_TARGET = '/card/crashing'
STREAM_TARGET = '/draft/crashing'
# Crashes after which a request is refused.
CRASHES = 3
# Time in which all nodes in touch have to know of the last of them, and the
# arrivals at endpoints that are allowed later.
KNOWN_EVERYWHERE_S = 3.0
MAX_LATE_ARRIVALS = 3


@attrs.define(eq=False)
class CrashingRequest:
    """Sends the request and observes the endpoints."""

    fleet: fleet_harness.Fleet
    target: str = PLAIN_TARGET
    seed: int = 0
    rng: random.Random = attrs.field(init=False)
    statuses: list[int] = attrs.field(factory=list)
    refusals: list[bytes] = attrs.field(factory=list)

    def __attrs_post_init__(self):
        self.rng = random.Random(self.seed)

    def prepare(self, entry_lapse_s, **faults):
        """Make all endpoints crash; their entries lapse later."""
        for endpoint in self.fleet.endpoints.values():
            endpoint.faults.crashing_target = self.target.encode()
            endpoint.faults.entry_lapse_s = entry_lapse_s
            for name, content in faults.items():
                setattr(endpoint.faults, name, content)

    async def send_waves(self, *waves, abreast=2):
        """Send copies at random nodes; a wave is a start, an end and a gap."""
        started_s = anyio.current_time()
        async with anyio.create_task_group() as group:
            for start_s, end_s, gap_s in waves:
                at_s = start_s
                while at_s < end_s:
                    await anyio.sleep_until(started_s + at_s)
                    for _ in range(abreast):
                        group.start_soon(self.send, self.rng.choice(self.nodes))
                    at_s += gap_s * self.rng.uniform(0.7, 1.3)

    @property
    def nodes(self):
        return [node for node in self.fleet.nodes if node.is_listening]

    async def send(self, node):
        front = node.settings.front
        caller = fleet_harness.Caller((front.host, front.port))
        headers = []
        if self.target == STREAM_TARGET:
            model = fleet_harness.SMALL_MODEL.encode()
            headers = [(b'X-Model', model), (b'X-Token-Counts', b'100,20')]
        response = await caller.ask(self.target, b'same', headers=headers)
        self.statuses.append(response.status)
        if response.status != 200:
            self.refusals.append(response.body)

    def crashes_s(self):
        crashed_s = [one.crashed_s for one in self.fleet.endpoints.values()]
        return sorted(at_s for at_s in crashed_s if at_s)

    def arrivals_s(self):
        return sorted(
            run.began_s
            for endpoint in self.fleet.endpoints.values()
            for run in endpoint.runs
            if run.target == self.target.encode()
        )

    def late_arrivals(self):
        """Return how often the request arrived when it had to be refused."""
        crashes_s = self.crashes_s()
        assert len(crashes_s) >= CRASHES
        known_s = crashes_s[CRASHES - 1] + KNOWN_EVERYWHERE_S
        return sum(at_s > known_s for at_s in self.arrivals_s())


@contextlib.asynccontextmanager
async def crashing(fleet, entry_lapse_s, target=PLAIN_TARGET, seed=0, **faults):
    """Yield the request; check that it is refused after its crashes."""
    request = CrashingRequest(fleet, target, seed)
    request.prepare(entry_lapse_s, **faults)
    yield request
    late = request.late_arrivals()
    assert late <= MAX_LATE_ARRIVALS, (late, request.statuses)
