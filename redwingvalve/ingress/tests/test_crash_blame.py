"""Tests of which part of prompts is blamed for endpoints that crash."""

import itertools

import hypothesis
import pytest
from hypothesis import strategies

from redwingvalve.ingress import (
    answer_history,
    broken_runs,
    crash_blame,
    crash_keys,
    poison,
    poison_trials,
)

SERVE, HOLD, REFUSE = crash_blame.Verdict
BAD, WORSE, FIRST, OTHER, RARE = map(
    crash_keys.part_key, ('bad', 'worse', 'first', 'other', 'rare')
)


class Fleet:
    """A tracker, and endpoints that crash under bad parts."""

    def __init__(self):
        self.now_s = 100.0
        self.tracker = poison.PoisonRequestTracker(lambda: self.now_s)
        self._numbers = itertools.count(1)

    def crash(self, *parts, gap_s=0.3, copies=1):
        """Crash an endpoint under each of several copies, no two alike."""
        self.now_s += gap_s
        for _ in range(copies):
            number = next(self._numbers)
            incarnation = (f'e{number}', 1)
            self.tracker.record_broken_run(number, incarnation, parts)
            self.tracker.record_end(incarnation)

    def answer(self, *parts, took_s=0.0):
        number = next(self._numbers)
        self.tracker.record_answer(number, parts, self.now_s - took_s)

    def verdict(self, *parts):
        return self.tracker.verdict(next(self._numbers), *parts)

    def is_trial_due(self, *parts):
        return self.tracker.is_trial_due(next(self._numbers), *parts)

    def ask(self, company, bad):
        """Send a request if it is served, or its trial is due."""
        self.now_s += 0.3
        if self.verdict(*company) is not SERVE:
            if not self.is_trial_due(*company):
                return
            key = self.tracker.blame.judge(0, *company).key
            known = self.tracker.trials.get(key, poison_trials.TrialHistory())
            self.tracker.trials[key] = poison_trials.TrialHistory(
                known.count + 1, self.now_s
            )
        if bad.isdisjoint(company):
            self.answer(*company)
        else:
            self.crash(*company)


def test_part_is_refused_after_five_crashes_of_requests_that_differ():
    fleet = Fleet()
    for _ in range(crash_blame.MIN_PART_CRASHES):
        assert fleet.verdict(BAD) is SERVE
        fleet.crash(BAD)
    assert fleet.verdict(BAD) is REFUSE and fleet.verdict(OTHER) is SERVE


def test_part_is_held_back_until_the_ends_are_certain():
    fleet = Fleet()
    for number in range(5):
        fleet.now_s += 0.3
        fleet.tracker.record_broken_run(number, (f'e{number}', 1), (BAD,))
    assert fleet.verdict(BAD) is HOLD
    for number in range(5):
        fleet.tracker.record_end((f'e{number}', 1))
    assert fleet.verdict(BAD) is REFUSE


def test_endpoints_that_end_together_blame_no_part():
    fleet = Fleet()
    fleet.crash(FIRST, copies=20)
    assert fleet.verdict(FIRST) is SERVE
    fleet.answer(OTHER)
    for _ in range(2):
        fleet.crash(OTHER, copies=20)
    assert fleet.verdict(OTHER) is SERVE


def test_part_is_tried_soon_whose_endpoints_may_have_ended_together():
    """Two domains go dark before it has ever been answered."""
    fleet = Fleet()
    for _ in range(2):
        fleet.crash(FIRST, copies=20)
    fleet.now_s += poison_trials.PROMISING_FIRST_DELAY_S
    assert fleet.is_trial_due(FIRST)
    fleet.crash(FIRST)
    fleet.now_s += poison_trials.PROMISING_FIRST_DELAY_S
    assert not fleet.is_trial_due(FIRST)


def test_part_is_refused_that_comes_once_in_a_burst():
    """All first sends end together, and then all second ones."""
    fleet = Fleet()
    fleet.crash(BAD, copies=3)
    fleet.crash(BAD, copies=3, gap_s=0.05)
    assert fleet.verdict(BAD) is REFUSE


def test_companions_that_were_answered_before_are_not_blamed():
    fleet = Fleet()
    fleet.answer(FIRST, OTHER)
    for _ in range(9):
        fleet.crash(FIRST, BAD, OTHER)
    assert fleet.verdict(FIRST, BAD, OTHER) is REFUSE
    assert fleet.verdict(FIRST, OTHER) is SERVE


def test_companions_that_were_never_answered_are_tried_soon():
    """Nothing tells yet which of the parts crashes endpoints."""
    fleet = Fleet()
    for _ in range(5):
        fleet.crash(FIRST, BAD)
    assert fleet.verdict(FIRST) is REFUSE
    assert not fleet.is_trial_due(FIRST)
    fleet.now_s += poison_trials.PROMISING_FIRST_DELAY_S
    assert fleet.is_trial_due(FIRST)
    assert not fleet.is_trial_due(FIRST, BAD)
    fleet.answer(FIRST)
    assert fleet.verdict(FIRST) is SERVE
    assert fleet.verdict(FIRST, BAD) is REFUSE


def test_two_bad_parts_in_the_same_company_are_both_refused():
    fleet = Fleet()
    for _ in range(5):
        fleet.crash(FIRST, BAD)
        fleet.crash(FIRST, WORSE)
    fleet.answer(FIRST)
    assert fleet.verdict(FIRST, BAD) is REFUSE
    assert fleet.verdict(FIRST, WORSE) is REFUSE
    assert fleet.verdict(FIRST) is SERVE


