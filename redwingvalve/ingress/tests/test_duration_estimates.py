"""Estimates of durations, and what follows from them."""

import pytest

from redwingvalve.ingress import duration_estimates


def typical(seconds=1.0):
    return duration_estimates.DurationEstimate(seconds, 0.1, 50.0)


def test_a_step_is_known_after_some_forty_observations():
    found = typical()
    for _ in range(40):
        found.observe(3.0)
    assert found.seconds == pytest.approx(3.0, rel=0.15)


def test_a_drift_is_followed():
    found = typical()
    for number in range(200):
        found.observe(1.0 + number / 100)
    assert found.seconds == pytest.approx(3.0, rel=0.1)


def test_an_outlier_counts_for_little():
    """One request that hung for a minute doesn't close the queue."""
    found = typical()
    found.observe(60.0)
    assert found.seconds < 1.2


def test_a_clock_that_jumped_back_does_no_harm():
    found = typical()
    for _ in range(200):
        found.observe(-5.0)
    assert found.seconds == pytest.approx(0.1, rel=0.05)


def test_silence_keeps_the_last_estimate():
    assert typical(2.0).seconds == 2.0
