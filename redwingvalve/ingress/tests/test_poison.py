"""Tests that requests that crash endpoints are refused, and no others."""

from redwingvalve.ingress import poison


class Clock:
    now_s = 100.0

    def __call__(self):
        return self.now_s


def make_tracker():
    clock = Clock()
    return poison.PoisonRequestTracker(clock), clock


def crash(tracker, fingerprint, number):
    tracker.record_disconnect(fingerprint, (f'e{number}', 1))
    tracker.resolve_disconnects(live_incarnations=set())


def test_request_is_refused_after_three_crashes():
    tracker, _ = make_tracker()
    for number in range(poison.MIN_CRASHES_TO_REFUSE):
        assert not tracker.is_poison(7)
        crash(tracker, 7, number)
    assert tracker.is_poison(7) and not tracker.is_poison(8)


def test_a_lost_answer_does_not_count_as_a_crash():
    """The connection breaks but the endpoint stays alive."""
    tracker, clock = make_tracker()
    for number in range(5):
        tracker.record_disconnect(7, (f'e{number}', 1))
        tracker.resolve_disconnects(live_incarnations={(f'e{number}', 1)})
        clock.now_s += poison.CRASH_DETECTION_S + 1
        tracker.resolve_disconnects(live_incarnations={(f'e{number}', 1)})
    assert not tracker.is_poison(7)


def test_an_answer_clears_the_crash_count():
    tracker, _ = make_tracker()
    for number in range(2):
        crash(tracker, 7, number)
    tracker.record_answer(7)
    crash(tracker, 7, 9)
    assert not tracker.is_poison(7)


def test_crashes_reported_by_other_nodes_count():
    here, _ = make_tracker()
    there, _ = make_tracker()
    crash(here, 7, 1)
    there.merge_crashes(here.recent_crashes(), 'here')
    crash(there, 7, 2)
    here.merge_crashes(there.recent_crashes(), 'there')
    crash(here, 7, 3)
    assert here.is_poison(7)


def test_refusal_ends_after_the_retention_time():
    tracker, clock = make_tracker()
    for number in range(3):
        crash(tracker, 7, number)
    clock.now_s += poison.CRASH_RETENTION_S
    assert not tracker.is_poison(7)


def test_fingerprint_depends_on_target_account_and_body():
    prints = {
        poison.fingerprint(b'/a', 'x', b'1'),
        poison.fingerprint(b'/a', 'y', b'1'),
        poison.fingerprint(b'/a', 'x', b'2'),
        poison.fingerprint(b'/b', 'x', b'1'),
    }
    assert len(prints) == 4
