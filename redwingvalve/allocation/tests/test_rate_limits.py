"""Rate limits of endpoints: what is counted, and by whom, in virtual time."""

import itertools
import math

import anyio
import attrs
import hypothesis
import looptime
import pytest
from hypothesis import strategies as st

from redwingvalve.allocation import endpoint_reports, messages, rate_limits
from redwingvalve.ingress.tests import load_simulation

SENDER = messages.Sender('vm-1', 1)
# When endpoints begin to state a limit, and from when on it binds.
STATED_S = 1.0
BINDING_S = STATED_S + 3.0
END_S = 10.0
WINDOW_S = 4.0
# A node is bound by an answer that it received this long ago.
TOLD_FOR_S = 0.5


def statement(requests_per_s, asked_s, stated_s):
    return rate_limits.LimitStatement('e', requests_per_s, asked_s, stated_s)


@hypothesis.given(
    requests_per_s=st.floats(0.1, 40),
    gaps_s=st.lists(st.floats(0, 3), max_size=200),
)
def test_no_more_requests_start_than_the_limit_allows(requests_per_s, gaps_s):
    """Whenever requests come, any window gets its share and one burst."""
    limits = rate_limits.RateLimits()
    limits.record(statement(requests_per_s, 0, 0))
    started_s = []
    now_s = 0.0
    for number, gap_s in enumerate(gaps_s):
        now_s += gap_s
        if limits.wait_s('e', now_s) == 0:
            limits.record_start('e', number, now_s)
            started_s.append(now_s)
    for from_s in started_s:
        count = sum(from_s <= at_s < from_s + WINDOW_S for at_s in started_s)
        assert count <= WINDOW_S * requests_per_s + math.ceil(requests_per_s)


def test_an_endpoint_that_takes_nothing_is_asked_from_time_to_time():
    """Only an answer shows that the limit is over."""
    limits = rate_limits.RateLimits()
    limits.record(statement(0, 0, 0))
    assert limits.wait_s('e', 1.0) == 0
    limits.record_start('e', 1, 1.0)
    assert limits.wait_s('e', 1.0) == rate_limits.MAX_WINDOW_S


OVERTAKEN = [
    statement(math.inf, 0.0, 0.3),
    statement(1.0, 0.1, 0.2),
    statement(2.0, 0.4, 0.6),
    statement(1.0, 0.5, 0.7),
]


@pytest.mark.parametrize('order', list(itertools.permutations(OVERTAKEN)))
def test_reports_that_overtake_each_other_leave_the_stricter_limit(order):
    """An answer from before a limit must not end it."""
    limits = rate_limits.RateLimits()
    for one in order:
        limits.record(one)
    assert limits.requests_per_s('e') == 1.0


def test_an_answer_asked_for_after_the_limit_ends_it_for_good():
    """Nodes that were told of the limit repeat it for a while."""
    limits = rate_limits.RateLimits()
    limits.record(statement(1.0, 0.0, 0.1))
    assert limits.record(statement(math.inf, 0.2, 0.3))
    assert not limits.record(statement(1.0, 0.0, 0.1))
    assert not limits.is_limited('e')


def test_a_repeated_start_counts_once():
    limits = rate_limits.RateLimits()
    limits.record(statement(2.0, 0, 0))
    limits.record_start('e', (SENDER, 7), 1.0)
    limits.record_start('e', (SENDER, 7), 1.1)
    assert limits.wait_s('e', 1.2) == 0


def test_a_full_report_fits_into_one_packet():
    report = endpoint_reports.EndpointReport(
        tuple(
            endpoint_reports.StatedLimit(f'i-{number:010x}', 1.5, 0.3, 0.1)
            for number in range(endpoint_reports.MAX_REPORTED_ENDPOINTS)
        ),
        tuple(
            endpoint_reports.Start(f'i-{number:010x}', number, 0.1)
            for number in range(endpoint_reports.MAX_REPORTED_STARTS)
        ),
    )
    packed = messages.pack(messages.Envelope(SENDER, report))
    assert len(packed) < 1400
    assert messages.unpack(packed).message == report


