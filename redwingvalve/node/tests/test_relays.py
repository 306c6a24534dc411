"""Propagation of store changes through relays in a large fleet."""

from unittest import mock

import anyio
import pytest

from redwingvalve.fleet import watch_handler
from redwingvalve.node import (
    hubs,
    kind_watch,
    peers,
    source_schedule,
    watch_cache,
    watch_sources,
)
from redwingvalve.platform import store
from redwingvalve.platform.tests import fleet_harness

# Limit within which a change must be known.
BOUND_S = fleet_harness.BOUNDS['config_apply_ms'] / 1000
# Limit for the age of the known state in the tests of a single watch.
MAX_AGE_S = 0.3


@pytest.fixture
def relayed(monkeypatch):
    monkeypatch.setattr(peers, 'LARGE_FLEET_NODES', 3)


def test_changes_reach_nodes_behind_relays(relayed):
    """All nodes get a configuration within a second, for two watches."""

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


def test_a_node_behind_hanging_relays_falls_back_to_the_store(relayed):
    """A leaving endpoint is known in two seconds though both relays hang.

    Like frozen processes, the relays accept requests but answer none.
    """

    async def test(fleet):
        await anyio.sleep(1.5)
        for node in fleet.nodes[:2]:
            for watch in node.watches:
                # Connections are still accepted, as by a frozen process.
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
    """A caller with a revoked key is refused within the limit.

    Both relays of a node are cut off. Waiting for the time-out of each in turn
    would take longer than the limit. The new version is written while the node
    waits for the first of them.
    """

    async def test(fleet):
        await anyio.sleep(1.5)
        for node in fleet.nodes[:2]:
            for watch in node.watches:
                watch.cache.changes_after = hang
        # Watches that the relays accepted earlier are still answered.
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
def test_a_stale_answer_of_a_relay_is_not_relied_on(age_s):
    """A node queries the store itself if its relay's state is too old.

    A relay may have lost the store for longer than it notices. Its 'no changes'
    then refers to the past, and a key revoked since would be accepted.
    """
    relay = IdleSource(age_s)
    platform = IdleSource(0)

    run_watch(relay, platform, 2 * MAX_AGE_S)
    # The first listing always goes to the store.
    is_relay_used = platform.calls == 1
    assert is_relay_used == (age_s < MAX_AGE_S)


def test_a_relay_that_fails_again_gets_a_longer_backoff():
    """A relay that has lost the store costs its downstream nodes few calls."""
    relay = FailingSource(0)
    platform = IdleSource(0)

    run_watch(relay, platform, 4 * source_schedule.RELAY_BACKOFF_S)
    assert 2 <= relay.calls <= 3


def run_watch(relay, platform, duration_s):
    """Run a watch with a relay and the store as its sources."""

    async def main():
        watch = kind_watch.KindWatch(
            'config',
            IgnoringHandler(),
            lambda: [relay_source(relay), store_source(platform)],
        )
        with anyio.move_on_after(duration_s):
            await watch.run()

    anyio.run(main)


class IdleSource:
    """A source without changes, whose state has a given age."""

    def __init__(self, age_s):
        self.calls = 0
        self._age_s = age_s

    async def list_kind(self, kind):
        self.calls += 1
        return store.Listing([], 1, self._age_s)

    async def watch(self, kind, revision, wait_s):
        self.calls += 1
        await anyio.sleep(0.05)
        return store.Changes([], revision, self._age_s)


class FailingSource(IdleSource):
    """A relay that has lost the store."""

    async def watch(self, kind, revision, wait_s):
        self.calls += 1
        raise store.StoreError('relay has lost the store')


class OnceFailingSource(IdleSource):
    """The store, which loses the answer to the first watch."""

    async def watch(self, kind, revision, wait_s):
        if self.calls == 1:
            self.calls += 1
            raise store.StoreError('answer lost')
        return await super().watch(kind, revision, wait_s)


class IgnoringHandler(watch_handler.WatchHandler):
    """Ignores all changes."""

    def on_list(self, listed):
        """Ignore the listing."""

    def on_changes(self, changes):
        """Ignore the changes."""

    def on_unavailable(self):
        """Ignore the failure."""


def relay_source(client):
    return watch_sources.Source(client, False, 0.1, max_age_s=MAX_AGE_S)


