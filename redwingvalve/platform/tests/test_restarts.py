"""Endpoints that restart under their id are used like new ones."""

import anyio

from redwingvalve.platform.tests import fleet_harness

# A restart is in the store at once; a watch may lag by this.
KNOWN_S = 2.0


def plain_ids(node):
    found = node.table.find_targets(fleet_harness.PLAIN_SERVICE, '')
    return {target.endpoint_id for target in found}


def test_all_nodes_use_an_endpoint_that_has_restarted():
    """Findings about its previous process must not hold at any node.

    Nodes repeat suspicions and leaving marks to each other for a while after
    the restart.
    """

    async def test(fleet):
        first = fleet.nodes[0]
        await fleet.wait_until(
            lambda: all(len(node.peers.alive()) == 2 for node in fleet.nodes)
        )
        for node in fleet.nodes:
            node.table.mark_leaving('p0')
        first.table.suspect('p0', 'refused')
        limits = first.allocation.allocator.limits
        first.allocation.reserver._held_slots.rests.start('p0', 60.0)
        await fleet.wait_until(
            lambda: all(plain_ids(node) == {'p1'} for node in fleet.nodes)
        )
        fleet.endpoints['p0'].crash_and_restart()
        await fleet.wait_until(
            lambda: all('p0' in plain_ids(node) for node in fleet.nodes),
            KNOWN_S,
        )
        for _ in range(50):
            await anyio.sleep(0.02)
            assert all('p0' in plain_ids(node) for node in fleet.nodes)
        assert not limits.limited()
        assert not first.allocation.reserver._held_slots.rests.resting()

    fleet_harness.run(test, nodes=3, engines=0)


def test_a_restart_ends_what_owners_hold_for_the_previous_process():
    """Slots of requests that ended with it would stay held for 2 s."""

    async def test(fleet):
        pools = [node.allocation.allocator._pools for node in fleet.nodes]

        def held():
            return sum(
                pool.holds.count('p0')
                for by_key in pools
                for pool in by_key.values()
            )

        fleet.endpoints['p0'].faults.is_unresponsive = True
        fleet.endpoints['p1'].faults.is_unresponsive = True
        async with anyio.create_task_group() as group:
            for index in range(8):
                caller = fleet.caller(index % 2)
                group.start_soon(caller.start_request, '/quote/1')
        await fleet.wait_until(held)
        fleet.endpoints['p0']._forget_state()
        fleet.endpoints['p0'].write_entry()
        await fleet.wait_until(lambda: not held(), 0.5)

    fleet_harness.run(test, nodes=2, engines=0)
