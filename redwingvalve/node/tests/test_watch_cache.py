"""Content of a relay's watch cache and its answers to other nodes."""

import anyio
import pytest

from redwingvalve.core import clock, steps
from redwingvalve.node import watch_cache
from redwingvalve.platform import store, store_responses
from redwingvalve.platform.tests import fleet_harness


def change(name, revision, is_removed=False):
    stored = {'metadata': {'name': name, 'revision': revision}, 'spec': {}}
    return store.Change(stored, is_removed)


def test_the_age_of_a_cache_includes_suspended_time(monkeypatch):
    """A relay that was suspended must not present old state as current.

    It resumes with a state that is seconds old, which a clock that stopped
    during the suspension would not show.
    """
    now_s = [100.0]
    monkeypatch.setattr(clock, 'boot_s', lambda: now_s[0])
    cache = watch_cache.WatchCache()
    assert cache.age_s == watch_cache.NEVER_SYNCED_AGE_S
    cache.apply_listing(store.Listing([], 10))
    cache.record_sync(1.0, is_from_store=True)
    now_s[0] += 4
    assert cache.listing().age_s == pytest.approx(4)
    assert not cache.is_current


def test_a_watch_is_answered_when_the_store_has_answered_again():
    """'No changes' is as recent as the relay's own state."""

    async def main():
        cache = watch_cache.WatchCache()
        cache.apply_listing(store.Listing([], 10))
        async with anyio.create_task_group() as group:
            group.start_soon(sync_later, cache)
            began_s = anyio.current_time()
            found = await cache.changes_after(10, 5.0)
            assert anyio.current_time() - began_s < 1
            assert not found.changes
            assert found.age_s < 0.1

    anyio.run(main)


async def sync_later(cache):
    await anyio.sleep(0.05)
    cache.record_sync(1.0, is_from_store=True)


@pytest.mark.parametrize('unreadable', [None, 'text', {}, {'metadata': 3}])
def test_objects_without_a_readable_name_are_left_out(unreadable):
    """One of them must not end the watch of its kind at all nodes."""
    cache = watch_cache.WatchCache()
    stored = {'metadata': {'name': 'a'}, 'spec': {}}
    cache.apply_listing(store.Listing([unreadable, stored], 10))
    changes = [store.Change(unreadable, is_removed=False), change('b', 11)]
    cache.apply_changes(store.Changes(changes, 11))
    cache.apply_listing(store.Listing([stored, unreadable], 12))
    assert cache.listing().objects == [stored]
    assert [one.name for one in cache._after(10)] == ['b', 'b']


def test_a_cache_that_lost_the_store_is_not_current():
    async def main():
        cache = watch_cache.WatchCache()
        assert not cache.is_current
        cache.record_sync(0.0, is_from_store=True)
        assert cache.is_current
        await anyio.sleep(watch_cache.RESPONSE_SLACK_S + 0.05)
        assert not cache.is_current
        cache.record_sync(5.0, is_from_store=False)
        assert not cache.is_current

    anyio.run(main)


def test_a_batch_beyond_the_revision_is_returned_whole():
    """A node that switches from another source gets the latest states."""

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
        # The revision of a node ahead of the cache is never set back.
        assert (await cache.changes_after(110, 0.0)).revision == 110

    anyio.run(main)


def test_only_the_last_of_several_versions_is_returned():
    """All nodes learn of a revoked key during frequent changes.

    Four versions a second of about 100 KB each, all sent to twenty nodes, would
    saturate a relay's link of 20 Mbit/s. It would lose the store, and all nodes
    behind it would use an old version for seconds.
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


def test_a_removal_is_returned_with_the_state_before_it():
    """An endpoint that announced its leave must not be taken for dead."""

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


def test_a_configuration_uses_little_of_a_relays_bandwidth():
    """Four versions a second reach twenty nodes over 20 Mbit/s."""
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
    page = steps.finish(store_responses.encode_listing(listing))
    bits_per_s = len(page) * 8 * 20 * 4
    assert bits_per_s < 0.5 * 20e6


def test_has_history_follows_the_batches_kept():
    async def main():
        cache = watch_cache.WatchCache()
        cache.apply_listing(store.Listing([], 100))
        assert not cache.has_history(99) and cache.has_history(100)
        for number in range(watch_cache.MAX_BATCHES + 1):
            batch = [change('a', 101 + number)]
            cache.apply_changes(store.Changes(batch, 101 + number))
        assert not cache.has_history(100) and cache.has_history(101)

    anyio.run(main)


def test_a_watch_during_a_relist_returns_the_changes():
    """A revoked key is refused by all nodes within the limit.

    When the store drops its history, a relay relists all objects and so learns
    of a configuration without any event. If a node that waits at this relay got
    'no changes' and the new revision, it would never learn of it.
    """

    async def main():
        cache = watch_cache.WatchCache()
        cache.apply_listing(store.Listing([], 10))
        async with anyio.create_task_group() as group:
            group.start_soon(relist_later, cache)
            found = await cache.changes_after(10, 1.0)
        assert [one.name for one in found.changes] == ['main']
        assert found.revision == 20

    anyio.run(main)


def test_a_node_from_before_the_history_must_relist():
    async def main():
        cache = watch_cache.WatchCache()
        cache.apply_listing(store.Listing([], 10))
        with pytest.raises(store.HistoryGoneError):
            await cache.changes_after(9, 0.0)

    anyio.run(main)


async def relist_later(cache):
    await anyio.sleep(0.02)
    stored = {'metadata': {'name': 'main', 'revision': 15}, 'spec': {}}
    cache.apply_listing(store.Listing([stored], 20))


def test_a_relist_is_returned_as_changes():
    """Two hundred nodes needn't relist when the store drops its history."""

    async def main():
        cache = watch_cache.WatchCache()
        before = [change(name, 90).stored for name in ('a', 'b', 'c')]
        cache.apply_listing(store.Listing(before, 100))
        after = [change('a', 90).stored, change('b', 120).stored]
        cache.apply_listing(
            store.Listing([*after, change('d', 130).stored], 140)
        )
        found = await cache.changes_after(100, 0.0)
        changed = {(one.name, one.is_removed) for one in found.changes}
        assert changed == {('b', False), ('c', True), ('d', False)}
        assert found.revision == 140

    anyio.run(main)


def test_an_older_listing_ends_the_history():
    """A relay that lists an older state must not return it as changes."""
    cache = watch_cache.WatchCache()
    cache.apply_listing(store.Listing([change('a', 90).stored], 100))
    cache.apply_listing(store.Listing([change('a', 80).stored], 85))
    assert cache.revision == 85
    assert not cache.has_history(84)
