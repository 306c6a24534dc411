"""What the serving table remembers of endpoints that restart."""

import time

import pytest

from redwingvalve.fleet import registry as registry_module
from redwingvalve.fleet import serving
from redwingvalve.fleet.tests import foreign_entries
from redwingvalve.platform import configuration, store
from redwingvalve.platform.tests import fleet_harness

OLD_MS = 1000
NEW_MS = 2000
SERVICE = fleet_harness.PLAIN_SERVICE


def make_table(born_ms=OLD_MS):
    registry = registry_module.Registry()
    table = serving.ServingTable(registry)
    document = {
        'metadata': {'revision': 1},
        'spec': fleet_harness.configuration(),
    }
    table.configure(configuration.decode_configuration(document))
    put(registry, 'other', born_ms)
    put(registry, 'e', born_ms)
    return registry, table


def put(registry, name, born_ms, sequence=0):
    spec = {'service': SERVICE, 'seq': sequence}
    if born_ms:
        spec['born'] = born_ms
    stored = foreign_entries.stored(name, **spec)
    registry.on_changes([store.Change(stored, is_removed=False)])


def is_used(table):
    targets = table.find_targets(SERVICE, '')
    return 'e' in {target.endpoint_id for target in targets}


def suspicion(born_ms, ago_s=0.0):
    now_s = time.monotonic()
    return serving.Suspicion('e', 0, now_s + 9, now_s - ago_s, born_ms)


@pytest.mark.parametrize('born_ms', [OLD_MS, 0])
def test_a_suspicion_ends_with_its_process(born_ms):
    """The next process would be out of use although it is healthy."""
    registry, table = make_table(born_ms)
    put(registry, 'e', born_ms, sequence=5)
    table.suspect('e', 'refused')
    assert not is_used(table) and table.local_suspicions()
    put(registry, 'e', NEW_MS if born_ms else 0, sequence=1)
    assert is_used(table) and not table.is_suspect('e')
    assert not table.local_suspicions()


def test_a_late_suspicion_of_the_previous_process_is_ignored():
    """Hubs repeat it for a second, and a connect may time out later."""
    registry, table = make_table()
    put(registry, 'e', NEW_MS)
    assert not table.add_suspicion(suspicion(OLD_MS))
    table.suspect('e', 'timed out', OLD_MS)
    table.check_endpoint('e', 'broken stream', OLD_MS)
    assert is_used(table)
    assert table.add_suspicion(suspicion(NEW_MS))
    assert not is_used(table)


def test_a_suspicion_of_the_next_process_waits_for_its_entry():
    """Another node's message may arrive before the store's."""
    registry, table = make_table()
    table.add_suspicion(suspicion(NEW_MS))
    assert is_used(table)
    put(registry, 'e', NEW_MS)
    assert not is_used(table)


def test_a_clearance_does_not_overrule_suspicions_of_the_next_process():
    registry, table = make_table()
    table.clear_if_older('e', 0, time.monotonic(), OLD_MS)
    put(registry, 'e', NEW_MS)
    assert table.add_suspicion(suspicion(NEW_MS, ago_s=1))
    table.clear_if_older('e', 0, time.monotonic() + 1, OLD_MS)
    assert table.is_suspect('e')
    table.clear_if_older('e', 0, time.monotonic() + 1, NEW_MS)
    assert not table.is_suspect('e')


@pytest.mark.parametrize('is_gone', [False, True])
@pytest.mark.parametrize('stated_ms', [0, OLD_MS])
def test_a_leaving_mark_ends_with_its_process(is_gone, stated_ms):
    """The next process stays, also if the mark came after the entry's end."""
    registry, table = make_table()
    if is_gone:
        old = foreign_entries.stored('e', born=OLD_MS)
        registry.on_changes([store.Change(old, is_removed=True)])
    table.mark_leaving('e', stated_ms)
    assert not is_used(table)
    put(registry, 'e', NEW_MS)
    assert is_used(table)
    table.mark_leaving('e', OLD_MS)
    assert is_used(table)
    table.mark_leaving('e', NEW_MS)
    assert not is_used(table)


def test_a_leaving_mark_of_the_next_process_is_kept():
    registry, table = make_table()
    table.mark_leaving('e', NEW_MS)
    assert is_used(table)
    put(registry, 'e', NEW_MS)
    assert not is_used(table)