def test_a_part_that_turns_bad_is_refused_despite_its_answers():
    """It was answered until the first crash."""
    fleet = Fleet()
    fleet.answer(BAD)
    for _ in range(5):
        # Never the same company twice.
        fleet.crash(BAD, crash_keys.part_key(str(fleet.now_s)))
    assert fleet.verdict(BAD) is SERVE
    fleet.now_s += crash_blame.ANSWERED_PART_GRACE_S
    assert fleet.verdict(BAD) is REFUSE


def test_an_answer_asked_for_before_a_crash_does_not_clear_a_part():
    """The part may have turned bad meanwhile."""
    fleet = Fleet()
    for _ in range(5):
        fleet.crash(BAD)
    fleet.answer(BAD, took_s=2)
    fleet.now_s += crash_blame.ANSWERED_PART_GRACE_S
    assert fleet.verdict(BAD) is REFUSE
    fleet.answer(BAD)
    assert fleet.verdict(BAD) is SERVE


def test_neighbours_of_a_crashing_part_are_served():
    """Other requests run on the endpoints that it crashes."""
    fleet = Fleet()
    for number in range(6):
        fleet.crash(BAD)
        incarnation = fleet.tracker.evidence.runs(BAD)[-1].incarnation
        fleet.tracker.record_broken_run(900 + number, incarnation, (FIRST,))
        fleet.tracker.record_end(incarnation)
    fleet.crash(BAD)
    assert fleet.verdict(BAD) is REFUSE
    assert fleet.verdict(FIRST) is SERVE


def test_a_crashing_request_is_refused_whose_parts_are_sound():
    """The parts break off with its neighbours too."""
    fleet = Fleet()
    fleet.answer(FIRST)
    for number in range(3):
        fleet.now_s += 0.3
        fleet.tracker.record_broken_run(7, (f'x{number}', 1), (FIRST,))
        fleet.tracker.record_broken_run(8 + number, (f'x{number}', 1), (FIRST,))
        fleet.tracker.record_end((f'x{number}', 1))
    fleet.crash(FIRST)
    assert fleet.tracker.verdict(7, FIRST) is REFUSE
    assert fleet.verdict(FIRST) is SERVE


def test_an_open_end_counts_as_an_answer_once_its_endpoint_survived():
    """A body without a length ended with its connection."""
    fleet = Fleet()
    keys = crash_keys.RequestKeys(7, (FIRST,))
    for endpoint_id in ('dead', 'alive'):
        fleet.tracker.record_open_end(keys, (endpoint_id, 1), fleet.now_s)
    knows = fleet.tracker.evidence.history.knows
    fleet.tracker.record_life_sign(('alive', 1), fleet.now_s + 0.1)
    assert not knows(FIRST)
    fleet.tracker.record_end(('dead', 1))
    assert fleet.tracker.evidence.runs(FIRST)[0].is_crash
    fleet.tracker.record_life_sign(('alive', 1), fleet.now_s + 1)
    assert knows(FIRST)


def test_what_is_remembered_of_parts_is_bounded():
    fleet = Fleet()
    for number in range(broken_runs.MAX_REQUESTS + 20):
        parts = [crash_keys.part_key(f'{number}-{one}') for one in range(50)]
        fleet.crash(*parts, gap_s=0.001)
    table = fleet.tracker.evidence.runs_table
    assert len(table.all()) == broken_runs.MAX_REQUESTS
    most = max(len(run.suspects) for run in table.all())
    assert most == poison.MAX_PARTS_PER_RUN + 1
    for number in range(answer_history.MAX_PARTS + 20):
        fleet.answer(crash_keys.part_key(str(number)))
    history = fleet.tracker.evidence.history
    assert not history.knows(crash_keys.part_key('0'))


def test_lost_answers_push_no_crash_out_of_memory():
    fleet = Fleet()
    for _ in range(5):
        fleet.crash(BAD)
    for number in range(broken_runs.MAX_REQUESTS + 20):
        fleet.tracker.record_broken_run(5_000 + number, (f'l{number}', 1))
    assert fleet.verdict(BAD) is REFUSE


@pytest.mark.parametrize('copies', [1, 5])
def test_decisive_runs_lead_another_node_to_the_same_verdict(copies):
    fleet, other = Fleet(), Fleet()
    fleet.answer(FIRST, OTHER)
    for _ in range(6):
        fleet.crash(FIRST, BAD, OTHER, copies=copies)
    runs = fleet.tracker.blame.decisive_runs(BAD)
    assert len(runs) <= crash_blame.MIN_PART_CRASHES
    for run in runs:
        other.tracker.add_recorded_run(run)
    assert other.verdict(FIRST, BAD, OTHER) is REFUSE
    assert other.verdict(FIRST, OTHER) is SERVE


PARTS = [crash_keys.part_key(str(number)) for number in range(8)]
COMPANIES = strategies.sets(strategies.sampled_from(PARTS), max_size=5)


@hypothesis.given(
    bad=strategies.sets(strategies.sampled_from(PARTS), max_size=3),
    companies=strategies.lists(COMPANIES, min_size=1, max_size=60),
    order=strategies.randoms(use_true_random=False),
)
@hypothesis.settings(max_examples=150)
def test_in_the_end_all_bad_parts_are_refused_and_all_others_served(
    bad, companies, order
):
    """Whatever companies they come in; due trials are made by this node."""
    fleet = Fleet()
    # Each part comes alone as well, and all come for a while.
    everything = [{part} for part in PARTS] * 8 + companies
    order.shuffle(everything)
    for company in companies + everything:
        fleet.ask(company, bad)
    fleet.now_s += crash_blame.ANSWERED_PART_GRACE_S
    for part in bad:
        assert fleet.verdict(part) is not SERVE
    for company in companies:
        if not bad.isdisjoint(company):
            assert fleet.verdict(*company) is not SERVE
    for part in set(PARTS) - bad:
        assert fleet.verdict(part) is SERVE
