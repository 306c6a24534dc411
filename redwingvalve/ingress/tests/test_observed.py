"""Estimates of durations, and what follows from them."""

import random

import pytest

from redwingvalve.ingress import capacity, observed, placing


def typical(seconds=1.0):
    return observed.Typical(seconds, 0.1, 50.0)


def test_a_step_is_known_after_some_forty_observations():
    found = typical()
    for _ in range(40):
        found.saw(3.0)
    assert found.seconds == pytest.approx(3.0, rel=0.15)


def test_a_drift_is_followed():
    found = typical()
    for number in range(200):
        found.saw(1.0 + number / 100)
    assert found.seconds == pytest.approx(3.0, rel=0.1)


def test_an_outlier_counts_for_little():
    """One request that hung for a minute doesn't close the queue."""
    found = typical()
    found.saw(60.0)
    assert found.seconds < 1.2


def test_a_clock_that_jumped_back_does_no_harm():
    found = typical()
    for _ in range(200):
        found.saw(-5.0)
    assert found.seconds == pytest.approx(0.1, rel=0.05)


def test_silence_keeps_the_last_estimate():
    assert typical(2.0).seconds == 2.0


def make_places(slots=4, heads=2, nodes=4, now_s=lambda: 0.0, handoffs=None):
    loads = placing.Loads(now_s)
    loads.node_count = nodes
    targets = tuple(
        placing.Target(f'h{number}', 'h', 1, slots, 'dc')
        for number in range(heads)
    )
    handoffs = [] if handoffs is None else handoffs
    return capacity.ModelPlaces(
        name='model',
        targets=lambda: targets,
        loads=loads,
        times=observed.make_place_times(),
        chance=random.Random(1),
        clock=now_s,
        send_handoff=lambda *handoff: handoffs.append(handoff),
    )


def test_a_node_gets_its_part_of_the_places_that_come_free():
    places = make_places()
    places.times.hold.seconds = 2.0
    assert places.freed_per_s() == pytest.approx(8 / 2.0 / 4)
    # A node that serves most of the callers gets most of them.
    places.loads.own = {'h0': 3}
    places.loads.heard('other', {'h1': 1})
    assert places.freed_per_s() == pytest.approx(8 / 2.0 * 3 / 4)


def test_few_free_places_are_shared_by_chance():
    """One place comes free; of eight nodes that want it, about one takes it.

    All see it at the same moment. Taken by each, it would be overfilled, and
    the requests would queue at the endpoint.
    """
    now_s = [0.0]
    places = make_places(slots=1, heads=1, nodes=8, now_s=lambda: now_s[0])
    for number in range(7):
        places.loads.heard_wanting(f'vm-{number}', {'model': 1})
    tries = 0
    for _ in range(800):
        now_s[0] += places.loads.word_s
        tries += places.may_try()
        # Not twice with the same view of the others.
        assert not places.may_try()
    assert tries == pytest.approx(100, rel=0.3)


def test_a_place_that_nobody_else_wants_is_taken_at_once():
    places = make_places(slots=1, heads=1, nodes=8)
    assert places.may_try()
    assert places.may_try()


def test_a_place_is_given_to_a_node_that_wants_it():
    handoffs = []
    places = make_places(handoffs=handoffs)
    freed = places.targets()[0]
    assert not places.hand_off(freed)
    places.loads.heard_wanting('vm-2', {'model': 1})
    assert places.hand_off(freed)
    assert handoffs == [('vm-2', 'h0')]
    places.loads.forget('vm-2')
    assert not places.hand_off(freed)


def test_late_requests_leave_places_for_those_that_come():
    """With a hundred places some five are kept."""
    places = make_places(slots=50, heads=2)
    places.loads.heard('other', {'h0': 47, 'h1': 46})
    assert places.has_spare()
    places.loads.heard('other', {'h0': 48, 'h1': 48})
    assert not places.has_spare()
