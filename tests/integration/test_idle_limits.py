"""Kept connections of a node process around their idle limit."""

import signal

import anyio
import pytest

from redwingvalve.platform.tests import fleet_harness
from tests.integration import node_world

CALLERS = 80
GUARD_S = 60
SHORT_MS = 2000


def configuration(version, idle_timeout_ms):
    made = fleet_harness.configuration(version)
    made['limits']['idle_timeout_ms'] = idle_timeout_ms
    return made


async def keep_connections(node):
    """Return callers whose connections were answered and are idle."""
    callers = [
        fleet_harness.Caller((node.ip, node_world.FRONT_PORT))
        for _ in range(CALLERS)
    ]
    async with anyio.create_task_group() as group:
        for caller in callers:
            group.start_soon(caller.ask, '/open/1')
    return callers


async def start_requests(callers):
    """Ask again on the kept connections, which must be open."""
    assert all(caller.connection.is_open for caller in callers)
    return [await caller.start_request('/open/1') for caller in callers]


async def endings(readers):
    with anyio.fail_after(8):
        return {await reader.done for reader in readers}


def play(tmp_path, scenario):
    async def main():
        cluster = node_world.NodeCluster(1, 1, tmp_path)
        with anyio.fail_after(GUARD_S):
            async with anyio.create_task_group() as group:
                try:
                    await cluster.start(group)
                    cluster.store.put(
                        'config', 'main', configuration(2, SHORT_MS)
                    )
                    await wait_until_served(cluster.nodes[0])
                    # Until the limit is in force.
                    await anyio.sleep(1)
                    found = await scenario(cluster)
                finally:
                    cluster.kill_all()
                    group.cancel_scope.cancel()
        assert found == {'whole'}

    anyio.run(main)


async def wait_until_served(node):
    caller = fleet_harness.Caller((node.ip, node_world.FRONT_PORT))
    while True:
        try:
            if (await caller.ask('/open/1')).status == 200:
                return
        except OSError:
            await anyio.sleep(0.05)


@pytest.mark.slow
def test_a_raised_idle_limit_closes_no_kept_connection(tmp_path):
    """Requests inside the limit in force were closed without an answer."""

    async def scenario(cluster):
        callers = await keep_connections(cluster.nodes[0])
        cluster.store.put('config', 'main', configuration(3, 15_000))
        await anyio.sleep(2.5 * SHORT_MS / 1000)
        return await endings(await start_requests(callers))

    play(tmp_path, scenario)


@pytest.mark.slow
def test_requests_that_arrive_while_a_node_stands_still_are_answered(tmp_path):
    """They were closed unread, as their idle limit ended meanwhile."""

    async def scenario(cluster):
        node = cluster.nodes[0]
        callers = await keep_connections(node)
        await anyio.sleep(1.2)
        node.send_signal(signal.SIGSTOP)
        readers = await start_requests(callers)
        await anyio.sleep(2)
        node.send_signal(signal.SIGCONT)
        return await endings(readers)

    play(tmp_path, scenario)
