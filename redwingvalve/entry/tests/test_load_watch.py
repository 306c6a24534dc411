"""Work of other entries counts when a replica is chosen."""

import attrs

from redwingvalve.core import clock, invariants
from redwingvalve.entry import load_watch, replica_choice
from redwingvalve.entry.tests import fakes
from redwingvalve.evidence import permits
from redwingvalve.routing import messages


class Reporting(fakes.Permits):
    """r1 is full of the requests of other entries, r2 is idle."""

    def reported_load(self, replica, now_s):
        in_flight = 40 if replica.name == 'r1' else 0
        return permits.ReportedLoad(in_flight, now_s - 0.2)


def choose(watched):
    """Return how often r1 is chosen in 50 draws."""
    time_source = clock.ManualClock(100.0)
    source = fakes.Source(fakes.make_snapshot())
    serving = Reporting()
    choice = replica_choice.ReplicaChoice(
        source,
        serving,
        fakes.Members().local_member(),
        time_source,
        invariants.SafeguardSwitches(),
    )
    watch = load_watch.make_load_watch(source, serving, choice, time_source)
    for _ in range(10 if watched else 0):
        watch.look()
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


def test_a_replica_that_others_have_filled_is_passed_over():
    """A caller's request goes to the idle replica, not behind forty others.

    This entry itself has sent nothing; the count came with the evidence.
    Without the watch both replicas look alike.
    """
    assert choose(watched=False) > 10
    assert choose(watched=True) == 0
