"""Tests of which members must leave before they join another replica."""

import anyio
import attrs
import pytest

from redwingvalve.fleet import endpoints, head_evidence, history
from redwingvalve.fleet import registry as registry_module
from redwingvalve.ingress import routes
from redwingvalve.node import (
    departures,
    endpoint_prober,
    replica_orders,
    replica_spec,
)
from redwingvalve.node.tests import members
from redwingvalve.platform import endpoint_orders

Evidence = head_evidence.Evidence
OrderResult = endpoint_orders.OrderResult
State = endpoints.MemberState
MODEL = routes.Model('small', 2, 1.0, 1.0, 12.0, 1.1)
ENGINE = routes.Engine(4, (MODEL,), 4.0, 0.1, 40_000.0, 5, 5.0, 7, 30.0)


def make_departures(state=State.OPEN):
    """Return departures, and a member whose head was last seen in a state."""
    head = members.make_member('e1', 1, 0, state)
    member = members.make_member('e2', 1, 1, State.READY)
    records = history.ReplicaHistory()
    replica = endpoints.Replica('small.1.1', 1, (head, member))
    records.update([replica], ENGINE, 0.0)
    ordered = departures.OrderedReplicas()
    made = departures.Departures(
        None,
        None,
        registry_module.Registry(),
        records,
        ordered,
        lambda: True,
    )
    return made, member.membership


@pytest.mark.parametrize(
    ('evidence', 'must_leave'),
    [
        (None, True),
        (Evidence.CLAIMED, True),
        (Evidence.UNREACHED, True),
        (Evidence.TIME_PASSED, True),
        (Evidence.STATED, False),
        (Evidence.LEFT, False),
        (Evidence.REPLACED, False),
    ],
)
def test_only_proof_that_a_head_has_stopped_frees_its_members(
    evidence, must_leave
):
    made, membership = make_departures()
    made.ordered.record_formed(membership.key)
    made.ordered.record_open_order(membership.key)
    made.ordered.record_open_answer(membership.key)
    made.history.get(membership.key).stopped_by = evidence
    assert made.must_leave(membership) is must_leave


def test_members_of_an_unknown_replica_leave_it_first():
    made, membership = make_departures()
    made.history = history.ReplicaHistory()
    assert made.must_leave(membership)
    assert not made.must_leave(None)


def test_members_of_a_replica_that_was_never_told_to_open_are_free():
    made, membership = make_departures(State.READY)
    made.ordered.record_formed(membership.key)
    assert not made.must_leave(membership)
    made.ordered.record_open_order(membership.key)
    assert made.must_leave(membership)


def test_a_head_that_may_open_by_a_late_order_frees_no_members():
    """It has closed, and an order to open it may not have been answered."""
    made, membership = make_departures()
    made.history.get(membership.key).stopped_by = Evidence.STATED
    # By an earlier lease holder.
    assert made.must_leave(membership)
    made.ordered.record_formed(membership.key)
    made.ordered.record_open_order(membership.key)
    assert made.must_leave(membership)
    made.ordered.record_open_answer(membership.key)
    assert not made.must_leave(membership)
    made.ordered.record_open_order(membership.key)
    assert made.must_leave(membership)


def test_a_head_that_is_seen_open_again_is_not_stopped():
    """What once counted as stopped must not free members hours later."""
    made, membership = make_departures()
    record = made.history.get(membership.key)
    record.stopped_by = Evidence.STATED
    made.history.update([record.whole], ENGINE, 1.0)
    assert made.must_leave(membership)


@pytest.mark.parametrize('evidence', [Evidence.LEFT, Evidence.REPLACED])
def test_an_entry_from_before_a_head_left_holds_no_members(evidence):
    """They waited for the head to be asked a second time."""
    made, membership = make_departures()
    made.ordered.record_formed(membership.key)
    made.ordered.record_open_order(membership.key)
    made.ordered.record_open_answer(membership.key)
    record = made.history.get(membership.key)
    record.stopped_by = evidence
    made.history.update([record.whole], ENGINE, 1.0)
    assert not made.must_leave(membership)


