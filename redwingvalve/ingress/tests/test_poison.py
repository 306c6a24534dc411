"""Tests that requests that crash endpoints are refused, and no others."""

import itertools

import attrs
import pytest

from redwingvalve.ingress import (
    answer_history,
    broken_runs,
    crash_blame,
    crash_evidence,
    crash_keys,
    poison,
    poison_trials,
)

SERVE, HOLD, REFUSE = crash_blame.Verdict


class Clock:
    now_s = 100.0

    def __call__(self):
        return self.now_s


def make_tracker():
    clock = Clock()
    return poison.PoisonRequestTracker(clock), clock


def crash(tracker, fingerprint, number):
    tracker.record_broken_run(fingerprint, (f'e{number}', 1))
    tracker.resolve_broken_runs(live_incarnations=set())


def reported(tracker, fingerprint):
    return tracker.evidence.runs(fingerprint)


def merge(tracker, runs):
    for run in runs:
        tracker.merge_run(run, 'other')


def test_request_is_refused_after_three_crashes():
    tracker, _ = make_tracker()
    for number in range(crash_blame.MIN_CRASHES_TO_REFUSE):
        assert tracker.verdict(7) is SERVE
        crash(tracker, 7, number)
    assert tracker.verdict(7) is REFUSE and tracker.verdict(8) is SERVE


def test_request_is_held_back_while_three_endpoints_may_have_crashed():
    """Their entries lapse seconds later."""
    tracker, clock = make_tracker()
    live = {(f'e{number}', 1) for number in range(3)}
    for incarnation in live:
        tracker.record_broken_run(7, incarnation)
    assert tracker.verdict(7) is HOLD
    clock.now_s += 7
    tracker.resolve_broken_runs(live)
    assert tracker.verdict(7) is HOLD
    tracker.resolve_broken_runs(set())
    assert tracker.verdict(7) is REFUSE


def test_a_lost_answer_does_not_count_as_a_crash():
    """The connection breaks but the endpoint stays alive."""
    tracker, clock = make_tracker()
    live = {(f'e{number}', 1) for number in range(5)}
    for incarnation in sorted(live):
        tracker.record_broken_run(7, incarnation)
        tracker.resolve_broken_runs(live)
        clock.now_s += 0.01
        tracker.record_life_sign(incarnation, clock.now_s)
        assert tracker.verdict(7) is SERVE
    for _ in range(100):
        clock.now_s += 0.5
        for incarnation in live:
            tracker.record_life_sign(incarnation, clock.now_s)
        tracker.resolve_broken_runs(live)
        assert tracker.verdict(7) is SERVE
    tracker.resolve_broken_runs(set())
    assert tracker.verdict(7) is SERVE


def test_ends_count_whatever_the_endpoints_answered_before():
    """An answer half a second after the break cleared the run for good."""
    tracker, clock = make_tracker()
    live = {(f'e{number}', 1) for number in range(3)}
    for incarnation in live:
        tracker.record_broken_run(7, incarnation)
    for _ in range(8):
        clock.now_s += 0.5
        for incarnation in live:
            tracker.record_life_sign(incarnation, clock.now_s)
        tracker.resolve_broken_runs(live)
        assert tracker.verdict(7) is SERVE
    tracker.resolve_broken_runs(set())
    assert tracker.verdict(7) is REFUSE


def test_late_ends_tell_nothing_beside_endpoints_that_live_on():
    """Answers get lost at many endpoints, of which some end seconds later."""
    tracker, clock = make_tracker()
    live = {(f'e{number}', 1) for number in range(12)}
    for incarnation in live:
        tracker.record_broken_run(7, incarnation)
    clock.now_s += 2
    for incarnation in live:
        tracker.record_life_sign(incarnation, clock.now_s)
    live.difference_update((f'e{number}', 1) for number in range(5))
    tracker.resolve_broken_runs(live)
    assert tracker.verdict(7) is REFUSE
    clock.now_s += 0.5
    for incarnation in live:
        tracker.record_life_sign(incarnation, clock.now_s)
    assert tracker.verdict(7) is SERVE


@pytest.mark.parametrize('is_listed', [False, True])
def test_an_endpoint_that_falls_silent_after_an_answer_has_crashed(is_listed):
    """The process outlived its broken connection for a moment."""
    tracker, clock = make_tracker()
    live = {(f'e{number}', 1) for number in range(3)}
    for incarnation in live:
        tracker.record_broken_run(7, incarnation)
        clock.now_s += 0.01
        tracker.record_life_sign(incarnation, clock.now_s)
    assert tracker.verdict(7) is SERVE
    if is_listed:
        for incarnation in live:
            tracker.record_silence(incarnation)
    else:
        tracker.resolve_broken_runs(set())
    assert tracker.verdict(7) is (HOLD if is_listed else REFUSE)


def test_an_endpoint_that_leaves_long_after_an_answer_has_not_crashed():
    tracker, clock = make_tracker()
    live = {(f'e{number}', 1) for number in range(3)}
    for incarnation in live:
        tracker.record_broken_run(7, incarnation)
        clock.now_s += 0.01
        tracker.record_life_sign(incarnation, clock.now_s)
    clock.now_s += crash_evidence.DOUBT_S
    tracker.resolve_broken_runs(live)
    tracker.resolve_broken_runs(set())
    assert tracker.verdict(7) is SERVE


def test_an_answer_sent_before_a_connection_broke_shows_no_life():
    """It may have been under way while the endpoint crashed."""
    tracker, clock = make_tracker()
    sent_s = clock.now_s
    clock.now_s += 0.01
    for number in range(3):
        tracker.record_broken_run(7, (f'e{number}', 1))
        tracker.record_life_sign((f'e{number}', 1), sent_s)
    assert tracker.verdict(7) is HOLD


