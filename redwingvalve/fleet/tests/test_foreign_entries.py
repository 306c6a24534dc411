"""Entries of other writers in the registry: no endpoint, no error, one log."""

import logging

import pytest

from redwingvalve.fleet import registry as registry_module
from redwingvalve.fleet.tests import foreign_entries
from redwingvalve.platform import store

ENTRY = foreign_entries.ENTRY
stored = foreign_entries.stored
UNUSABLE_OBJECTS = [
    {'metadata': {'name': 'bad', 'revision': 7}},
    {'metadata': {'name': 'bad', 'revision': 7}, 'spec': None},
    {'metadata': {'name': 'bad', 'revision': 7}, 'spec': ['ready']},
    {'metadata': {'name': 'bad', 'revision': 7}, 'unreadable': 'not JSON'},
    {'metadata': {'name': 'bad', 'revision': 7}, 'spec': {}},
    {'metadata': {'name': 'bad', 'revision': []}, 'spec': {**ENTRY, 'seq': ''}},
    {'metadata': {'name': ['bad']}, 'spec': ENTRY},
    {'metadata': 'bad', 'spec': ENTRY},
    {'metadata': None, 'spec': ENTRY},
    {'spec': ENTRY},
    {},
]


@pytest.fixture
def lines(caplog, monkeypatch):
    """Return the log lines of the registry as (entry, reason)."""
    monkeypatch.setattr(logging.getLogger('redwingvalve'), 'propagate', True)
    caplog.set_level('INFO', 'redwingvalve')

    def found():
        return [
            (record.entry, record.reason)
            for record in caplog.records
            if 'unusable endpoint entry' in record.getMessage()
        ]

    return found


def change(document, is_removed=False):
    return store.Change(document, is_removed)


@pytest.mark.parametrize('unusable', UNUSABLE_OBJECTS)
def test_one_unusable_object_hides_no_other(unusable, lines):
    """Other endpoints of the same listing or batch must stay in use."""
    registry = registry_module.Registry()
    registry.on_list([stored('a'), unusable, stored('b')])
    assert set(registry.live) == {'a', 'b'}
    registry.on_changes([change(unusable), change(stored('c'))])
    assert set(registry.live) == {'a', 'b', 'c'}
    assert len(lines()) == 1


@pytest.mark.parametrize(
    ('field', 'foreign'),
    [
        (field, foreign)
        for field in sorted(ENTRY)
        for foreign in (None, [], {}, True, '', -1, '\ud800')
        # An empty version is a string.
        if (field, foreign) != ('version', '')
    ],
)
def test_an_entry_that_becomes_unusable_is_out_of_use_at_once(field, foreign):
    """Not even an outage of the store keeps the endpoint in use.

    After an outage missing entries get a grace period. This one isn't missing.
    """
    registry = registry_module.Registry()
    unusable = stored('a', revision=6, **{field: foreign})
    for apply in (
        lambda: registry.on_changes([change(unusable)]),
        lambda: registry.on_list([unusable]),
    ):
        registry.on_list([stored('a')])
        registry.on_unavailable()
        apply()
        assert not registry.usable()


def test_an_entry_in_its_grace_period_that_becomes_unusable_is_dropped():
    registry = registry_module.Registry()
    registry.on_list([stored('a')])
    registry.on_unavailable()
    registry.on_list([])
    assert registry.usable()
    registry.on_changes([change(stored('a', state='asleep'))])
    assert not registry.usable()


def test_each_change_is_logged_once(lines):
    """An unusable entry that stays for hours must not fill the log."""
    registry = registry_module.Registry()
    first = stored('a', revision=6, state='asleep')
    second = stored('a', revision=7, slots='9')
    for _ in range(3):
        registry.on_list([first])
    registry.on_changes([change(first)])
    assert lines() == [('a', "unknown state 'asleep'")]
    registry.on_changes([change(second)])
    registry.on_list([second])
    assert len(lines()) == 2
    registry.on_changes([change(stored('a', revision=8))])
    registry.on_list([stored('a', revision=8)])
    assert len(lines()) == 2 and set(registry.live) == {'a'}
    registry.on_changes([change(stored('a', revision=9, state='asleep'))])
    assert len(lines()) == 3


def test_a_log_line_is_short_and_printable(lines):
    registry = registry_module.Registry()
    registry.on_list([stored('n\udcff\n' * 999, state='\ud800' * 9999)])
    ((entry, reason),) = lines()
    assert len(entry + reason) < 2000 and (entry + reason).isascii()


def test_an_endpoint_of_an_unknown_service_is_logged_until_it_is_known(lines):
    """It names no endpoint to use until a configuration has its service."""
    registry = registry_module.Registry()
    registry.on_list([stored('a', service='other')])
    assert not lines()
    registry.set_services({'s': False})
    for revision in range(6, 9):
        beat = stored('a', revision=revision, service='other')
        registry.on_changes([change(beat)])
    assert lines() == [('a', "unknown service 'other'")]
    registry.set_services({'s': False, 'other': False})
    registry.set_services({'s': False})
    assert len(lines()) == 2


def test_an_entry_without_the_fields_of_models_is_no_member(lines):
    registry = registry_module.Registry()
    registry.set_services({'s': True})
    registry.on_list([stored('a')])
    assert not registry.live['a'].has_model_fields
    assert [entry for entry, _ in lines()] == ['a']