def test_a_node_without_the_lease_orders_nobody_to_leave():
    """The lease may end, or the VM be suspended, between two orders."""
    made, _ = make_departures()
    made.may_order = lambda: False
    member = members.make_member('e2', 1, 1, State.READY)
    # Without a client, an order would fail.
    assert anyio.run(made.leave_previous, (member,)) == [member]


def test_a_broken_head_frees_its_members():
    made, membership = make_departures(State.BROKEN)
    made.ordered.record_formed(membership.key)
    made.ordered.record_open_order(membership.key)
    made.ordered.record_open_answer(membership.key)
    assert not made.must_leave(membership)


SPEC = replica_spec.ReplicaSpec(
    'small.1.1',
    1,
    (
        members.make_member('e1', 1, 0, State.READY),
        members.make_member('e2', 1, 1, State.READY),
    ),
    0.2,
)


def make_orders(client):
    """Return orders that have formed a replica, which its entries confirm."""
    registry = registry_module.Registry()
    registry.live = {one.endpoint_id: one for one in SPEC.members}
    orders = replica_orders.ReplicaOrders(
        client,
        endpoint_prober.EndpointProber(client),
        registry,
        lambda: True,
        history.ReplicaHistory(),
    )
    orders.ordered.record_formed(SPEC.key)
    for member in SPEC.members:
        orders._ordered_epochs[member.incarnation] = SPEC.epoch
    return orders


class CancelledClient:
    """Whose answers this process doesn't live to see."""

    async def open(self, head, replica, epoch):
        await anyio.sleep_forever()


def test_an_order_to_open_that_was_broken_off_may_be_executed_late():
    """A task that ended with the lease left a head that could open (TWO)."""
    orders = make_orders(CancelledClient())

    async def main():
        with anyio.move_on_after(0.05):
            await orders._open(SPEC)

    anyio.run(main)
    assert orders.ordered.may_open_late(SPEC.key)


@attrs.define(eq=False)
class LaggingReplica:
    """Reports that nobody has left it; counts the orders to open."""

    opened: int = 0

    async def report(self, endpoint):
        return endpoint_orders.Report(endpoint.born_ms, endpoint.membership, ())

    async def leave(self, endpoint, replica, epoch):
        return OrderResult.UNKNOWN

    async def open(self, head, replica, epoch):
        self.opened += 1
        return OrderResult.REFUSED


@pytest.mark.parametrize('is_leave_ordered', [False, True])
def test_a_replica_that_a_member_may_have_left_is_not_opened(is_leave_ordered):
    """Its entry and its report were of before it left (PARTIAL)."""
    client = LaggingReplica()
    orders = make_orders(client)
    replica = endpoints.Replica(SPEC.name, SPEC.epoch, SPEC.members)

    async def main():
        if is_leave_ordered:
            orders.ordered.record_open_order(SPEC.key)
            await orders._departures.leave_previous(SPEC.members[1:])
        await orders.open_if_ready(replica)

    anyio.run(main)
    assert client.opened == (0 if is_leave_ordered else 1)


@attrs.define(eq=False)
class LaggingMember:
    """Answers orders to leave so; its reports are of before it joined."""

    result: OrderResult

    async def leave(self, endpoint, replica, epoch):
        return self.result

    async def report(self, endpoint):
        return endpoint_orders.Report(endpoint.born_ms, None, ())


@pytest.mark.parametrize(
    ('result', 'has_left'),
    [
        (OrderResult.ACCEPTED, True),
        # It says now that it isn't in that replica.
        (OrderResult.CONFLICT, True),
        (OrderResult.REFUSED, False),
        (OrderResult.OUTDATED, False),
        (OrderResult.OTHER_ENDPOINT, False),
        (OrderResult.UNREACHED, False),
    ],
)
def test_a_report_from_before_a_join_frees_no_member(result, has_left):
    """A member that refused to leave joined elsewhere (TWO)."""
    made, _ = make_departures()
    made.client = LaggingMember(result)
    made.prober = endpoint_prober.EndpointProber(made.client)
    member = members.make_member('e2', 1, 1, State.READY)
    staying = anyio.run(made.leave_previous, (member,))
    assert staying == ([] if has_left else [member])
