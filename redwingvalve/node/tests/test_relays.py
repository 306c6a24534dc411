"""Nodes of a large fleet hear of changes by way of a few of them."""

from unittest import mock

import anyio
import pytest

from redwingvalve.node import (
    hubs,
    kind_watch,
    peers,
    watch_cache,
    watch_handler,
    watch_sources,
)
from redwingvalve.platform import store
from redwingvalve.platform.tests import fleet_harness

# In which a change must be known.
BOUND_S = fleet_harness.BOUNDS['config_apply_ms'] / 1000
# How old knowledge may be in the tests of one watch.
RELIED_ON_S = 0.3


@pytest.fixture
def relayed(monkeypatch):
    monkeypatch.setattr(peers, 'LARGE_FROM_NODES', 3)


def test_changes_reach_nodes_behind_relays(relayed):
    """All nodes know the configuration within a second, at two watches."""

    async def test(fleet):
        await anyio.sleep(1.5)
        calls = fleet.store.calls
        fleet.store.put(
            'config', 'main', fleet_harness.configuration(version=2)
        )
        await fleet.wait_until(
            lambda: all(
                node.state.configuration.version == 2 for node in fleet.nodes
            ),
            1,
        )
        assert fleet.store.calls - calls < 12

    fleet_harness.run(test, nodes=5, engines=0)


def test_a_node_behind_silent_relays_turns_to_the_store(relayed):
    """A leaving endpoint is known in two seconds though both relays hang.

    The relays take questions and answer none, as frozen processes do.
    """

    async def test(fleet):
        await anyio.sleep(1.5)
        for node in fleet.nodes[:2]:
            for watch in node.watches:
                # The relay's loop stands still, its sockets do not.
                watch.cache.changes_after = hang
        fleet.endpoints['p0'].drain()
        last = fleet.nodes[-1]
        await fleet.wait_until(
            lambda: (
                len(last.table.find_targets(fleet_harness.PLAIN_SERVICE, ''))
                == 1
            ),
            3.5,
        )

    fleet_harness.run(test, nodes=5, engines=0)


async def hang(after_revision, wait_s):
    await anyio.sleep(60)


def test_a_configuration_is_in_force_in_time_though_both_relays_hang(relayed):
    """A caller whose key was taken away is refused within the bound.

    Both relays of a node are cut off; asked one after the other until each
    has missed its time, they would cost more than the bound. The new version
    comes as the node waits at the first of them.
    """

    async def test(fleet):
        await anyio.sleep(1.5)
        for node in fleet.nodes[:2]:
            for watch in node.watches:
                watch.cache.changes_after = hang
        # Questions that the relays had taken before are answered.
        await anyio.sleep(1.2)
        fleet.store.put(
            'config', 'main', fleet_harness.configuration(version=2)
        )
        last = fleet.nodes[-1]
        await fleet.wait_until(
            lambda: last.state.configuration.version == 2, BOUND_S
        )

    fleet_harness.run(test, nodes=5, engines=0)


@pytest.mark.parametrize('age_s', [0.1, 5.0])
def test_a_relay_that_tells_old_news_is_not_relied_on(age_s):
    """A relay answers, but has not heard the store for longer than it thinks.

    Its 'no changes' is true of a moment that has passed; a key taken away
    since then would be let in. The node behind it asks the store itself.
    """
    relay = Told(age_s)
    platform = Told(0)

    async def main():
        watch = kind_watch.KindWatch(
            'config', Deaf(), lambda: [of_relay(relay), of_store(platform)]
        )
        with anyio.move_on_after(2 * RELIED_ON_S):
            await watch.run()

    anyio.run(main)
    # The first question of all goes to the store.
    is_relied_on = platform.asked == 1
    assert is_relied_on == (age_s < RELIED_ON_S)


def test_a_relay_that_fails_again_is_asked_more_rarely():
    """A relay that has lost the store costs the nodes behind it few calls."""
    relay = Lost(0)
    platform = Told(0)

    async def main():
        watch = kind_watch.KindWatch(
            'config', Deaf(), lambda: [of_relay(relay), of_store(platform)]
        )
        with anyio.move_on_after(4 * kind_watch.FORGIVE_S):
            await watch.run()

    anyio.run(main)
    assert 2 <= relay.asked <= 3


class Told:
    """A source that has nothing new, as of some time ago."""

    def __init__(self, age_s):
        self.asked = 0
        self._age_s = age_s

    async def list_kind(self, kind):
        self.asked += 1
        return store.Listing([], 1, self._age_s)

    async def watch(self, kind, revision, wait_s):
        self.asked += 1
        await anyio.sleep(0.05)
        return store.Changes([], revision, self._age_s)


