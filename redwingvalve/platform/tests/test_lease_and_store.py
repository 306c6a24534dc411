"""Tests of lease handover and of operation while the store is unavailable."""

import anyio
import pytest

from redwingvalve.node import controller
from redwingvalve.node import lease as lease_module
from redwingvalve.platform.tests import fleet_harness


def test_lease_is_taken_over_soon_after_its_holder_stops():
    async def test(fleet):
        (holder,) = fleet_harness.lease_holders(fleet)
        holder.lease.is_releasing = True
        # As after a kill: the holder sends no status and does not renew.
        holder.peers.send_status = lambda message, names: None
        timeout_s = lease_module.LEASE_DURATION_S * 2 + 1
        await fleet.wait_until(
            lambda: any(
                node is not holder
                for node in fleet_harness.lease_holders(fleet)
            ),
            timeout_s,
        )
        (new_holder,) = [
            node
            for node in fleet_harness.lease_holders(fleet)
            if node is not holder
        ]
        assert new_holder.lease.term == holder.lease.term + 1

    fleet_harness.run(test, nodes=3)


def test_released_lease_is_taken_over_immediately():
    async def test(fleet):
        (holder,) = fleet_harness.lease_holders(fleet)
        await holder.lease.release()
        holder.status_exchange.broadcast_now()
        await fleet.wait_until(
            lambda: bool(fleet_harness.lease_holders(fleet)), 1
        )

    fleet_harness.run(test, nodes=3)


def test_holder_that_lost_the_store_stops_giving_orders():
    """Two nodes must never give orders at the same time.

    When the store stops responding, the holder must stop at the end of its
    term, which it counts from before its last renewal.
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


def test_renewal_with_a_lost_response_does_not_block_the_lease():
    async def test(fleet):
        fleet.store.faults.drops_write_responses = True
        await anyio.sleep(lease_module.LEASE_DURATION_S + 1)
        fleet.store.faults.drops_write_responses = False
        await fleet.wait_until(
            lambda: len(fleet_harness.lease_holders(fleet)) == 1, 6
        )

    fleet_harness.run(test, nodes=2, engines=0)


def test_requests_are_served_while_the_store_is_unavailable():
    async def test(fleet):
        fleet.store.faults.error_status = 503
        await anyio.sleep(0.5)
        response = await fleet.caller().stream()
        assert response.events == [1, 2, 3, 4, 5, 6]
        fleet.store.faults.error_status = 0

    fleet_harness.run(test)


def test_entries_that_expired_during_an_outage_stay_in_use_briefly():
    """Callers must be served as soon as the store is back.

    During the outage all entries expired and the history was dropped. Live
    endpoints write new entries within two seconds.
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
        response = await fleet.caller().ask('/card/1')
        assert response.status == 200
        await anyio.sleep(2.2)
        assert not fleet.nodes[0].table.find_targets(
            fleet_harness.PLAIN_SERVICE, ''
        )

    fleet_harness.run(test, engines=0)


def test_malformed_entries_of_other_writers_are_ignored():
    async def test(fleet):
        known = len(fleet.nodes[0].registry.live)
        for number, spec in enumerate(
            ({}, {'service': 1}, 'text', None, {'state': 'sleeping'}, [])
        ):
            fleet.store.put('servers', f'malformed-{number}', spec)
        await anyio.sleep(0.2)
        assert len(fleet.nodes[0].registry.live) == known
        assert (await fleet.caller().ask('/card/1')).status == 200

    fleet_harness.run(test, engines=0)


def test_holder_whose_vm_was_suspended_gives_no_more_orders(monkeypatch):
    """Two nodes must never give orders at the same time.

    The holder's VM is suspended for three seconds, in which its monotonic
    clock stops and another node takes the lease. After the resume, a task in
    the middle of giving orders runs first and must find the term expired.
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


def test_new_holder_reads_the_endpoints_before_its_first_order():
    """No VM may be in two replicas after the lease changes hands.

    The previous holder opened a replica just before it lost the lease. The
    new holder has not seen that because its watch is delayed. It must not
    order the members into another replica based on outdated state.
    """

    async def test(fleet):
        (holder,) = fleet_harness.lease_holders(fleet)
        (other,) = [node for node in fleet.nodes if node is not holder]
        reconciled = []

        async def never_respond(kind, revision, wait_s):
            await anyio.sleep(60)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(
                controller.Controller,
                'reconcile',
                lambda self, engine: reconciled.append(self),
            )
            patch.setattr(other.client, 'watch', never_respond)
            await anyio.sleep(3)
            await holder.lease.release()
            holder.status_exchange.broadcast_now()
            await fleet.wait_until(other.lease.is_held, 2)
            await anyio.sleep(0.3)
            assert not set(reconciled) & set(other.control.controllers.values())
            patch.undo()
            patch.setattr(
                controller.Controller,
                'reconcile',
                lambda self, engine: reconciled.append(self),
            )
            other.endpoint_watch.refresh_now()
            await fleet.wait_until(
                lambda: bool(
                    set(reconciled) & set(other.control.controllers.values())
                ),
                1,
            )

    fleet_harness.run(test, nodes=2)
