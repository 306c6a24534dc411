"""Replica selection takes the requests of other entries into account."""

import attrs

from redwingvalve.core import clock, invariants
from redwingvalve.entry import load_forwarder, replica_selection
from redwingvalve.entry.tests import fakes
from redwingvalve.evidence import permits
from redwingvalve.routing import messages


class Reporting(fakes.Permits):
    """r1 is loaded with requests of other entries, r2 is idle."""

    def reported_load(self, replica, now_s):
        in_flight = 40 if replica.name == 'r1' else 0
        return permits.ReportedLoad(in_flight, now_s - 0.2)


def choose(forwarded):
    """Return how often r1 is chosen in 50 draws."""
    time_source = clock.ManualClock(100.0)
    source = fakes.Source(fakes.make_snapshot())
    serving = Reporting()
    choice = replica_selection.ReplicaSelector(
        source,
        serving,
        fakes.Members().local_member(),
        time_source,
        invariants.SafeguardSwitches(),
    )
    forwarder = load_forwarder.make_load_forwarder(
        source, serving, choice, time_source
    )
    for _ in range(10 if forwarded else 0):
        forwarder.poll()
        time_source.advance(0.7)
    routing = choice.routing('quotes')
    plain = messages.RouteRequest(
        request_id='a',
        draw=0,
        prompt_tokens=10.0,
        output_tokens=10.0,
        prefixes=(),
        excluded=frozenset(),
    )
    chosen = [
        routing.choose(
            attrs.evolve(plain, draw=number * 7919),
            time_source.monotonic_s(),
            lambda candidate: True,
        ).name
        for number in range(50)
    ]
    return chosen.count('r1')


def test_replica_filled_by_other_entries_is_avoided():
    """A replica with forty requests of other entries gets no new one.

    This entry has sent none of them; the count comes with the evidence.
    Without load_forwarder both replicas look the same.
    """
    assert choose(forwarded=False) > 10
    assert choose(forwarded=True) == 0
