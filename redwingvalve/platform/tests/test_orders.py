"""Tests of how replicas are formed and repaired, and of member ownership."""

import asyncio
import time

import anyio

from redwingvalve.fleet import head_evidence
from redwingvalve.platform import endpoint_orders
from redwingvalve.platform.tests import fleet_harness, test_starts

# Streams until each of two heads has had one.
MAX_STREAMS = 50


def test_only_one_node_gives_orders():
    async def test(fleet):
        assert len(fleet_harness.lease_holders(fleet)) == 1
        joins = [
            order
            for endpoint in fleet.endpoints.values()
            for order in endpoint.orders
            if order['operation'] == 'join'
        ]
        assert len(joins) == 4

    fleet_harness.run(test, nodes=3)


def test_dead_member_is_replaced_by_the_spare():
    """Requests succeed, and the survivor serves with the spare in seconds.

    The second member of a replica crashes, which stalls its head. The head
    must be closed before it joins another replica.
    """

    async def test(fleet):
        spare = await fleet.add_endpoint(
            'spare', fleet_harness.ENGINE_SERVICE, 'domain-1'
        )
        await fleet.wait_until(lambda: bool(spare.group))
        head = fleet.head()
        dead = fleet.endpoints[head.members[1]]
        head.faults.is_stalled = True
        orders_before = len(head.orders)
        dead.crash()
        sent_count = 0
        # A head stalls unnoticed until a request reaches it.
        while sent_count < 3 or not head.runs:
            response = await fleet.caller().stream()
            assert response.events == [1, 2, 3, 4, 5, 6]
            sent_count += 1
            assert sent_count < MAX_STREAMS

        def is_repaired():
            head.faults.is_stalled = head.members[1] == dead.endpoint_id
            return (
                len(fleet.targets()) == 2 and len(head.orders) > orders_before
            )

        await fleet.wait_until(is_repaired)
        for name, members in fleet_harness.open_replica_members(fleet).items():
            assert name == members[0] and dead.endpoint_id not in members
        operations = [order['operation'] for order in head.orders]
        close_index = operations.index('close')
        assert operations[close_index + 1 :].count('join') == 1

    fleet_harness.run(test)


def test_unresponsive_head_is_not_replaced_before_its_entry_expires():
    """No VM may be in two replicas: the head may be open behind a partition.

    The head responds to nobody, but its entry exists: its member must stay in
    the replica until the entry has expired.
    """

    async def test(fleet):
        head = fleet.head()
        member = fleet.endpoints[head.members[1]]
        orders_before = len(member.orders)
        head.faults.is_unresponsive = True
        response = await fleet.caller().stream()
        assert response.ending == 'whole' or response.status == 502
        await anyio.sleep(1.5)
        assert len(member.orders) == orders_before
        fleet.store.remove('servers', head.endpoint_id)
        spare = await fleet.add_endpoint(
            'spare', fleet_harness.ENGINE_SERVICE, 'domain-1'
        )
        await fleet.wait_until(lambda: bool(member.orders[orders_before:]))
        await fleet.wait_until(lambda: bool(spare.orders))

    fleet_harness.run(test)


def test_spare_that_is_still_loading_is_not_assigned_another_model():
    """A spare must keep the model of its domain.

    The spare was ordered to join alone, which takes a while to load the
    weights. Its entry does not show that yet, so that it looked empty and was
    assigned a model again.
    """

    async def test(fleet):
        joined = [
            order['model']
            for endpoint in fleet.endpoints.values()
            for order in endpoint.orders
            if order['operation'] == 'join'
        ]
        # Two replicas of two, and one spare that joins alone, once.
        assert len(joined) == 5

    fleet_harness.run(test, engines=5)


def test_unresponsive_endpoint_is_not_ordered_to_join():
    """A dead member must not delay the survivors of its replica.

    The member is unresponsive, but its entry exists for some more seconds.
    """

    async def test(fleet):
        head = fleet.head()
        dead = fleet.endpoints[head.members[1]]
        orders_before = len(dead.orders)
        dead.faults.is_unresponsive = True
        head.faults.is_stalled = True
        await fleet.caller().stream()
        await anyio.sleep(4)
        assert len(dead.orders) == orders_before

    fleet_harness.run(test)


def test_suspicion_is_not_cleared_by_an_older_healthy_status():
    """An endpoint that stops responding again must be taken out of use again.

    The holder announced that the endpoint is healthy; datagrams that repeat
    this arrive after the new suspicion.
    """

    async def test(fleet):
        table = fleet.nodes[1].table
        target = fleet.targets(1)[0]
        table.suspect(target.endpoint_id, 'silent')
        table.clear_if_older(target.endpoint_id, target.epoch, 0.0)
        assert table.is_suspect(target.endpoint_id)
        now_s = fleet_harness.time.monotonic()
        table.clear_if_older(target.endpoint_id, target.epoch, now_s)
        assert not table.is_suspect(target.endpoint_id)

    fleet_harness.run(test, nodes=2)


