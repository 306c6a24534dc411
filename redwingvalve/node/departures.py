"""Lets endpoints leave their replica before they join another one.

Load pattern: a head is cut off from the store and from the nodes, and nothing
tells it from one that has died. Its members are needed elsewhere. A member that
has left by its own word is in no replica any more: if the head is alive, its
work stands still and it breaks, as after the loss of that member. So members
don't wait for proof that the head has stopped, and none joins another replica
without either.
"""

import collections
import typing

import anyio
import attrs

from redwingvalve.core import clock
from redwingvalve.fleet import endpoints, head_evidence, history
from redwingvalve.fleet import registry as registry_module
from redwingvalve.node import endpoint_prober, replica_spec
from redwingvalve.observability import logs
from redwingvalve.platform import endpoint_orders

LOG = logs.make_logger('departures')
# Allows for an order or two without an answer.
LEAVE_PREVIOUS_TIMEOUT_S = 1.2
_RETRY_INTERVAL_S = 0.05

OrderResult = endpoint_orders.OrderResult
Counts: typing.TypeAlias = collections.Counter[replica_spec.ReplicaKey]


@attrs.define(eq=False)
class OrderedReplicas:
    """The replicas that this process has formed, and ordered to open."""

    _formed: set[replica_spec.ReplicaKey] = attrs.field(factory=set)
    _open_ordered: Counts = attrs.field(factory=collections.Counter)
    _open_answered: Counts = attrs.field(factory=collections.Counter)
    _leave_ordered: set[replica_spec.ReplicaKey] = attrs.field(factory=set)

    def record_formed(self, key: replica_spec.ReplicaKey) -> None:
        """Record that the members of a replica are ordered to join it."""
        self._formed.add(key)

    def record_open_order(self, key: replica_spec.ReplicaKey) -> None:
        """Record that a head is ordered to open, before the order is sent."""
        self._open_ordered[key] += 1

    def record_open_answer(self, key: replica_spec.ReplicaKey) -> None:
        """Record that an order to open was answered, or never sent."""
        self._open_answered[key] += 1

    def record_leave_order(self, key: replica_spec.ReplicaKey) -> None:
        """Record that a member is ordered to leave, whatever it answers."""
        self._leave_ordered.add(key)

    def is_leave_ordered(self, key: replica_spec.ReplicaKey) -> bool:
        """Return whether this process has ordered a member to leave."""
        return key in self._leave_ordered

    def may_open_late(self, key: replica_spec.ReplicaKey) -> bool:
        """Return whether a head that has closed may open again by itself.

        Orders that an earlier lease holder sent aren't known here.
        """
        if key not in self._formed:
            return True
        return self._open_ordered[key] > self._open_answered[key]

    def is_open_ordered(self, key: replica_spec.ReplicaKey) -> bool:
        """Return whether this process has ordered the head to open."""
        return key in self._open_ordered

    def can_never_open(self, key: replica_spec.ReplicaKey) -> bool:
        """Return whether no order to open can exist.

        Only the process that formed a replica orders its head to open.
        """
        return key in self._formed and key not in self._open_ordered


@attrs.define(eq=False)
class Departures:
    """Orders members to leave replicas whose heads may still serve."""

    client: endpoint_orders.EndpointClient
    prober: endpoint_prober.EndpointProber
    registry: registry_module.Registry
    history: history.ReplicaHistory
    ordered: OrderedReplicas
    # Orders are sent only while this returns True.
    may_order: typing.Callable[[], bool]

    def must_leave(self, membership: endpoints.Membership | None) -> bool:
        """Return whether an endpoint must leave before it joins elsewhere."""
        if membership is None or self.ordered.can_never_open(membership.key):
            return False
        if self.ordered.may_open_late(membership.key):
            return True
        record = self.history.get(membership.key)
        return record is None or not head_evidence.is_proof(record.stopped_by)

    async def leave_previous(
        self, members: tuple[endpoints.Endpoint, ...]
    ) -> list[endpoints.Endpoint]:
        """Let endpoints leave their replicas; return those that have not."""
        staying: list[endpoints.Endpoint] = []
        async with anyio.create_task_group() as group:
            for member in members:
                group.start_soon(self._leave_previous, member, staying)
        return staying

    async def _leave_previous(
        self, member: endpoints.Endpoint, staying: list[endpoints.Endpoint]
    ) -> None:
        seen = self.registry.live.get(member.endpoint_id, member)
        membership = seen.membership
        if membership is None or not self.must_leave(membership):
            return
        if not await self._leave(member, membership):
            staying.append(member)

    async def _leave(
        self, member: endpoints.Endpoint, membership: endpoints.Membership
    ) -> bool:
        self.ordered.record_leave_order(membership.key)
        deadline_s = clock.boot_s() + LEAVE_PREVIOUS_TIMEOUT_S
        while clock.boot_s() < deadline_s and self.may_order():
            result = await self.client.leave(
                member, membership.replica, membership.epoch
            )
            LOG.info(
                'member leaves',
                extra={
                    'endpoint': member.endpoint_id,
                    'replica': membership.replica,
                    'result': result.value,
                },
            )
            if result is OrderResult.ACCEPTED:
                return True
            if result is OrderResult.CONFLICT:
                # It isn't in that replica, and has to be in no other.
                return await self._has_no_replica(member)
            if result is not OrderResult.UNKNOWN:
                return False
            await anyio.sleep(_RETRY_INTERVAL_S)
        return False

    async def _has_no_replica(self, member: endpoints.Endpoint) -> bool:
        report = await self.prober.ask(member)
        return report is not None and report.membership is None