def store_source(client):
    return watch_sources.Source(client, is_store=True, wait_s=0.1)


def test_the_nodes_with_the_highest_bandwidth_are_the_relays(monkeypatch):
    """A VM with low bandwidth must not serve a whole data centre."""
    known = [node_address(f'vm-{number}', 20) for number in range(1, 9)]
    known += [node_address('vm-9', 200), node_address('vm-10', 200)]
    widest = known.pop()
    observer = mock.create_autospec(peers.PeerObserver, instance=True)
    known_peers = peers.Peers(widest, observer)
    known_peers.apply_listing(
        [*known, *(node_address(f'x-{n}', 1) for n in range(9))]
    )
    monkeypatch.setattr(
        watch_sources.SourceSelector, '_relay_source', lambda _, one: one.vm
    )
    selector = watch_sources.SourceSelector(
        None,
        None,
        known_peers,
        hubs.Hubs(known_peers, None),
        lambda: False,
        BOUND_S,
    )
    # This node is one of the two relays itself.
    assert [source.is_store for source in selector.select()] == [True]
    known_peers = peers.Peers(known[0], observer)
    known_peers.apply_listing([*known[1:], widest])
    known_peers.apply_listing([node_address(f'x-{n}', 1) for n in range(9)])
    selector = watch_sources.SourceSelector(
        None,
        None,
        known_peers,
        hubs.Hubs(known_peers, None),
        lambda: False,
        BOUND_S,
    )
    assert selector.select()[:2] == ['vm-10', 'vm-9']


def node_address(vm, link_mbps):
    return peers.PeerAddress(vm, '127.0.0.1', 1, '', 'dc', 1, link_mbps)


def test_nodes_without_relays_query_the_store_moderately(relayed, monkeypatch):
    """The store isn't flooded when all relays lose it at the same time.

    Endpoints change twenty times a second after the store dropped its history,
    and all six nodes watch it themselves. Four of them are no relays: at the
    interval of relays they would make 106 calls in a second and a half, at
    their own interval 66.
    """

    async def test(fleet):
        await anyio.sleep(1.5)
        never_current = property(lambda cache: False)
        monkeypatch.setattr(watch_cache.WatchCache, 'is_current', never_current)
        await anyio.sleep(1.5)
        calls = fleet.store.calls
        for number in range(30):
            entry = {'service': 'other', 'number': number}
            fleet.store.put('servers', 'x', entry)
            await anyio.sleep(0.05)
        assert fleet.store.calls - calls < 85

    fleet_harness.run(test, nodes=6, engines=0)


def test_changes_in_quick_succession_cost_few_calls():
    """Each node is up to date within a second, for a few calls to the store.

    There are twenty changes within a second. The lease holder, one of six
    nodes, fetches each at once. If the others did so too, they would make a
    hundred more calls.
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


def test_a_healthy_relay_is_never_too_old_for_downstream_nodes():
    """Nodes don't query the store while their relays are healthy.

    The answer of a relay is at most as old as its pause and its wait. The
    remaining time until the store is queried allows for a late wake-up.
    """
    relay_s = watch_sources.PAUSE_SHARE + watch_sources.RELAY_WAIT_SHARE
    assert relay_s + 0.1 <= watch_sources.STORE_FALLBACK_SHARE


def test_the_store_is_queried_early_enough_for_its_answer():
    """A change is known in time though the relays are frozen or cut off."""
    assert watch_sources.STORE_FALLBACK_SHARE <= 0.8


def test_a_store_that_turns_a_node_away_gets_few_calls():
    """A third of the nodes is turned away for seconds, and so are the relays.

    Each call is charged, also those that the store refuses.
    """
    relay = FailingSource(0)
    platform = FailingSource(0)

    run_watch(relay, platform, 4)
    # At most two calls a second.
    assert platform.calls <= 8


def test_a_single_lost_answer_of_the_store_is_retried_at_once():
    """The limit for a change leaves time for a second call."""
    relay = FailingSource(0)
    platform = OnceFailingSource(0)

    run_watch(relay, platform, source_schedule.RETRY_MAX_S + 0.2)
    # A listing, the watch whose answer is lost, and the next one.
    assert platform.calls >= 3
