"""Which requests a stopping node takes, and what it tells the others."""

import math
import random

import attrs
import pytest

from redwingvalve.ingress import (
    admission_control,
    answer_durations,
    refusals,
    routes,
    stop_admission,
)

DEADLINE_S = 8.0
ROUTE = routes.Route(
    'r', 'h', '/', routes.RouteKind.STREAM, (), 8000, 400, 2, 1, False, True, 0
)


@attrs.define
class NextIn(stop_admission.Successors):
    seconds: float

    def next_in_s(self):
        return self.seconds


def admission(now_s, announced_s):
    return admission_control.Admission(
        route=ROUTE,
        service='s',
        model='m',
        account=None,
        urgency=1,
        timeout_at_s=now_s + DEADLINE_S,
        caller_deadline_s=now_s + DEADLINE_S,
        prompt_read_s=0,
        event_interval_s=0,
        announced_s=announced_s,
    )


@pytest.fixture
def at_clock(monkeypatch):
    def set_clock(now_s):
        monkeypatch.setattr(stop_admission.time, 'monotonic', lambda: now_s)

    return set_clock


def stopping(successor_in_s=0.0):
    planned = stop_admission.PlannedStop(100, 107.4, NextIn(successor_in_s))
    return stop_admission.StopAdmission(planned)


@pytest.mark.parametrize('announced_s', [0.1, 1.0, 4.0])
def test_what_is_taken_ends_before_the_process(at_clock, announced_s):
    """Guards against requests that are cut at the end of a stop."""
    admitting = stopping()
    factor = answer_durations.ANNOUNCED_FACTOR
    for sent_s in range(100, 108):
        at_clock(sent_s)
        request = admission(sent_s, announced_s)
        # An endpoint that takes as much longer as its batches allow.
        took_s = factor * announced_s + 0.2
        for _ in range(answer_durations.MIN_ANSWERS):
            admitting.observe(request, took_s)
        refusal = admitting.refuse_late(request, random.Random(1))
        assert refusal is not None or sent_s + took_s <= 107.4


@pytest.mark.parametrize('announced_s', [0.1, 1.0, 4.0])
def test_what_surely_ends_in_time_is_not_refused(at_clock, announced_s):
    """Guards against nodes that refuse from the first moment of a stop."""
    admitting = stopping()
    at_clock(100)
    request = admission(100, announced_s)
    for _ in range(answer_durations.MIN_ANSWERS):
        admitting.observe(request, announced_s)
    assert admitting.refuse_late(request, random.Random(1)) is None


def test_a_deadline_within_the_stop_needs_no_estimate(at_clock):
    admitting = stopping()
    at_clock(101)
    request = attrs.evolve(admission(101, 60), timeout_at_s=107)
    assert admitting.refuse_late(request, random.Random(1)) is None


def test_one_short_answer_tells_nothing_of_the_others(at_clock):
    """Guards against a long request taken at the end for a short one."""
    admitting = stopping()
    at_clock(106)
    request = admission(106, 0)
    admitting.observe(request, 0.02)
    assert admitting.refuse_late(request, random.Random(1)) is not None


def test_routes_have_estimates_of_their_own(at_clock):
    admitting = stopping()
    at_clock(106)
    short = admission(106, 0)
    long = attrs.evolve(short, route=attrs.evolve(ROUTE, name='other'))
    for _ in range(answer_durations.MIN_ANSWERS):
        admitting.observe(short, 0.02)
        admitting.observe(long, 2)
    assert admitting.refuse_late(short, random.Random(1)) is None
    assert admitting.refuse_late(long, random.Random(1)) is not None


def test_nothing_is_sent_again_after_the_end(at_clock):
    admitting = stopping()
    request = admission(100, 1)
    for now_s, is_refused in ((106, False), (107.5, True)):
        at_clock(now_s)
        refusal = admitting.refuse_late(
            request, random.Random(1), may_have_run=True
        )
        assert (refusal is refusals.INCOMPLETE_ANSWER) is is_refused


def test_slow_answers_are_remembered_for_a_while(at_clock):
    """Guards against estimates by the mean, which cut every second request."""
    admitting = stopping()
    for at_s, took_s in ((96, 5), (97, 1), (98, 1), (99, 1)):
        at_clock(at_s)
        admitting.observe(admission(at_s, 1), took_s)
    at_clock(103)
    refusal = admitting.refuse_late(admission(103, 1), random.Random(1))
    assert refusal is not None


@pytest.mark.parametrize('successor_in_s', [0, 0.05, 3.0])
def test_refused_callers_return_when_a_node_is_there(at_clock, successor_in_s):
    """Guards against callers that use up their retry before a successor is up.

    No time is told that is shorter than that of the successor.
    """
    admitting = stopping(successor_in_s)
    at_clock(107)
    refusal = admitting.refuse_late(admission(107, 4), random.Random(1))
    assert refusal.status == refusals.UNAVAILABLE
    assert refusal.retry_after_s >= successor_in_s
    assert refusal.retry_after_s >= stop_admission.MIN_RETRY_AFTER_S
    assert refusal.retry_after_s <= 2 * max(successor_in_s, 0.1)


def test_an_answer_of_unknown_length_is_not_expected_to_end():
    assert answer_durations.AnswerDurations().expected_s(0, 100) == math.inf


def test_old_answers_count_no_more():
    durations = answer_durations.AnswerDurations()
    for _ in range(answer_durations.MIN_ANSWERS):
        durations.observe(9, 1, 100)
    assert durations.expected_s(1, 101) > 9
    late_s = 100 + 2 * answer_durations.WINDOW_S
    unknown_s = answer_durations.AnswerDurations().expected_s(1, late_s)
    assert durations.expected_s(1, late_s) == unknown_s