class Lost(Told):
    """A relay that has lost the store."""

    async def watch(self, kind, revision, wait_s):
        self.asked += 1
        raise store.StoreError('no touch')


class Deaf(watch_handler.WatchHandler):
    """Takes what it is told."""

    def on_list(self, listed):
        """Keep nothing."""

    def on_changes(self, changes):
        """Keep nothing."""

    def on_unavailable(self):
        """Go on."""


def of_relay(client):
    return watch_sources.Source(client, False, 0.1, max_age_s=RELIED_ON_S)


def of_store(client):
    return watch_sources.Source(client, is_store=True, wait_s=0.1)


def test_the_nodes_with_the_widest_links_are_the_relays(monkeypatch):
    """A VM with a narrow link doesn't speak for a data centre."""
    known = [node_address(f'vm-{number}', 20) for number in range(1, 9)]
    known += [node_address('vm-9', 200), node_address('vm-10', 200)]
    own = known.pop()
    nobody = mock.create_autospec(peers.PeerObserver, instance=True)
    others = peers.Peers(own, nobody)
    others.listed([*known, *(node_address(f'x-{n}', 1) for n in range(9))])
    monkeypatch.setattr(
        watch_sources.SourceSelector, '_relay_source', lambda _, one: one.vm
    )
    selector = watch_sources.SourceSelector(
        None, None, others, hubs.Hubs(others, None), lambda: False, BOUND_S
    )
    # One of the two itself.
    assert [source.is_store for source in selector.select()] == [True]
    others = peers.Peers(known[0], nobody)
    others.listed([*known[1:], own])
    others.listed([node_address(f'x-{n}', 1) for n in range(9)])
    selector = watch_sources.SourceSelector(
        None, None, others, hubs.Hubs(others, None), lambda: False, BOUND_S
    )
    assert selector.select()[:2] == ['vm-10', 'vm-9']


def node_address(vm, link_mbps):
    return peers.PeerAddress(vm, '127.0.0.1', 1, '', 'dc', 1, link_mbps)


def test_nodes_without_relays_ask_the_store_in_moderation(relayed, monkeypatch):
    """The store isn't flooded when all relays are out of touch at once.

    It has dropped its history, and endpoints change twenty times a second.
    Six nodes ask it themselves, four of which are no relays: 106 calls in a
    second and a half at the pace of relays, 66 at their own.
    """

    async def test(fleet):
        await anyio.sleep(1.5)
        out_of_touch = property(lambda cache: False)
        monkeypatch.setattr(watch_cache.WatchCache, 'is_current', out_of_touch)
        await anyio.sleep(1.5)
        calls = fleet.store.calls
        for number in range(30):
            entry = {'service': 'other', 'number': number}
            fleet.store.put('servers', 'x', entry)
            await anyio.sleep(0.05)
        assert fleet.store.calls - calls < 85

    fleet_harness.run(test, nodes=6, engines=0)


def test_changes_in_series_cost_a_node_few_calls():
    """Each node follows within a second, for a few answers of the store.

    Twenty changes come within a second. Of six nodes the holder of the lease
    takes each at once; answered one by one, the others would make a hundred
    calls more.
    """

    async def test(fleet):
        await anyio.sleep(1)
        calls = fleet.store.calls
        for version in range(2, 22):
            fleet.store.put(
                'config', 'main', fleet_harness.configuration(version)
            )
            await anyio.sleep(0.05)
        await fleet.wait_until(
            lambda: all(
                node.state.configuration.version == 21 for node in fleet.nodes
            ),
            1,
        )
        assert fleet.store.calls - calls < 60

    fleet_harness.run(test, nodes=6, engines=0)


def test_a_relay_in_touch_is_never_too_old_for_those_behind_it():
    """The store isn't asked by all nodes while their relays are well.

    What a relay says is as old as its pause and its wait; the rest of the
    time until the store is asked is left for a late wake-up.
    """
    relay_s = watch_sources.PAUSE_SHARE + watch_sources.RELAY_WAIT_SHARE
    assert relay_s + 0.1 <= watch_sources.ASK_STORE_SHARE


def test_the_store_is_asked_early_enough_for_its_answer():
    """A change is known in time behind relays that are frozen or cut off."""
    assert watch_sources.ASK_STORE_SHARE <= 0.8
