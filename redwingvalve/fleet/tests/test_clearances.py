from redwingvalve.fleet import clearances


def test_a_clearance_overrules_earlier_suspicions_only():
    known = clearances.Clearances()
    known.record('e1', epoch=3, at_s=10.0)
    assert known.overrules('e1', epoch=3, since_s=9.9)
    assert known.overrules('e1', epoch=2, since_s=9.9)
    assert not known.overrules('e1', epoch=3, since_s=10.1)
    assert not known.overrules('e2', epoch=3, since_s=9.9)


def test_a_clearance_says_nothing_about_a_later_formation():
    known = clearances.Clearances()
    known.record('e1', epoch=3, at_s=10.0)
    assert not known.overrules('e1', epoch=4, since_s=9.9)


def test_the_latest_clearance_counts_in_whatever_order_they_arrive():
    known = clearances.Clearances()
    known.record('e1', epoch=3, at_s=10.0)
    known.record('e1', epoch=3, at_s=9.0)
    assert known.overrules('e1', epoch=3, since_s=9.5)


def test_old_clearances_are_forgotten():
    known = clearances.Clearances()
    for number in range(clearances.MAX_CLEARANCES):
        known.record(f'e{number}', epoch=1, at_s=10.0)
    known.record('new', epoch=1, at_s=10.0 + clearances.RETENTION_S + 1)
    assert not known.overrules('e0', epoch=1, since_s=9.0)
    assert known.overrules('new', epoch=1, since_s=9.0)