def test_head_that_may_still_open_keeps_its_members():
    """No VM may be in two replicas if an order to open is executed late.

    The head does not acknowledge the order to open, its member is ordered into
    another replica, and seconds later the head executes the order.
    """

    async def test(fleet):
        head = fleet.head()
        member = fleet.endpoints[head.members[1]]
        spare = await fleet.add_endpoint(
            'spare', fleet_harness.ENGINE_SERVICE, 'domain-1'
        )
        await fleet.wait_until(lambda: bool(spare.group))
        await fleet.caller().stream()
        # The replica is formed again, and the head delays the order to open.
        head.faults.delayed_operations = ('open',)
        head.crash_and_restart()
        violations = []

        def record_members_in_two_replicas():
            for endpoint in fleet.endpoints.values():
                group = endpoint.group
                if not group or group['state'] != 'open':
                    continue
                for name in endpoint.members:
                    other = fleet.endpoints[name].group
                    if other and other['name'] != group['name']:
                        violations.append((name, other['name'], group['name']))

        deadline_s = fleet_harness.time.monotonic() + 8
        while fleet_harness.time.monotonic() < deadline_s:
            record_members_in_two_replicas()
            assert not violations
            await anyio.sleep(0.02)
        assert member.group

    fleet_harness.run(test)


def test_head_that_opened_behind_a_partition_keeps_its_member():
    """No VM may be in two replicas while a head is cut off from the store.

    The head executes the order to open, but its entry still says ready and
    then expires: only the head itself can report that it serves.
    """

    async def test(fleet):
        await fleet.caller().stream()
        head = await fleet.add_endpoint(
            'e8', fleet_harness.ENGINE_SERVICE, 'domain-2'
        )
        member = await fleet.add_endpoint(
            'e9', fleet_harness.ENGINE_SERVICE, 'domain-2'
        )
        for endpoint in (head, member):
            endpoint.staged = [fleet_harness.SMALL_MODEL]
            endpoint.write_entry()

        write_entry = head.write_entry

        def write_entry_and_cut_off():
            """Cut the head off once it is ready with two members."""
            write_entry()
            state = (head.group or {}).get('state')
            if state == 'ready' and len(head.members) == 2:
                head.faults.is_cut_off_from_store = True

        head.write_entry = write_entry_and_cut_off
        await fleet.wait_until(
            lambda: (head.group or {}).get('state') == 'open'
        )
        assert head.faults.is_cut_off_from_store
        name = head.group['name']
        fleet.store.remove('servers', head.endpoint_id)
        other = await fleet.add_endpoint(
            'e7', fleet_harness.ENGINE_SERVICE, 'domain-2'
        )
        other.staged = [fleet_harness.SMALL_MODEL]
        other.write_entry()
        deadline_s = fleet_harness.time.monotonic() + 4
        while fleet_harness.time.monotonic() < deadline_s:
            if head.group and head.group['state'] == 'open':
                assert member.group['name'] == head.group['name']
            await anyio.sleep(0.02)
        assert member.group['name'] != name

    fleet_harness.run(test)


def test_fleet_starts_immediately_after_the_lease_changed_hands():
    """Callers are served from the start, whichever node forms the replicas.

    The lease is in its second term when the first endpoint is listed. Loads
    take their full time, one after another, only once requests arrive.
    """

    async def test(fleet):
        joins = [
            order['operation']
            for endpoint in fleet.endpoints.values()
            for order in endpoint.orders
        ]
        assert joins.count('join') == 8 and 'stage' not in joins

    fleet_harness.run(
        test, engines=8, lease_term=1, start_timeout_s=test_starts.READY_S
    )


def test_replica_is_not_opened_while_a_later_join_may_reach_a_member():
    """No VM may leave a serving replica because an order is executed late.

    The head was ordered to join another replica and did not respond. Its old
    replica is ready, so that it looked fit to be opened. Seconds later the
    head executes the order to join.
    """

    async def test(fleet):
        await fleet.caller().stream()
        head = fleet.head()
        member = fleet.endpoints[head.members[1]]
        # The next orders to join get no response and are executed late.
        for endpoint in (head, member):
            endpoint.faults.delayed_operations = ('join',)
            endpoint.faults.order_delay_s = 4.5
        (control,) = fleet.nodes[0].control.controllers.values()
        await fleet.nodes[0].endpoint_client.close(
            fleet.nodes[0].registry.live[head.endpoint_id],
            head.group['name'],
            head.group['epoch'],
            False,
        )
        old_name = head.group['name']
        record = control._history.get((old_name, head.group['epoch']))
        record.stopped_by = head_evidence.Evidence.STATED
        await fleet.wait_until(
            lambda: any(
                order['operation'] == 'join' and order['group'] != old_name
                for order in head.orders
            )
        )
        record.stopped_by = None
        deadline_s = fleet_harness.time.monotonic() + 5
        while fleet_harness.time.monotonic() < deadline_s:
            group = head.group
            is_old = group and group['name'] == old_name
            assert not (is_old and group['state'] == 'open')
            await anyio.sleep(0.02)
        assert member.group

    fleet_harness.run(test)


def test_pause_while_members_join_excludes_no_endpoint(monkeypatch):
    """The fleet must be formed a moment later, not five seconds later.

    The lease holder is paused for 0.4 s just after it ordered the members to
    join. Its timeouts expire before it reads the responses; no endpoint may be
    excluded because of that.
    """
    join = endpoint_orders.EndpointClient.join
    joined = []

    async def join_and_pause(self, *order):
        joined.append(order)
        if len(joined) == 2:
            loop = asyncio.get_running_loop()
            loop.call_soon(time.sleep, 0.4)
        return await join(self, *order)

    monkeypatch.setattr(endpoint_orders.EndpointClient, 'join', join_and_pause)

    async def test(fleet):
        assert len(joined) > 4

    began_s = time.monotonic()
    fleet_harness.run(test)
    assert time.monotonic() - began_s < 5
