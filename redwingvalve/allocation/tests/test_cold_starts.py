"""Cold endpoints: what is counted, and by whom, in virtual time."""

import time

import anyio
import attrs
import hypothesis
import pytest
from hypothesis import strategies as st

from redwingvalve.allocation import (
    cold_endpoints,
    cold_starts,
    endpoint_reports,
    messages,
    owners,
    reserver,
    start_limits,
)
from redwingvalve.allocation.tests import cold_simulation
from redwingvalve.fleet import endpoints
from redwingvalve.ingress import (
    load_balancing,
    reservations,
    routes,
    wait_queue,
)

SENDER = messages.Sender('vm-1', 1)
SERVICE = cold_simulation.SERVICE
OTHER = routes.Service('other', '/health', 50)


def entry(endpoint_id='e', born_ms=1, cold_left_ms=0, service=SERVICE.name):
    return endpoints.Endpoint(
        endpoint_id,
        born_ms,
        service,
        'h',
        1,
        'dc-0',
        24,
        False,
        cold_left_ms=cold_left_ms,
    )


class Clock:
    now_s = 100.0

    def __call__(self):
        return self.now_s


def make_endpoints(*entries, clock=None, service=SERVICE):
    made = cold_endpoints.ColdEndpoints(clock or Clock())
    made.configure([service, OTHER])
    made.update(entries)
    return made


@hypothesis.given(
    cold_per_s=st.floats(0.2, 40),
    excess=st.floats(1, 3),
    slack=st.integers(0, 10),
    is_cold=st.booleans(),
    gaps_s=st.lists(st.floats(0, 0.5), max_size=300),
    delays_s=st.lists(st.floats(0, 0.1), min_size=300, max_size=300),
)
def test_starts_that_are_sent_late_keep_to_the_bound(
    cold_per_s, excess, slack, is_cold, gaps_s, delays_s
):
    """Grants that are used after unequal times reach an endpoint at once."""
    clock = Clock()
    made = cold_endpoints.ColdEndpoints(
        clock, start_limits.Bound(excess, slack)
    )
    service = routes.Service(
        's', '/health', 50, cold_s=9, cold_per_s=cold_per_s
    )
    made.configure([service])
    made.update([entry(cold_left_ms=10**9 if is_cold else 0)])
    starts = cold_starts.ColdStarts(made)
    sent_s = []
    for number, gap_s in enumerate(gaps_s):
        clock.now_s += gap_s
        starts.drop_expired(clock.now_s)
        if starts.wait_s('e', clock.now_s) == 0:
            starts.record('e', number, clock.now_s)
            sent_s.append(clock.now_s + delays_s[number])
    allowed = max(1, cold_per_s * excess + slack)
    assert cold_simulation.most_in_a_second(sent_s) <= allowed


def test_a_limit_that_begins_counts_the_starts_of_the_second_before_it():
    clock = Clock()
    made = make_endpoints(entry(), clock=clock)
    starts = cold_starts.ColdStarts(made)
    for number in range(14):
        starts.record('e', number, clock.now_s - 0.5)
    assert starts.wait_s('e', clock.now_s) == 0
    made.update([entry(cold_left_ms=5000)])
    assert starts.wait_s('e', clock.now_s) == pytest.approx(0.5)


def test_a_service_without_a_limit_is_served_as_before():
    made = make_endpoints(entry(service='other', cold_left_ms=5000))
    starts = cold_starts.ColdStarts(made)
    for number in range(100):
        starts.record('e', number, 100.0)
    assert starts.wait_s('e', 100.0) == 0
    assert starts.starts_per_s('e') == float('inf')
    assert made.cold_ids() == []


def test_a_new_incarnation_does_not_inherit_a_cold_mark():
    made = make_endpoints(entry(cold_left_ms=5000))
    assert made.is_cold('e')
    made.update([entry(born_ms=2)])
    assert not made.is_cold('e')


def test_a_late_message_about_an_earlier_incarnation_marks_nothing():
    made = make_endpoints(entry(born_ms=2))
    assert not made.record('e', 1, 5.0)
    made.update([entry(born_ms=1, cold_left_ms=5000)])
    assert not made.is_cold('e')


def test_an_answer_may_come_before_the_entry_of_a_new_incarnation():
    made = make_endpoints(entry())
    assert made.record('e', 2, 5.0)
    made.update([entry()])
    assert made.is_cold('e')


def test_an_entry_that_is_listed_again_unchanged_is_no_news():
    """The store is listed again after an outage, with old entries."""
    clock = Clock()
    made = make_endpoints(entry(cold_left_ms=5000), clock=clock)
    clock.now_s += 4
    made.update([entry(cold_left_ms=5000)])
    assert made.left_s('e') == pytest.approx(1.0)