def test_an_answer_clears_the_crash_count():
    tracker, clock = make_tracker()
    for number in range(2):
        crash(tracker, 7, number)
    tracker.record_answer(7)
    clock.now_s += answer_history.REQUEST_TRUST_S + 1
    crash(tracker, 7, 9)
    assert tracker.verdict(7) is SERVE
    for number in range(2):
        crash(tracker, 7, number)
    assert tracker.verdict(7) is REFUSE


def test_a_request_answered_just_before_does_not_crash_endpoints():
    """Copies of a sound request run on many endpoints when a domain fails."""
    tracker, _ = make_tracker()
    tracker.record_answer(7)
    for number in range(8):
        crash(tracker, 7, number)
    assert tracker.verdict(7) is SERVE


def test_an_answer_at_another_node_clears_the_crash_count():
    here, clock = make_tracker()
    for number in range(3):
        crash(here, 7, number)
    here.merge_answer(7, clock.now_s + 0.1, 'other')
    assert here.verdict(7) is SERVE


def test_crashes_reported_by_other_nodes_count():
    here, _ = make_tracker()
    there, _ = make_tracker()
    crash(here, 7, 1)
    merge(there, reported(here, 7))
    crash(there, 7, 2)
    merge(here, reported(there, 7))
    crash(here, 7, 3)
    assert here.verdict(7) is REFUSE


def test_crashes_seen_by_different_nodes_add_up_in_any_order():
    """Two crashes here and two others there are four, not two."""
    nodes = [make_tracker()[0] for _ in range(3)]
    for number, tracker in enumerate([*nodes, *nodes]):
        crash(tracker, 7, number)
    runs = [run for tracker in nodes for run in reported(tracker, 7)]
    for ordered in itertools.permutations(runs[:4]):
        tracker, _ = make_tracker()
        merge(tracker, ordered)
        merge(tracker, ordered)
        assert len(reported(tracker, 7)) == 4
        assert tracker.verdict(7) is REFUSE


def test_one_endpoint_reported_by_all_nodes_is_one_crash():
    tracker, _ = make_tracker()
    for _ in range(5):
        crash(tracker, 7, 1)
        merge(tracker, reported(tracker, 7))
    assert len(reported(tracker, 7)) == 1


LATE_S = 2 * crash_evidence.SAME_RUN_S


def late_report(tracker, clock):
    """Return a report of a tracker's only run that was long under way."""
    (run,) = reported(tracker, 7)
    clock.now_s += LATE_S
    return attrs.evolve(run, at_s=clock.now_s, sent_s=clock.now_s)


def test_a_late_report_of_a_known_run_is_no_news():
    """Busy nodes passed it on again as another run, without end."""
    tracker, clock = make_tracker()
    tracker.record_broken_run(7, ('e1', 1))
    late = late_report(tracker, clock)
    assert not tracker.evidence.add(late)
    other = attrs.evolve(late, number=late.number + 1)
    assert tracker.evidence.add(other)
    assert not tracker.evidence.add(late)


@pytest.mark.parametrize('is_late_first', [False, True])
def test_the_earliest_report_of_a_run_tells_its_time(is_late_first):
    tracker, clock = make_tracker()
    run = broken_runs.BrokenRun(7, ('e1', 1), clock.now_s, number=5)
    late = attrs.evolve(run, at_s=run.at_s + LATE_S)
    ordered = [late, run] if is_late_first else [run, late]
    merge(tracker, ordered)
    assert [one.at_s for one in reported(tracker, 7)] == [run.at_s]


def test_an_endpoint_that_this_node_has_not_listed_yet_has_not_ended():
    """Another node may learn of a new endpoint earlier."""
    tracker, clock = make_tracker()
    for number in range(3):
        run = broken_runs.BrokenRun(7, (f'e{number}', 1), clock.now_s)
        merge(tracker, [run])
    tracker.resolve_broken_runs(set())
    assert tracker.verdict(7) is HOLD


def test_refusal_ends_after_the_retention_time():
    tracker, clock = make_tracker()
    for number in range(3):
        crash(tracker, 7, number)
    clock.now_s += poison.CRASH_RETENTION_S + 1
    tracker.forget_old()
    assert tracker.verdict(7) is SERVE


def test_request_that_is_held_back_for_long_is_tried():
    """Three endpoints stay out of reach, and the store drops no entry."""
    tracker, clock = make_tracker()
    for number in range(3):
        tracker.record_broken_run(7, (f'e{number}', 1))
    assert not tracker.is_trial_due(7)
    clock.now_s += poison_trials.FIRST_DELAY_S
    assert tracker.verdict(7) is HOLD
    assert tracker.is_trial_due(7)


def test_sound_neighbours_are_not_blamed_for_a_crashing_request():
    """They ran on the endpoints that it crashed."""
    tracker, _ = make_tracker()
    for number in range(4):
        crash(tracker, 7, number)
        if number:
            tracker.record_broken_run(8, (f'e{number}', 1))
    tracker.resolve_broken_runs(set())
    assert tracker.verdict(7) is REFUSE
    assert tracker.verdict(8) is SERVE


def test_what_is_remembered_is_bounded():
    tracker, _ = make_tracker()
    for number in range(broken_runs.MAX_REQUESTS + 50):
        crash(tracker, number, number)
    assert len(tracker.evidence.suspects()) == broken_runs.MAX_REQUESTS


def test_fingerprint_depends_on_target_account_and_body():
    prints = {
        crash_keys.fingerprint(b'/a', 'x', b'1'),
        crash_keys.fingerprint(b'/a', 'y', b'1'),
        crash_keys.fingerprint(b'/a', 'x', b'2'),
        crash_keys.fingerprint(b'/b', 'x', b'1'),
    }
    assert len(prints) == 4
