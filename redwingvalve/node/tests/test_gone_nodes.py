"""Nodes that are gone aren't given to callers, whatever the store lists."""

import time

import anyio
import pytest

from redwingvalve.node import (
    daemon,
    front_selection,
    peer_discovery,
    peers,
)
from redwingvalve.platform.tests import fleet_harness

LIVE = 5
GONE = 12
# Within this time after its first listing a node names all that are alive.
FOUND_S = 0.5
BORN_LONG_AGO_MS = 1_700_000_000_000


def register_gone(store, number, data_centre, born_ms=BORN_LONG_AGO_MS):
    """Leave the registration of a node that was killed in the store."""
    name = f'gone-{number}'
    spec = {
        'vm': name,
        'ip': '127.0.0.1',
        'peer_port': 9,
        'front': f'127.0.0.1:{number}',
        'data_centre': data_centre,
        'born_ms': born_ms,
        # Ranks first as a hub.
        'link_mbps': 1000,
    }
    store.put(peer_discovery.NODE_KIND, name, spec)


async def name_fronts(fleet, duration_s):
    """Start a node; return the fronts that it names, and when."""
    late = daemon.make_node(
        fleet_harness.node_settings('node-late', fleet.store_address)
    )
    named = []
    async with anyio.create_task_group() as group:
        group.start_soon(late.run, anyio.Event())
        await fleet.wait_until(lambda: late.peers.known)
        listed_s = time.monotonic()
        while time.monotonic() < listed_s + duration_s:
            found = set(front_selection.select_fronts(late.peers))
            named.append((time.monotonic() - listed_s, found))
            await anyio.sleep(0.01)
        group.cancel_scope.cancel()
    return named


@pytest.mark.parametrize('data_centres', [1, 2])
@pytest.mark.parametrize('large_from', [3, 100])
def test_a_node_that_starts_names_no_node_that_is_gone(
    large_from, data_centres, monkeypatch
):
    """Old registrations stay in the store after nodes were killed.

    Callers that get such an address lose a second for each of them. The nodes
    that are alive are all named soon.
    """
    monkeypatch.setattr(peers, 'LARGE_FLEET_NODES', large_from)

    async def test(fleet):
        await anyio.sleep(1)
        for number in range(GONE):
            zone = f'zone-{number % 3 + 1}'
            register_gone(fleet.store, number, zone)
        live = {str(node.settings.front) for node in fleet.nodes}
        named = await name_fronts(fleet, 4)
        assert set.union(*(fronts for _, fronts in named)) <= live
        late = [fronts for at_s, fronts in named if at_s > FOUND_S]
        assert all(fronts == live for fronts in late)

    fleet_harness.run(
        test, nodes=LIVE, engines=0, plain=1, data_centres=data_centres
    )


def test_a_killed_node_is_soon_left_out_by_a_node_that_starts(monkeypatch):
    """Hubs report it, and gone nodes that rank above hubs must not hide them.

    A node that waited for each two of them in turn would take half a minute to
    find the hubs that run.
    """
    monkeypatch.setattr(peers, 'LARGE_FLEET_NODES', 3)

    async def test(fleet):
        await anyio.sleep(1)
        for number in range(4 * GONE):
            register_gone(fleet.store, number, 'zone-1')
        killed = fleet.nodes[-1]
        front = str(killed.settings.front)

        async def kill():
            await anyio.sleep(1)
            killed.peers.send_status = lambda message, names: None

        async with anyio.create_task_group() as group:
            group.start_soon(kill)
            named = await name_fronts(fleet, 4.5)
        assert front in set.union(*(fronts for _, fronts in named))
        assert not any(front in fronts for at_s, fronts in named if at_s > 4)

    fleet_harness.run(test, nodes=LIVE, engines=0, plain=1)
