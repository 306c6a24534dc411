"""How the lease is handed on, and what holds while the store is away."""

import anyio
import pytest

from redwingvalve.node import controller
from redwingvalve.node import lease as lease_module
from redwingvalve.platform.tests import fleet_harness


def test_the_lease_passes_on_soon_after_its_holder_stops():
    async def test(fleet):
        (holder,) = fleet_harness.lease_holders(fleet)
        holder.lease.is_releasing = True
        # As after a kill: it says and renews nothing more.
        holder.peers.send_status = lambda word, names: None
        limit_s = lease_module.LEASE_DURATION_S * 2 + 1
        await fleet.wait_until(
            lambda: any(
                node is not holder
                for node in fleet_harness.lease_holders(fleet)
            ),
            limit_s,
        )
        (new,) = [
            node
            for node in fleet_harness.lease_holders(fleet)
            if node is not holder
        ]
        assert new.lease.term == holder.lease.term + 1

    fleet_harness.run(test, nodes=3)


def test_a_released_lease_is_taken_at_once():
    async def test(fleet):
        (holder,) = fleet_harness.lease_holders(fleet)
        await holder.lease.release()
        holder.status_exchange.broadcast_now()
        await fleet.wait_until(
            lambda: bool(fleet_harness.lease_holders(fleet)), 1
        )

    fleet_harness.run(test, nodes=3)


def test_a_holder_that_lost_the_store_stops_ordering():
    """Two nodes never give orders at the same time.

    The store falls silent; the holder counts its term from before its last
    renewal and stops when it is over.
    """

    async def test(fleet):
        fleet.store.faults.is_unresponsive = True
        await fleet.wait_until(
            lambda: not fleet_harness.lease_holders(fleet),
            lease_module.LEASE_DURATION_S + 1,
        )
        fleet.store.faults.is_unresponsive = False
        await fleet.wait_until(
            lambda: len(fleet_harness.lease_holders(fleet)) == 1, 6
        )

    fleet_harness.run(test, nodes=2)


def test_a_renewal_whose_answer_is_lost_does_not_lock_the_fleet_out():
    async def test(fleet):
        fleet.store.faults.drops_write_responses = True
        await anyio.sleep(lease_module.LEASE_DURATION_S + 1)
        fleet.store.faults.drops_write_responses = False
        await fleet.wait_until(
            lambda: len(fleet_harness.lease_holders(fleet)) == 1, 6
        )

    fleet_harness.run(test, nodes=2, engines=0)


def test_requests_are_served_while_the_store_is_away():
    async def test(fleet):
        fleet.store.faults.error_status = 503
        await anyio.sleep(0.5)
        got = await fleet.caller().stream()
        assert got.events == [1, 2, 3, 4, 5, 6]
        fleet.store.faults.error_status = 0

    fleet_harness.run(test)


def test_entries_that_lapsed_with_the_store_stay_in_use_for_a_moment():
    """Callers are served right after the store is back.

    While it was away all entries lapsed and its history went; living
    endpoints write theirs anew within two seconds.
    """

    async def test(fleet):
        fleet.store.faults.error_status = 503
        await anyio.sleep(0.5)
        for name in list(fleet.endpoints):
            fleet.store.objects['servers'].pop(name)
        fleet.store.revision += 10
        fleet.store.drop_history()
        fleet.store.faults.error_status = 0
        await anyio.sleep(0.8)
        got = await fleet.caller().ask('/card/1')
        assert got.status == 200
        await anyio.sleep(2.2)
        assert not fleet.nodes[0].table.find_targets(
            fleet_harness.PLAIN_SERVICE, ''
        )

    fleet_harness.run(test, engines=0)


def test_entries_of_another_writer_name_no_endpoint():
    async def test(fleet):
        known = len(fleet.nodes[0].registry.live)
        for number, spec in enumerate(
            ({}, {'service': 1}, 'text', None, {'state': 'sleeping'}, [])
        ):
            fleet.store.put('servers', f'odd-{number}', spec)
        await anyio.sleep(0.2)
        assert len(fleet.nodes[0].registry.live) == known
        assert (await fleet.caller().ask('/card/1')).status == 200

    fleet_harness.run(test, engines=0)


def test_a_holder_that_was_suspended_gives_no_more_orders(monkeypatch):
    """Two nodes never give orders: the sleeper finds its term over.

    Its VM is suspended for three seconds, in which its steady clock stands
    still; another node takes the lease. The first thing that runs when it
    wakes is a task in the middle of its orders.
    """

    async def test(fleet):
        (node,) = fleet.nodes
        (control,) = node.control.controllers.values()
        assert node.lease.is_held()
        boot_s = lease_module.clock.boot_s
        monkeypatch.setattr(
            lease_module.clock, 'boot_s', lambda: boot_s() + 3.0
        )
        assert not control._orders._may_order()
        monkeypatch.undo()

    fleet_harness.run(test)


def test_a_new_holder_reads_the_endpoints_before_its_first_order():
    """No VM is in two replicas after the lease has changed hands.

    The last holder opened a replica just before it lost the lease. The next
    one has not heard of that: its watch is held up. It must not let the
    members join elsewhere by what it knew before.
    """

    async def test(fleet):
        (holder,) = fleet_harness.lease_holders(fleet)
        (other,) = [node for node in fleet.nodes if node is not holder]
        looked = []

        async def hang(kind, revision, wait_s):
            await anyio.sleep(60)

        with pytest.MonkeyPatch.context() as patched:
            patched.setattr(
                controller.Controller,
                'reconcile',
                lambda made, engine: looked.append(made),
            )
            patched.setattr(other.client, 'watch', hang)
            await anyio.sleep(3)
            await holder.lease.release()
            holder.status_exchange.broadcast_now()
            await fleet.wait_until(other.lease.is_held, 2)
            await anyio.sleep(0.3)
            assert not set(looked) & set(other.control.controllers.values())
            patched.undo()
            patched.setattr(
                controller.Controller,
                'reconcile',
                lambda made, engine: looked.append(made),
            )
            other.endpoint_watch.refresh_now()
            await fleet.wait_until(
                lambda: bool(
                    set(looked) & set(other.control.controllers.values())
                ),
                1,
            )

    fleet_harness.run(test, nodes=2)
