"""How nodes form and mend replicas, and which head keeps its members."""

import asyncio
import time

import anyio

from redwingvalve.platform import endpoint_orders
from redwingvalve.platform.tests import fleet_harness


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


def test_a_dead_member_is_replaced_by_the_spare():
    """Requests go on, and the survivor serves with the spare in seconds.

    The second member of a replica crashes; its head stands still. The head is
    closed before its replica's survivor joins another one.
    """

    async def test(fleet):
        spare = await fleet.add_endpoint(
            'spare', fleet_harness.ENGINE_SERVICE, 'domain-1'
        )
        await fleet.wait_until(lambda: bool(spare.group))
        head = fleet.head()
        dead = fleet.endpoints[head.members[1]]
        head.faults.is_stalled = True
        dead.crash()
        for _ in range(3):
            got = await fleet.caller().stream()
            assert got.events == [1, 2, 3, 4, 5, 6]

        def is_mended():
            head.faults.is_stalled = head.members[1] == dead.endpoint_id
            return len(fleet.targets()) == 2

        await fleet.wait_until(is_mended)
        for name, members in fleet_harness.open_replica_members(fleet).items():
            assert name == members[0] and dead.endpoint_id not in members
        operations = [order['operation'] for order in head.orders]
        closed = operations.index('close')
        assert operations[closed + 1 :].count('join') == 1

    fleet_harness.run(test)


def test_a_dark_head_is_not_replaced_before_its_entry_is_gone():
    """No VM is in two replicas: the head may be open beyond a cut.

    The head answers nobody, but its entry stands: its member stays where it
    is until the entry has lapsed.
    """

    async def test(fleet):
        head = fleet.head()
        member = fleet.endpoints[head.members[1]]
        before = len(member.orders)
        head.faults.is_unresponsive = True
        got = await fleet.caller().stream()
        assert got.ending == 'whole' or got.status == 502
        await anyio.sleep(1.5)
        assert len(member.orders) == before
        fleet.store.remove('servers', head.endpoint_id)
        spare = await fleet.add_endpoint(
            'spare', fleet_harness.ENGINE_SERVICE, 'domain-1'
        )
        await fleet.wait_until(lambda: bool(member.orders[before:]))
        await fleet.wait_until(lambda: bool(spare.orders))

    fleet_harness.run(test)


def test_a_spare_that_still_loads_is_not_dealt_another_model():
    """A spare keeps the model of its domain.

    It was told to join alone, which loads the weights for a while; nothing in
    its entry shows that yet, so that it looked empty and was dealt anew.
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


def test_an_endpoint_that_did_not_answer_is_not_asked_to_join():
    """The survivors of a replica are not held up by its dead member.

    The member is dark and its entry stands for some seconds more.
    """

    async def test(fleet):
        head = fleet.head()
        dead = fleet.endpoints[head.members[1]]
        before = len(dead.orders)
        dead.faults.is_unresponsive = True
        head.faults.is_stalled = True
        await fleet.caller().stream()
        await anyio.sleep(4)
        assert len(dead.orders) == before

    fleet_harness.run(test)


def test_a_suspicion_after_an_all_clear_stands():
    """An endpoint that falls silent again is out of use again.

    The holder said that it is sound; datagrams that repeat this arrive after
    the new suspicion.
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


def test_a_head_that_may_still_be_opened_keeps_its_members():
    """No VM is in two replicas when an order to open is carried out late.

    The head doesn't answer the order to open, then its member is ordered
    elsewhere; seconds later the order is carried out after all.
    """

    async def test(fleet):
        head = fleet.head()
        member = fleet.endpoints[head.members[1]]
        spare = await fleet.add_endpoint(
            'spare', fleet_harness.ENGINE_SERVICE, 'domain-1'
        )
        await fleet.wait_until(lambda: bool(spare.group))
        await fleet.caller().stream()
        # The replica is formed anew, and the head keeps the next order back.
        head.faults.delayed_operations = ('open',)
        head.crash_and_restart()
        joined = []

        def is_in_two():
            for endpoint in fleet.endpoints.values():
                group = endpoint.group
                if not group or group['state'] != 'open':
                    continue
                for name in endpoint.members:
                    other = fleet.endpoints[name].group
                    if other and other['name'] != group['name']:
                        joined.append((name, other['name'], group['name']))

        limit_s = fleet_harness.time.monotonic() + 8
        while fleet_harness.time.monotonic() < limit_s:
            is_in_two()
            assert not joined
            await anyio.sleep(0.02)
        assert member.group

    fleet_harness.run(test)


def test_a_head_that_opened_beyond_a_cut_keeps_its_member():
    """No VM is in two replicas while a head is cut off from the store.

    The head takes the order to open, but its entry still says ready and then
    lapses: only the head itself can tell that it serves.
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

        def write_and_be_cut_off():
            """Be cut off by the write that says ready, for both members."""
            write_entry()
            state = (head.group or {}).get('state')
            if state == 'ready' and len(head.members) == 2:
                head.faults.is_cut_off_from_store = True

        head.write_entry = write_and_be_cut_off
        await fleet.wait_until(
            lambda: (head.group or {}).get('state') == 'open'
        )
        assert head.faults.is_cut_off_from_store
        fleet.store.remove('servers', head.endpoint_id)
        other = await fleet.add_endpoint(
            'e7', fleet_harness.ENGINE_SERVICE, 'domain-2'
        )
        other.staged = [fleet_harness.SMALL_MODEL]
        other.write_entry()
        limit_s = fleet_harness.time.monotonic() + 4
        while fleet_harness.time.monotonic() < limit_s:
            if head.group and head.group['state'] == 'open':
                assert member.group['name'] == head.group['name']
            await anyio.sleep(0.02)
        assert member.group['name'] != head.group['name']

    fleet_harness.run(test)


def test_a_fleet_starts_at_once_though_the_lease_passes_on():
    """Callers are served from the start, whoever forms the replicas.

    The lease is in its second term when the first endpoint is listed; loads
    take their full time, one by one, only once requests come.
    """

    async def test(fleet):
        joins = [
            order['operation']
            for endpoint in fleet.endpoints.values()
            for order in endpoint.orders
        ]
        assert joins.count('join') == 8 and 'stage' not in joins

    fleet_harness.run(test, engines=8, lease_term=1)


def test_a_replica_is_not_opened_while_a_later_join_may_reach_a_member():
    """No VM leaves a replica that serves when an order comes late.

    The head was told to join another replica and didn't answer; its old one
    is ready, so that it looked fit to be opened. Seconds later it joins.
    """

    async def test(fleet):
        await fleet.caller().stream()
        head = fleet.head()
        member = fleet.endpoints[head.members[1]]
        # The next joins stay unanswered and are carried out late.
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
        old = head.group['name']
        past = control._history.get((old, head.group['epoch']))
        past.is_head_stopped = True
        await fleet.wait_until(
            lambda: any(
                order['operation'] == 'join' and order['group'] != old
                for order in head.orders
            )
        )
        past.is_head_stopped = False
        limit_s = fleet_harness.time.monotonic() + 5
        while fleet_harness.time.monotonic() < limit_s:
            group = head.group
            is_old = group and group['name'] == old
            assert not (is_old and group['state'] == 'open')
            await anyio.sleep(0.02)
        assert member.group

    fleet_harness.run(test)


def test_a_pause_while_members_join_leaves_no_endpoint_out(monkeypatch):
    """A fleet is formed a moment later, not five seconds later.

    The holder of the lease stands still for 0.4 s just after it has told the
    members to join. Its timeouts have passed when it goes on, before it reads
    the answers; no endpoint is lost.
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
