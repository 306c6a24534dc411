"""Tests of replicas across changes of the lease holder, with late orders."""

import anyio

from redwingvalve.node import lease as lease_module
from redwingvalve.platform.tests import fleet_harness, test_heads_out_of_reach


def other_holder_takes_lease(fleet, term):
    """Let the store say that another node has held and released the lease."""
    objects = fleet.store.objects[lease_module.LEASE_KIND]
    spec = objects[lease_module.LEASE_NAME]['spec']
    fleet.store.put(
        lease_module.LEASE_KIND,
        lease_module.LEASE_NAME,
        {**spec, 'holder': '', 'term': term},
    )


def test_replica_of_an_earlier_term_is_not_opened_again():
    """A holder between has ordered a member to join another one, late."""

    async def test(fleet):
        await fleet.caller().stream()
        node = fleet.nodes[0]
        head = fleet.head()
        member = fleet.endpoints[head.members[1]]
        early = test_heads_out_of_reach.record_joins(fleet)
        key = (head.group['name'], head.group['epoch'])
        listed = dict(node.registry.live)
        node.lease.may_hold = lambda: False
        await fleet.wait_until(lambda: not node.lease.is_held())
        # The orders of the holder between.
        await node.endpoint_client.close(listed[head.endpoint_id], *key, False)
        member.faults.delayed_operations = ('join',)
        member.faults.order_delay_s = 3
        await node.endpoint_client.join(
            listed[member.endpoint_id],
            'small.2.5',
            200005,
            (member.endpoint_id, 'other'),
        )
        member.faults.delayed_operations = ()
        other_holder_takes_lease(fleet, 2)
        node.lease.may_hold = lambda: True
        await fleet.wait_until(node.lease.is_held)
        await anyio.sleep(3.5)
        assert not early

    fleet_harness.run(test)


def test_members_leave_a_head_that_an_earlier_holder_may_open_late():
    """That it was ready when the new holder closed it is no proof."""

    async def test(fleet):
        for index in (0, 1):
            await fleet.caller(index).stream()
        old = test_heads_out_of_reach.holder(fleet)
        head = fleet.head()
        member = fleet.endpoints[head.members[1]]
        early = test_heads_out_of_reach.record_joins(fleet)
        # An order to open that was never answered.
        head.faults.delayed_operations = ('open',)
        head.faults.order_delay_s = 3.5
        node = fleet.nodes[old]
        await node.endpoint_client.open(
            node.registry.live[head.endpoint_id],
            head.group['name'],
            head.group['epoch'],
        )
        head.faults.delayed_operations = ()
        node.lease.may_hold = lambda: False
        await fleet.wait_until(fleet.nodes[1 - old].lease.is_held)
        head.drain()
        await fleet.wait_until(lambda: head.group['state'] == 'ready')
        await anyio.sleep(0.3)
        head.faults.is_cut_off_from_store = True
        fleet.store.remove('servers', head.endpoint_id)
        await fleet.wait_until(
            lambda: (head.group or {}).get('state') == 'open', 8
        )
        spare = await fleet.add_endpoint(
            'spare', fleet_harness.ENGINE_SERVICE, 'domain-1'
        )
        spare.staged = [fleet_harness.SMALL_MODEL]
        spare.write_entry()
        await fleet.wait_until(lambda: member.members == spare.members, 8)
        assert not early

    fleet_harness.run(test, nodes=2)
