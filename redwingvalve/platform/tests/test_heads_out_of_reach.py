"""Tests of replicas whose head is open and out of reach of nodes."""

import anyio
import pytest

from redwingvalve.node.tests import endpoint_cuts
from redwingvalve.platform.tests import fleet_harness

CUTS = [endpoint_cuts.CutMode.HANG, endpoint_cuts.CutMode.RESET]
LISTED = [True, False]


def record_joins(fleet):
    """Return a list of the joins of members of a replica whose head is open."""
    early = []

    def wrap(endpoint):
        join = endpoint._join

        def record(order):
            group = endpoint.group
            head = open_head(fleet, group) if group else None
            if head and group['epoch'] < order['epoch']:
                early.append((endpoint.endpoint_id, head.endpoint_id))
            return join(order)

        endpoint._join = record

    for endpoint in fleet.endpoints.values():
        wrap(endpoint)
    return early


def open_head(fleet, group):
    """Return the head of a replica if it is open or closing."""
    for endpoint in fleet.endpoints.values():
        own = endpoint.group
        if not own or own['rank'] or own['state'] not in {'open', 'closing'}:
            continue
        if (own['name'], own['epoch']) == (group['name'], group['epoch']):
            return endpoint
    return None


def cut_off(fleet, head, mode, *, nodes, is_listed):
    """Cut a head off from the store and from nodes, given by their number."""
    head.faults.is_cut_off_from_store = True
    if not is_listed:
        fleet.store.remove('servers', head.endpoint_id)
    only = frozenset((head.endpoint_id,))
    for index in nodes:
        links = endpoint_cuts.NodeLinks(fleet.nodes[index], fleet.endpoints)
        links.cut(mode, only)


def holder(fleet):
    """Return the number of the node that holds the lease."""
    return [node.lease.is_held() for node in fleet.nodes].index(True)


async def add_spare(fleet):
    spare = await fleet.add_endpoint(
        'spare', fleet_harness.ENGINE_SERVICE, 'domain-1'
    )
    await fleet.wait_until(lambda: bool(spare.group))
    return spare


@pytest.mark.parametrize('nodes', [1, 3])
@pytest.mark.parametrize('mode', CUTS)
def test_members_of_a_head_that_nobody_reaches_leave_before_they_join(
    mode, nodes
):
    """No VM is in two replicas if an open head is cut off from everybody."""

    async def test(fleet):
        await fleet.caller().stream()
        head = fleet.head()
        member = fleet.endpoints[head.members[1]]
        spare = await add_spare(fleet)
        early = record_joins(fleet)
        cut_off(fleet, head, mode, nodes=range(nodes), is_listed=False)
        fleet.nodes[0].table.suspect(head.endpoint_id, 'silent')
        # The member and the spare serve together soon.
        await fleet.wait_until(
            lambda: member.members == spare.members and len(member.members) == 2
        )
        await fleet.wait_until(lambda: len(fleet.targets()) == 2)
        assert head.group['state'] == 'open'
        assert not early

    fleet_harness.run(test, nodes=nodes)


def test_members_that_leave_late_join_no_earlier():
    """An order to leave that isn't acknowledged frees no member."""

    async def test(fleet):
        await fleet.caller().stream()
        head = fleet.head()
        member = fleet.endpoints[head.members[1]]
        spare = await add_spare(fleet)
        early = record_joins(fleet)
        member.faults.delayed_operations = ('leave',)
        cut_off(fleet, head, CUTS[0], nodes=[0], is_listed=False)
        fleet.nodes[0].table.suspect(head.endpoint_id, 'silent')
        await fleet.wait_until(lambda: member.members == spare.members, 8)
        left = [one['operation'] for one in member.orders].index('leave')
        assert left > 0 and head.group['state'] == 'open'
        assert not early

    fleet_harness.run(test)


@pytest.mark.parametrize('is_listed', LISTED)
@pytest.mark.parametrize('mode', CUTS)
def test_members_stay_with_a_head_that_other_nodes_reach(mode, is_listed):
    """A head that only the lease holder doesn't reach keeps its members."""

    async def test(fleet):
        await fleet.caller().stream()
        head = fleet.head()
        member = fleet.endpoints[head.members[1]]
        await add_spare(fleet)
        orders_before = len(member.orders)
        cut_off(fleet, head, mode, nodes=[holder(fleet)], is_listed=is_listed)
        for node in fleet.nodes:
            node.table.suspect(head.endpoint_id, 'silent')
        await anyio.sleep(4)
        assert len(member.orders) == orders_before
        if not is_listed:
            return
        others = {0, 1, 2} - {holder(fleet)}
        for index in others:
            targets = {one.endpoint_id for one in fleet.targets(index)}
            assert head.endpoint_id in targets

    fleet_harness.run(test, nodes=3)


def test_a_replica_serves_on_while_a_member_is_out_of_reach():
    """Its requests would be cut off if the head were closed for that."""

    async def test(fleet):
        await fleet.caller().stream()
        head = fleet.head()
        member = fleet.endpoints[head.members[1]]
        cut_off(fleet, member, CUTS[0], nodes=[0, 1], is_listed=False)
        await anyio.sleep(4)
        assert head.group['state'] == 'open'
        assert all(one['operation'] != 'close' for one in head.orders)
        targets = {one.endpoint_id for one in fleet.targets()}
        assert head.endpoint_id in targets

    fleet_harness.run(test, nodes=2)
