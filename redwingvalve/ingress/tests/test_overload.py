"""Goodput of several nodes during seconds of overload, in simulated time.

Goodput is the rate of answers that start in time, as a share of the rate that
the slots can serve.
"""

import pytest

from redwingvalve.ingress.tests import load_simulation

DEPLOYMENT = load_simulation.Deployment()
MIN_GOODPUT = 0.9


def burst(load):
    """Return a burst of eight seconds between two phases of normal load."""
    return [
        load_simulation.LoadPhase(0.6, 0.0, 2.0),
        load_simulation.LoadPhase(load, 2.0, 10.0),
        load_simulation.LoadPhase(0.6, 10.0, 13.0),
    ]


def goodput(results, deployment=DEPLOYMENT):
    """Return the rate of answers in time as a share of the capacity."""
    return results.rate(results.on_time, 3.0, 10.0) / deployment.capacity_per_s


@pytest.mark.parametrize('load', [1.5, 2.0, 3.0, 5.0])
def test_goodput_stays_flat_as_the_load_grows(load):
    """Callers in a burst get as many answers in time as the slots can serve.

    The burst exceeds the capacity, and eight nodes see each other's requests
    with a delay. In FIFO order all answers would be late.
    """
    results = load_simulation.simulate(DEPLOYMENT, burst(load))
    assert goodput(results) >= MIN_GOODPUT


def test_answers_are_on_time_again_a_second_after_a_burst():
    """The backlog of a burst doesn't delay the requests after it."""
    results = load_simulation.simulate(DEPLOYMENT, burst(2.0))
    assert results.share(results.on_time, 11.0, 13.0) >= MIN_GOODPUT


def test_no_refusals_and_few_late_answers_without_overload():
    phases = [load_simulation.LoadPhase(0.6, 0.0, 6.0)]
    results = load_simulation.simulate(DEPLOYMENT, phases)
    assert not results.refusals
    assert results.share(results.late, 0.0, 6.0) <= 0.05


def test_slight_overload_loses_few_requests():
    """Requests that can't be on time are served late rather than refused."""
    results = load_simulation.simulate(DEPLOYMENT, burst(1.0))
    assert results.share(results.lost, 2.0, 10.0) <= 0.03
