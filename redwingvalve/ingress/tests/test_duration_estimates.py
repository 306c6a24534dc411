"""Tests of the moving averages of durations."""

import pytest

from redwingvalve.ingress import duration_estimates


def make_estimate(seconds=1.0):
    return duration_estimates.DurationEstimate(seconds, 0.1, 50.0)


def test_estimate_follows_a_step_within_forty_observations():
    estimate = make_estimate()
    for _ in range(40):
        estimate.observe(3.0)
    assert estimate.seconds == pytest.approx(3.0, rel=0.15)


def test_estimate_follows_a_drift():
    estimate = make_estimate()
    for number in range(200):
        estimate.observe(1.0 + number / 100)
    assert estimate.seconds == pytest.approx(3.0, rel=0.1)


def test_an_outlier_has_little_effect():
    """A single request that hangs for a minute doesn't close the queue."""
    estimate = make_estimate()
    estimate.observe(60.0)
    assert estimate.seconds < 1.2


def test_negative_durations_are_clamped():
    estimate = make_estimate()
    for _ in range(200):
        estimate.observe(-5.0)
    assert estimate.seconds == pytest.approx(0.1, rel=0.05)


def test_estimate_stays_without_observations():
    assert make_estimate(2.0).seconds == 2.0
