"""Answers that end with their connections, and endpoints that end later."""

import pytest

from redwingvalve.ingress import (
    crash_blame,
    crash_keys,
    crash_probes,
    open_ends,
    poison,
)

PART = crash_keys.part_key('shared')
KEYS = crash_keys.RequestKeys(7, (PART,))


class Fleet:
    """A tracker, and endpoints that answer one request without a length."""

    def __init__(self):
        self.now_s = 100.0
        self.tracker = poison.PoisonRequestTracker(lambda: self.now_s)

    def answer(self, name, *signs_s, fingerprint=KEYS.fingerprint):
        """Answer now, and something else at each of some times from now."""
        keys = crash_keys.RequestKeys(fingerprint, KEYS.parts)
        self.tracker.record_open_end(keys, (name, 1), self.now_s)
        for sign_s in signs_s:
            self.tracker.record_life_sign((name, 1), self.now_s + sign_s)

    def end(self, name, after_s=0.0):
        self.now_s += after_s
        self.tracker.record_end((name, 1))

    def is_due(self, name, after_s):
        return crash_probes.is_due(
            self.tracker, (name, 1), self.now_s + after_s
        )


@pytest.mark.parametrize('after_s', [0.1, 1.0, 4.0])
def test_a_request_is_refused_whose_endpoints_outlive_its_answers(after_s):
    """An answer to another probe after half a second spoke for it."""
    fleet = Fleet()
    for name in ('a', 'b', 'c'):
        fleet.answer(name, after_s - 0.01)
        fleet.end(name, after_s)
    assert fleet.tracker.verdict(7) is crash_blame.Verdict.REFUSE


def test_an_endpoint_that_lives_on_speaks_for_its_request():
    fleet = Fleet()
    fleet.answer('sound', open_ends.REQUEST_SURVIVAL_S + 0.1)
    for name in ('a', 'b', 'c'):
        fleet.answer(name, 0.9)
        fleet.end(name, 1.0)
    assert fleet.tracker.verdict(7) is crash_blame.Verdict.SERVE


def test_late_ends_are_no_fault_of_parts_that_are_answered_soon():
    """Sound requests would be refused for seconds beside crashing ones."""
    fleet = Fleet()
    for name in ('a', 'b', 'c'):
        fleet.answer(name, 0.9)
        fleet.end(name, 1.0)
    assert fleet.tracker.evidence.history.knows(PART)
    assert not fleet.tracker.evidence.runs(PART)


def test_endpoints_are_asked_again_only_for_requests_that_return():
    """Each answer without a length would cost several probes."""
    fleet = Fleet()
    fleet.answer('a', 0.6)
    assert not fleet.is_due('a', 1.2)
    fleet.answer('b', 0.6)
    assert fleet.is_due('a', 1.2) and not fleet.is_due('a', 1.0)


def test_open_answers_that_are_remembered_are_bounded():
    fleet = Fleet()
    for number in range(open_ends.MAX_OPEN_ENDS + 20):
        fleet.answer(f'e{number}', 1.0, fingerprint=number)
        fleet.answer('busy', 1.0, fingerprint=number)
    ends = fleet.tracker.open_requests
    assert len(ends.at_endpoint(('busy', 1))) == (
        open_ends.MAX_OPEN_ENDS_PER_ENDPOINT
    )
    assert len(ends.endpoints()) <= open_ends.MAX_OPEN_ENDS
    fleet.now_s += 60
    fleet.tracker.resolve_broken_runs({('busy', 1)})
    assert not ends.endpoints()
