"""A request that crashes what runs it is refused; others are not."""

from redwingvalve.ingress import poison


class Clock:
    now_s = 100.0

    def __call__(self):
        return self.now_s


def book():
    clock = Clock()
    return poison.PoisonRequestTracker(clock), clock


def crash(found, fingerprint, number):
    found.record_disconnect(fingerprint, (f'e{number}', 1))
    found.resolve_disconnects(live_incarnations=set())


def test_the_fourth_try_is_refused():
    found, _ = book()
    for number in range(poison.MIN_CRASHES_TO_REFUSE):
        assert not found.is_poison(7)
        crash(found, 7, number)
    assert found.is_poison(7) and not found.is_poison(8)


def test_a_lost_answer_is_no_crash():
    """The connection breaks but the endpoint lives on."""
    found, clock = book()
    for number in range(5):
        found.record_disconnect(7, (f'e{number}', 1))
        found.resolve_disconnects(live_incarnations={(f'e{number}', 1)})
        clock.now_s += poison.CRASH_DETECTION_S + 1
        found.resolve_disconnects(live_incarnations={(f'e{number}', 1)})
    assert not found.is_poison(7)


def test_an_answer_clears_the_innocent():
    found, _ = book()
    for number in range(2):
        crash(found, 7, number)
    found.record_answer(7)
    crash(found, 7, 9)
    assert not found.is_poison(7)


def test_crashes_at_other_nodes_count():
    here, _ = book()
    there, _ = book()
    crash(here, 7, 1)
    there.merge_crashes(here.recent_crashes())
    crash(there, 7, 2)
    here.merge_crashes(there.recent_crashes())
    crash(here, 7, 3)
    assert here.is_poison(7)


def test_a_refused_request_is_tried_again_some_day():
    found, clock = book()
    for number in range(3):
        crash(found, 7, number)
    clock.now_s += poison.CRASH_RETENTION_S
    assert not found.is_poison(7)


def test_the_same_request_of_another_account_is_another():
    prints = {
        poison.fingerprint(b'/a', 'x', b'1'),
        poison.fingerprint(b'/a', 'y', b'1'),
        poison.fingerprint(b'/a', 'x', b'2'),
        poison.fingerprint(b'/b', 'x', b'1'),
    }
    assert len(prints) == 4
