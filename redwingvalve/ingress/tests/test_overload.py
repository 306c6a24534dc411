"""Seconds of overload over several nodes, and what callers get.

Goodput is the rate of answers that begin in time, as a share of the rate at
which the places can answer at all.
"""

import pytest

from redwingvalve.ingress.tests import load_simulation

DEPLOYMENT = load_simulation.Deployment()
LEAST_GOODPUT = 0.9


def burst(load):
    """Return a calm time, a burst of eight seconds and a calm time again."""
    return [
        load_simulation.LoadPhase(0.6, 0.0, 2.0),
        load_simulation.LoadPhase(load, 2.0, 10.0),
        load_simulation.LoadPhase(0.6, 10.0, 13.0),
    ]


def goodput(got, deployment=DEPLOYMENT):
    """Return the share of the places' rate that was answered in time."""
    return got.rate(got.on_time, 3.0, 10.0) / deployment.capacity_per_s


@pytest.mark.parametrize('load', [1.5, 2.0, 3.0, 5.0])
def test_goodput_stays_flat_as_the_load_grows(load):
    """Callers of a burst get as many answers in time as the places can give.

    More come than can be served, to eight nodes that see each other's requests
    a moment late. Served in the order of their coming, all would be late.
    """
    got = load_simulation.simulate(DEPLOYMENT, burst(load))
    assert goodput(got) >= LEAST_GOODPUT


def test_callers_are_served_in_time_again_a_second_after_a_burst():
    """What the burst left behind doesn't make those late that come after."""
    got = load_simulation.simulate(DEPLOYMENT, burst(2.0))
    assert got.share(got.on_time, 11.0, 13.0) >= LEAST_GOODPUT


def test_without_overload_nobody_is_refused_or_late():
    waves = [load_simulation.LoadPhase(0.6, 0.0, 6.0)]
    got = load_simulation.simulate(DEPLOYMENT, waves)
    assert not got.refusals
    assert got.share(got.late, 0.0, 6.0) <= 0.05


def test_few_are_turned_away_for_good_by_a_slight_overload():
    """Who can't be on time is served late rather than not at all."""
    got = load_simulation.simulate(DEPLOYMENT, burst(1.0))
    assert got.share(got.lost, 2.0, 10.0) <= 0.03
