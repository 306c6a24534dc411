"""Nodes of a large fleet hear of changes by way of a few of them."""

import anyio
import pytest

from redwingvalve.node import mirror as mirror_module
from redwingvalve.node import sources
from redwingvalve.platform import store
from redwingvalve.platform.tests import fleet as fleets


def change(name, revision, is_removed=False):
    stored = {'metadata': {'name': name, 'revision': revision}, 'spec': {}}
    return store.Change(stored, is_removed)


@pytest.fixture
def relayed(monkeypatch):
    monkeypatch.setattr(sources, 'RELAY_FROM_NODES', 3)


def test_changes_reach_nodes_behind_relays(relayed):
    """All nodes know the configuration within a second, at two watches."""

    async def test(fleet):
        await anyio.sleep(1.5)
        calls = fleet.store.calls
        fleet.store.put('config', 'main', fleets.configuration(version=2))
        await fleet.until(
            lambda: all(
                node.state.configuration.version == 2 for node in fleet.nodes
            ),
            1,
        )
        assert fleet.store.calls - calls < 12

    fleets.run(test, nodes=5, engines=0)


def test_a_node_behind_silent_relays_turns_to_the_store(relayed):
    """A leaving endpoint is known in two seconds though both relays hang.

    The relays take questions and answer none, as frozen processes do.
    """

    async def test(fleet):
        await anyio.sleep(1.5)
        for node in fleet.nodes[:2]:
            for watch in node.watches:
                # The relay's loop stands still, its sockets do not.
                watch.mirror.changes_after = hang
        fleet.endpoints['p0'].drain()
        last = fleet.nodes[-1]
        await fleet.until(
            lambda: len(last.table.of(fleets.PLAIN, '')) == 1, 3.5
        )

    fleets.run(test, nodes=5, engines=0)


async def hang(after_revision, wait_s):
    await anyio.sleep(60)


def test_a_relay_that_lost_the_store_says_so():
    async def main():
        mirror = mirror_module.Mirror()
        assert not mirror.is_in_touch
        mirror.heard(0.0, is_from_store=True)
        assert mirror.is_in_touch
        await anyio.sleep(mirror_module.CONTACT_SLACK_S + 0.05)
        assert not mirror.is_in_touch
        mirror.heard(5.0, is_from_store=False)
        assert not mirror.is_in_touch

    anyio.run(main)


def test_a_mirror_tells_a_batch_that_reaches_past_the_revision_whole():
    """A node that comes from another source ends with the newest states."""

    async def main():
        mirror = mirror_module.Mirror()
        mirror.replaced(store.Listing([], 100))
        mirror.changed(store.Changes([change('a', 101), change('b', 104)], 106))
        found = await mirror.changes_after(103, 0.0)
        assert [one.name for one in found.changes] == ['a', 'b']
        assert found.revision == 106
        found = await mirror.changes_after(106, 0.0)
        assert not found.changes
        # A node ahead of the mirror never goes back.
        assert (await mirror.changes_after(110, 0.0)).revision == 110

    anyio.run(main)


def test_a_mirror_knows_which_history_it_has():
    async def main():
        mirror = mirror_module.Mirror()
        mirror.replaced(store.Listing([], 100))
        assert not mirror.has_history(99) and mirror.has_history(100)
        for number in range(mirror_module.KEPT_BATCHES + 1):
            batch = [change('a', 101 + number)]
            mirror.changed(store.Changes(batch, 101 + number))
        assert not mirror.has_history(100) and mirror.has_history(101)

    anyio.run(main)


def test_a_node_that_waits_while_its_relay_lists_anew_lists_too():
    """A key that was taken away is refused everywhere within the bound.

    The store's history is dropped; a relay lists all objects anew, which
    brings a configuration that no event told of. A node waits at that relay
    for events meanwhile: told 'none' and the new revision, it would never
    hear of this configuration.
    """

    async def main():
        mirror = mirror_module.Mirror()
        mirror.replaced(store.Listing([], 10))
        async with anyio.create_task_group() as group:
            group.start_soon(list_anew, mirror)
            with pytest.raises(store.HistoryGoneError):
                await mirror.changes_after(10, 1.0)

    anyio.run(main)


async def list_anew(mirror):
    await anyio.sleep(0.02)
    stored = {'metadata': {'name': 'main', 'revision': 15}, 'spec': {}}
    mirror.replaced(store.Listing([stored], 20))


def test_nodes_without_relays_ask_the_store_in_moderation(relayed, monkeypatch):
    """The store isn't flooded when all relays are out of touch at once.

    It has dropped its history, and endpoints change twenty times a second.
    Six nodes ask it themselves, four of which are no relays: 106 calls in a
    second and a half at the pace of relays, 66 at their own.
    """

    async def test(fleet):
        await anyio.sleep(1.5)
        out_of_touch = property(lambda mirror: False)
        monkeypatch.setattr(mirror_module.Mirror, 'is_in_touch', out_of_touch)
        await anyio.sleep(1.5)
        calls = fleet.store.calls
        for number in range(30):
            entry = {'service': 'other', 'number': number}
            fleet.store.put('servers', 'x', entry)
            await anyio.sleep(0.05)
        assert fleet.store.calls - calls < 85

    fleets.run(test, nodes=6, engines=0)


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
            fleet.store.put('config', 'main', fleets.configuration(version))
            await anyio.sleep(0.05)
        await fleet.until(
            lambda: all(
                node.state.configuration.version == 21 for node in fleet.nodes
            ),
            1,
        )
        assert fleet.store.calls - calls < 60

    fleets.run(test, nodes=6, engines=0)


@pytest.mark.parametrize('drain_s', [2.0, 3.0])
def test_a_leaving_endpoint_is_known_in_time_behind_a_frozen_relay(drain_s):
    """What a relay and a node behind it wait for fits into the time given."""
    known_by_relay_s = sources.PAUSE_SHARE * drain_s
    frozen_s = sources.RELAY_WAIT_S
    assert known_by_relay_s + frozen_s < 0.8 * drain_s
