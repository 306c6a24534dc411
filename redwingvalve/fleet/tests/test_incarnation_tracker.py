"""Incarnations of endpoints, in whatever order their entries arrive."""

import pytest

from redwingvalve.fleet import incarnation_tracker
from redwingvalve.fleet import registry as registry_module
from redwingvalve.fleet.tests import foreign_entries
from redwingvalve.platform import store

KNOWN = incarnation_tracker.Observation.KNOWN
NEW = incarnation_tracker.Observation.NEW
OUTDATED = incarnation_tracker.Observation.OUTDATED


class Clock:
    now_s = 100.0

    def __call__(self):
        return self.now_s


@pytest.fixture
def clock():
    return Clock()


def make_registry(clock):
    registry = registry_module.Registry(clock)
    begun = []
    registry.on_new_incarnation.append(begun.append)
    return registry, begun


def put(registry, **changes):
    stored = foreign_entries.stored('e', **changes)
    registry.on_changes([store.Change(stored, is_removed=False)])


def test_a_late_write_of_the_previous_process_is_ignored(clock):
    """The store may execute it after the first write of the new process."""
    registry, begun = make_registry(clock)
    put(registry, born=1000, slots=1)
    put(registry, born=2000, slots=2)
    put(registry, born=1000, slots=1, state='draining')
    assert begun == ['e']
    assert registry.live['e'].slots == 2 and not registry.live['e'].draining


def test_a_late_removal_of_the_previous_process_is_ignored(clock):
    registry, _ = make_registry(clock)
    put(registry, born=1000)
    put(registry, born=2000)
    old = foreign_entries.stored('e', born=1000)
    registry.on_changes([store.Change(old, is_removed=True)])
    assert registry.live['e'].born_ms == 2000


def test_a_process_whose_clock_was_set_back_is_accepted(clock):
    """It is used once its predecessor has been silent."""
    registry, begun = make_registry(clock)
    put(registry, born=9000)
    put(registry, born=5000)
    assert registry.live['e'].born_ms == 9000
    clock.now_s += incarnation_tracker.SILENT_S + 0.1
    put(registry, born=5000)
    assert begun == ['e'] and registry.live['e'].born_ms == 5000
    put(registry, born=9000)
    assert registry.live['e'].born_ms == 5000
    assert registry.tracker.is_past('e', 9000)


def test_without_start_times_the_count_of_changes_tells(clock):
    """Some deployments state no start time."""
    registry, begun = make_registry(clock)
    for sequence in (4, 4, 7):
        put(registry, seq=sequence)
    assert not begun
    put(registry, seq=0)
    assert begun == ['e']


def test_a_later_start_time_is_not_past(clock):
    """The findings of other nodes may arrive before the entry."""
    known = incarnation_tracker.IncarnationTracker(clock)
    assert known.observe('e', 1000, 0) is KNOWN
    assert not known.is_past('e', 2000)
    assert known.observe('e', 2000, 0) is NEW
    assert known.is_past('e', 1000) and not known.is_past('e', 0)
    assert known.observe('e', 1000, 9) is OUTDATED


def test_memory_is_bounded(clock, monkeypatch):
    monkeypatch.setattr(incarnation_tracker, 'MAX_INCARNATIONS', 3)
    known = incarnation_tracker.IncarnationTracker(clock)
    for number in range(10):
        known.observe(f'e{number}', 1000, 0)
    assert not known.born_ms('e0') and known.born_ms('e9') == 1000
