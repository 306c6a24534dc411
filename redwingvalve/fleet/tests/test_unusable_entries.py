"""Many unusable entries among the changes of one page."""

import time

from redwingvalve.fleet import unusable_entries


def entry(name, revision):
    return {'metadata': {'name': name, 'revision': revision}}


def test_many_unusable_changes_take_linear_time(monkeypatch):
    """All known entries were copied at each change of one."""
    monkeypatch.setattr(unusable_entries, '_log', lambda name, reason: None)
    known = unusable_entries.UnusableEntries()
    started_s = time.process_time()
    for one in range(30_000):
        known.add(entry(f'm{one}', one), 'x')
    assert time.process_time() - started_s < 1


def test_each_state_of_an_entry_is_logged_once(monkeypatch):
    logged = []
    monkeypatch.setattr(
        unusable_entries, '_log', lambda name, reason: logged.append(name)
    )
    known = unusable_entries.UnusableEntries()
    for name in ('a', '', 'b'):
        for revision in (1, 1, 2, 1):
            known.add(entry(name, revision), 'x')
    listed = {}
    for stored in (entry('a', 1), entry('', 2)):
        known.record(stored, 'x', listed)
    known.replace(listed)
    known.add(entry('b', 1), 'x')
    assert logged == ['a'] * 3 + [''] * 2 + ['b'] * 3 + ['b']
