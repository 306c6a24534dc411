"""What a relay keeps of the store, and what it tells of it."""

import anyio
import pytest

from redwingvalve.core import clock
from redwingvalve.node import watch_cache
from redwingvalve.platform import store, store_responses
from redwingvalve.platform.tests import fleet_harness


def change(name, revision, is_removed=False):
    stored = {'metadata': {'name': name, 'revision': revision}, 'spec': {}}
    return store.Change(stored, is_removed)


def test_a_mirror_says_how_old_its_knowledge_is(monkeypatch):
    """Time in which the relay was suspended counts.

    It wakes with the changes of seconds ago; by a clock that stood still they
    would pass for new.
    """
    now_s = [100.0]
    monkeypatch.setattr(clock, 'boot_s', lambda: now_s[0])
    cache = watch_cache.WatchCache()
    assert cache.age_s == watch_cache.NEVER_S
    cache.apply_listing(store.Listing([], 10))
    cache.heard(1.0, is_from_store=True)
    now_s[0] += 4
    assert cache.listing().age_s == pytest.approx(4)
    assert not cache.is_current


def test_a_question_is_answered_when_the_store_was_heard_again():
    """'No changes' is as new as the relay's own knowledge."""

    async def main():
        cache = watch_cache.WatchCache()
        cache.apply_listing(store.Listing([], 10))
        async with anyio.create_task_group() as group:
            group.start_soon(hear_later, cache)
            began_s = anyio.current_time()
            found = await cache.changes_after(10, 5.0)
            assert anyio.current_time() - began_s < 1
            assert not found.changes
            assert found.age_s < 0.1

    anyio.run(main)


async def hear_later(cache):
    await anyio.sleep(0.05)
    cache.heard(1.0, is_from_store=True)


def test_a_relay_that_lost_the_store_says_so():
    async def main():
        cache = watch_cache.WatchCache()
        assert not cache.is_current
        cache.heard(0.0, is_from_store=True)
        assert cache.is_current
        await anyio.sleep(watch_cache.CONTACT_SLACK_S + 0.05)
        assert not cache.is_current
        cache.heard(5.0, is_from_store=False)
        assert not cache.is_current

    anyio.run(main)


def test_a_mirror_tells_a_batch_that_reaches_past_the_revision_whole():
    """A node that comes from another source ends with the newest states."""

    async def main():
        cache = watch_cache.WatchCache()
        cache.apply_listing(store.Listing([], 100))
        cache.apply_changes(
            store.Changes([change('a', 101), change('b', 104)], 106)
        )
        found = await cache.changes_after(103, 0.0)
        assert [one.name for one in found.changes] == ['a', 'b']
        assert found.revision == 106
        found = await cache.changes_after(106, 0.0)
        assert not found.changes
        # A node ahead of the mirror never goes back.
        assert (await cache.changes_after(110, 0.0)).revision == 110

    anyio.run(main)


def test_a_series_of_versions_is_told_by_its_last():
    """All nodes hear of a key that was taken away, in a storm of changes.

    Four versions a second of some 100 KB each, told in full to twenty nodes,
    fill a relay's link of 20 Mbit/s: it loses touch with the store and all
    nodes behind it go on with an old version for seconds.
    """

    async def main():
        cache = watch_cache.WatchCache()
        cache.apply_listing(store.Listing([], 100))
        for revision in range(101, 111):
            batch = [change('main', revision), change(f'x{revision}', revision)]
            cache.apply_changes(store.Changes(batch, revision))
        found = await cache.changes_after(100, 0.0)
        versions = [one for one in found.changes if one.name == 'main']
        assert [store.revision_of(one.stored) for one in versions] == [110]
        assert len(found.changes) == 11

    anyio.run(main)


def test_a_removal_is_told_with_the_state_before_it():
    """An endpoint that said it would leave isn't taken for a dead one."""

    async def main():
        cache = watch_cache.WatchCache()
        cache.apply_listing(store.Listing([], 100))
        for revision, is_removed in ((101, False), (102, False), (103, True)):
            batch = [change('a', revision, is_removed)]
            cache.apply_changes(store.Changes(batch, revision))
        found = await cache.changes_after(100, 0.0)
        revisions = [store.revision_of(one.stored) for one in found.changes]
        assert revisions == [102, 103]

    anyio.run(main)


def test_a_configuration_takes_little_of_a_relays_link():
    """Twenty nodes hear of four versions a second over 20 Mbit/s."""
    routes = [
        fleet_harness.route(
            f'r{number}', f'/{number * 7919:x}/', 'stream', 'one'
        )
        for number in range(400)
    ]
    stored = {
        'metadata': {'name': 'main', 'revision': 7},
        'spec': {'version': 1, 'routes': routes},
    }
    listing = store.Listing([stored], 7)
    page = store_responses.encode_listing(listing)
    bits_per_s = len(page) * 8 * 20 * 4
    assert bits_per_s < 0.5 * 20e6


def test_a_mirror_knows_which_history_it_has():
    async def main():
        cache = watch_cache.WatchCache()
        cache.apply_listing(store.Listing([], 100))
        assert not cache.has_history(99) and cache.has_history(100)
        for number in range(watch_cache.KEPT_BATCHES + 1):
            batch = [change('a', 101 + number)]
            cache.apply_changes(store.Changes(batch, 101 + number))
        assert not cache.has_history(100) and cache.has_history(101)

    anyio.run(main)


def test_a_node_that_waits_while_its_relay_lists_anew_hears_what_is_new():
    """A key that was taken away is refused everywhere within the bound.

    The store's history is dropped; a relay lists all objects anew, which
    brings a configuration that no event told of. A node waits at that relay
    for events meanwhile: told 'none' and the new revision, it would never
    hear of this configuration.
    """

    async def main():
        cache = watch_cache.WatchCache()
        cache.apply_listing(store.Listing([], 10))
        async with anyio.create_task_group() as group:
            group.start_soon(list_anew, cache)
            found = await cache.changes_after(10, 1.0)
        assert [one.name for one in found.changes] == ['main']
        assert found.revision == 20

    anyio.run(main)


def test_a_node_from_before_the_history_lists_too():
    async def main():
        cache = watch_cache.WatchCache()
        cache.apply_listing(store.Listing([], 10))
        with pytest.raises(store.HistoryGoneError):
            await cache.changes_after(9, 0.0)

    anyio.run(main)


async def list_anew(cache):
    await anyio.sleep(0.02)
    stored = {'metadata': {'name': 'main', 'revision': 15}, 'spec': {}}
    cache.apply_listing(store.Listing([stored], 20))


def test_nodes_behind_a_relay_that_lists_anew_are_told_the_difference():
    """Two hundred nodes don't list all endpoints when history is forgotten."""

    async def main():
        cache = watch_cache.WatchCache()
        before = [change(name, 90).stored for name in ('a', 'b', 'c')]
        cache.apply_listing(store.Listing(before, 100))
        after = [change('a', 90).stored, change('b', 120).stored]
        cache.apply_listing(
            store.Listing([*after, change('d', 130).stored], 140)
        )
        found = await cache.changes_after(100, 0.0)
        told = {(one.name, one.is_removed) for one in found.changes}
        assert told == {('b', False), ('c', True), ('d', False)}
        assert found.revision == 140

    anyio.run(main)


def test_a_listing_from_before_ends_the_history():
    """A relay that follows an older one never tells what was before as new."""
    cache = watch_cache.WatchCache()
    cache.apply_listing(store.Listing([change('a', 90).stored], 100))
    cache.apply_listing(store.Listing([change('a', 80).stored], 85))
    assert cache.revision == 85
    assert not cache.has_history(84)