def test_endpoints_of_a_data_centre_that_returns_are_cold_for_a_start():
    clock = Clock()
    made = make_endpoints(clock=clock)
    made.mark_cold('dc-0')
    made.update([entry(), entry('late', 7)])
    clock.now_s += SERVICE.cold_s - 1
    assert sorted(made.cold_ids()) == ['e', 'late']
    clock.now_s += 1.5
    assert made.cold_ids() == []
    made.mark_cold('dc-0', 3.0)
    assert made.left_s('e') == pytest.approx(3.0)
    made.mark_cold('dc-1', 3.0)
    clock.now_s += 3.5
    assert made.cold_ids() == []


def test_the_number_of_cold_endpoints_is_exported():
    made = make_endpoints(entry(cold_left_ms=5000), entry('warm'))
    (sample,) = made.samples()
    assert (sample.value, sample.labels) == (1, (('service', 's'),))


def test_a_cold_mark_survives_its_way_between_nodes():
    report = endpoint_reports.EndpointReport(
        cold=tuple(
            endpoint_reports.ColdMark(f'i-{number:010x}', 1700000000000, 30.0)
            for number in range(endpoint_reports.MAX_REPORTED_ENDPOINTS)
        )
    )
    packed = messages.pack(messages.Envelope(SENDER, report))
    assert len(packed) < 1400
    assert messages.unpack(packed).message == report


FLEETS = {
    7: cold_simulation.Fleet(7, 6, 1, 16),
    68: cold_simulation.Fleet(68, 9, 3, 16),
    361: cold_simulation.Fleet(361, 6, 3, 16),
}


@pytest.mark.parametrize('nodes', sorted(FLEETS))
@pytest.mark.parametrize(
    'simulation_type',
    [
        cold_simulation.ColdSimulation,
        cold_simulation.UnknownColdSimulation,
        cold_simulation.BadNetworkSimulation,
        cold_simulation.OwnerFaultsSimulation,
        cold_simulation.UnknownColdOwnerFaultsSimulation,
        cold_simulation.TwoOwnersSimulation,
    ],
)
def test_all_nodes_together_keep_to_what_a_cold_endpoint_tolerates(
    simulation_type, nodes
):
    """Nodes learn at different times, or never, that endpoints are cold."""
    simulation = cold_simulation.simulate(simulation_type, FLEETS[nodes])
    assert simulation.most_at_cold_heads() <= cold_simulation.ALLOWED


@pytest.mark.parametrize('load_per_s', [9, 30])
@pytest.mark.parametrize('nodes', [7, 68])
def test_a_data_centre_that_returns_is_not_overrun(nodes, load_per_s):
    """All its endpoints are cold at once, and all of them look idle."""
    fleet = cold_simulation.Fleet(nodes, 6, 3, load_per_s)
    simulation = cold_simulation.simulate(
        cold_simulation.ReturningDataCentreSimulation, fleet
    )
    assert simulation.most_at_cold_heads() <= cold_simulation.ALLOWED


@pytest.mark.parametrize('nodes', [7, 68])
def test_cold_endpoints_cost_callers_nothing_below_their_limit(nodes):
    """Counting must not keep slots from callers that could use them."""
    fleet = attrs.evolve(FLEETS[nodes], load_per_s=9)
    simulation = cold_simulation.simulate(cold_simulation.ColdSimulation, fleet)
    results = simulation.results
    # Owners that have just started grant less.
    window_s = (1.5, cold_simulation.END_S)
    assert results.share(results.on_time, *window_s) >= 0.99
    assert results.share(results.lost, *window_s) == 0


def test_no_more_than_the_bound_at_three_times_the_load_that_is_tolerated():
    """Requests wait for all endpoints, and each start is used at once."""
    fleet = attrs.evolve(FLEETS[7], load_per_s=42)
    simulation = cold_simulation.simulate(
        cold_simulation.UnknownColdSimulation, fleet
    )
    assert simulation.most_at_cold_heads() <= cold_simulation.ALLOWED


class SilentTransport(messages.Transport):
    """No owner answers."""

    def send(self, vm, message):
        """Drop the message."""


class TwoTargets:
    def find_targets(self, service, model):
        return tuple(
            load_balancing.Target(name, 'h', 1, 24, 'dc-0')
            for name in ('cold', 'warm')
        )


def test_a_node_without_an_owner_sends_nothing_to_a_cold_endpoint():
    """It can't know what others send there; others it limits by itself."""
    made = make_endpoints(
        entry('cold', cold_left_ms=5000), entry('warm'), clock=time.monotonic
    )

    async def run():
        alone = reserver.NodeReserver(
            data_centre='dc-0',
            targets=TwoTargets(),
            owners=owners.PoolOwners(
                lambda: [owners.Candidate('vm-2', 'dc-0')], time.monotonic
            ),
            transport=SilentTransport(),
            loads=load_balancing.EndpointLoads(),
            clock=time.monotonic,
            cold=cold_starts.ColdStarts(made),
        )
        need = wait_queue.SlotRequest(1, 0.3, 2.0)
        found = [
            await alone.reserve('s', 'model', need, (), ()) for _ in range(9)
        ]
        return [
            one.target.endpoint_id
            for one in found
            if isinstance(one, reservations.Reservation)
        ]

    assert anyio.run(run) == ['warm'] * 5