class LimitingSimulation(load_simulation.Simulation):
    """A third of the heads state a rate limit from STATED_S on."""

    requests_per_s = 1.0
    until_s = math.inf

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        names = sorted(self.heads)
        self.limited = [self.heads[name] for name in names[::3]]
        # When each node was told, by head and incarnation of the node.
        self.told_s = {}

    async def run(self):
        async with anyio.create_task_group() as group:
            group.start_soon(self._state_limits)
            return await super().run()

    async def _state_limits(self):
        await anyio.sleep(STATED_S)
        for head in self.limited:
            head.stated_requests_per_s = self.requests_per_s
        if math.isfinite(self.until_s):
            await anyio.sleep(self.until_s - STATED_S)
            for head in self.limited:
                head.stated_requests_per_s = None

    def answer_received(self, node, head):
        if head.stated_requests_per_s is not None:
            key = (head, node.name, node.born_ms)
            self.told_s.setdefault(key, anyio.current_time())

    def most_in_window(self, head):
        """Return the most requests of nodes that had been told."""
        arrivals_s = [
            at_s
            for at_s, node_name, born_ms in head.arrivals
            if at_s >= BINDING_S
            and self.told_s.get((head, node_name, born_ms), math.inf)
            <= at_s - TOLD_FOR_S
        ]
        return max(
            (
                sum(from_s <= at_s < from_s + WINDOW_S for at_s in arrivals_s)
                for from_s in arrivals_s
            ),
            default=0,
        )


class LossySimulation(LimitingSimulation):
    """A tenth of all datagrams is lost, and others overtake each other."""

    datagram_loss = 0.1

    def datagram_delay_s(self):
        return load_simulation.DATAGRAM_DELAY_S * self.rng.uniform(1, 5)


class OwnerFaultsSimulation(LimitingSimulation):
    """Every 0.8 s an owner of pools restarts, or stops answering, by turns."""

    async def inject_faults(self):
        for number in itertools.count():
            await anyio.sleep(0.8)
            owners = [
                node
                for node in self.nodes
                if node.is_up and node.allocator.is_busy
            ]
            owner = self.rng.choice(owners or self.nodes)
            owner.is_up = False
            await anyio.sleep(0.5)
            if number % 2:
                owner.is_up = True
            else:
                owner.start()


@attrs.frozen
class Fleet:
    nodes: int
    heads: int
    data_centres: int
    load: float = 0.5


FLEETS = {
    'small': Fleet(6, 9, 1),
    'medium': Fleet(24, 18, 3),
    'large': Fleet(361, 27, 3, 0.3),
}


def simulate(simulation_type, fleet, seed=1, **attributes):
    deployment = load_simulation.Deployment(
        nodes=fleet.nodes,
        heads=fleet.heads,
        slots=9,
        data_centres=fleet.data_centres,
    )
    phases = [load_simulation.LoadPhase(fleet.load, 0.0, END_S)]
    simulation = simulation_type(deployment, phases, seed)
    for name, content in attributes.items():
        setattr(simulation, name, content)
    anyio.run(
        simulation.run,
        backend_options={'loop_factory': looptime.new_event_loop},
    )
    return simulation


FAULTS = [LimitingSimulation, LossySimulation, OwnerFaultsSimulation]


@pytest.mark.parametrize(
    ('size', 'requests_per_s', 'seed'),
    [
        ('small', 0.5, 1),
        ('small', 2.0, 2),
        ('small', 2.0, 3),
        ('medium', 1.0, 4),
        ('large', 1.0, 5),
    ],
)
@pytest.mark.parametrize('simulation_type', FAULTS)
def test_all_nodes_together_keep_to_a_stated_rate_limit(
    simulation_type, size, requests_per_s, seed
):
    """The node that counts the starts restarts, falls silent or misses some."""
    simulation = simulate(
        simulation_type,
        FLEETS[size],
        seed,
        requests_per_s=requests_per_s,
    )
    allowed = 1.5 * WINDOW_S * requests_per_s + 5
    for head in simulation.limited:
        assert simulation.most_in_window(head) <= allowed
    results = simulation.results
    assert results.share(results.lost, BINDING_S, END_S) <= 0.02


@pytest.mark.parametrize('size', sorted(FLEETS))
def test_an_endpoint_gets_its_share_again_after_its_limit(size):
    """Most nodes never heard of the limit when the endpoint drops it."""
    fleet = FLEETS[size]
    simulation = simulate(LimitingSimulation, fleet, until_s=5.0)
    per_head_s = fleet.load * 9 / simulation.deployment.service_s
    for head in simulation.limited:
        arrivals = sum(at_s >= 7.5 for at_s, *_ in head.arrivals)
        assert arrivals >= per_head_s * (END_S - 7.5) / 2


def test_a_request_that_no_endpoint_may_take_in_time_is_refused_at_once():
    """All heads take a request in ten seconds; a caller must not wait."""
    fleet = attrs.evolve(FLEETS['small'], heads=1)
    simulation = simulate(LimitingSimulation, fleet, requests_per_s=0.1)
    held = sorted(simulation.results.held_s)
    assert len(held) > 20
    assert held[len(held) * 9 // 10] < 0.05
