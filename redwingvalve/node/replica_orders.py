"""Forms, checks and closes replicas, one task for each.

Two rules hold even when orders or responses are lost: a member joins another
replica only once it has left its previous one, or that one's head is known not
to serve; and a head is opened only when every member has reported that it is
ready under this name and epoch. Epochs increase with each replica that is
formed and with each lease holder, so that an order that is executed late is
refused by endpoints that have joined another replica since.
"""

import enum
import typing

import anyio
import attrs

from redwingvalve.core import clock
from redwingvalve.fleet import endpoints, head_evidence, history
from redwingvalve.fleet import registry as registry_module
from redwingvalve.node import (
    departures,
    endpoint_prober,
    head_stops,
    replica_spec,
)
from redwingvalve.observability import logs, node_metrics
from redwingvalve.platform import endpoint_orders

LOG = logs.make_logger('replicas')
# Time that a join may take beyond the load: propagation of entries, and
# endpoints that are busy.
JOIN_TIMEOUT_MARGIN_S = 2.0
OPEN_TIMEOUT_S = 2.0
OPEN_RETRY_INTERVAL_S = 0.05
# Range of epochs of one lease holder; the next holder's range follows it.
EPOCHS_PER_TERM = 100_000

OrderResult = endpoint_orders.OrderResult
Evidence = head_evidence.Evidence


class CheckResult(enum.Enum):
    """What a check of a replica has shown."""

    HEALTHY = 'healthy'
    # A member is lost; the head no longer serves.
    STOPPED = 'stopped'
    # This node reaches no endpoint, or no longer holds the lease.
    UNKNOWN = 'unknown'


@attrs.frozen
class Check:
    """Result of a check, and the evidence if the head has stopped."""

    result: CheckResult
    evidence: Evidence | None = None


class ReplicaOrders:
    """Sends the orders that form, open, check and close replicas."""

    def __init__(
        self,
        client: endpoint_orders.EndpointClient,
        prober: endpoint_prober.EndpointProber,
        registry: registry_module.Registry,
        may_order: typing.Callable[[], bool],
        records: history.ReplicaHistory,
    ) -> None:
        """Send orders only while may_order returns True."""
        self.unresponsive_since_s: dict[tuple[str, int], float] = {}
        self.ordered = departures.OrderedReplicas()
        # The latest epoch that each endpoint was ordered to join, whether it
        # obeyed or not.
        self._ordered_epochs: dict[tuple[str, int], int] = {}
        self._client = client
        self._prober = prober
        self._registry = registry
        self._may_order = may_order
        self.head_stops = head_stops.HeadStops(
            client, prober, registry, may_order
        )
        self._departures = departures.Departures(
            client, prober, registry, records, self.ordered, may_order
        )

    async def form(
        self, spec: replica_spec.ReplicaSpec, opens: bool = True
    ) -> bool:
        """Let all members join and open the head; return whether it serves."""
        started_s = clock.boot_s()
        if not await self._are_free(spec.members):
            self._record_outcome(spec, 'member not free', started_s)
            return False
        self.ordered.record_formed(spec.key)
        results: dict[str, OrderResult] = {}
        async with anyio.create_task_group() as group:
            for member in spec.members:
                group.start_soon(self._join, spec, member, results)
        if not all(map(_may_have_joined, results.values())):
            self._record_outcome(spec, 'join refused', started_s)
            return False
        deadline_s = (
            clock.boot_s() + spec.expected_join_s + JOIN_TIMEOUT_MARGIN_S
        )
        if not await self._wait_until(
            lambda: self._is_ready(spec), spec.members, deadline_s
        ):
            self._record_outcome(spec, 'not ready in time', started_s)
            return False
        if not opens:
            return True
        is_open = await self._open(spec)
        outcome = 'replica open' if is_open else 'not opened'
        self._record_outcome(spec, outcome, started_s)
        return is_open

    async def open_if_ready(self, replica: endpoints.Replica) -> bool:
        """Open a replica that this holder formed; return whether it serves."""
        if replica.is_leaving or replica_spec.may_join_elsewhere(
            replica, self._ordered_epochs
        ):
            return False
        if self.ordered.is_leave_ordered(replica.key):
            # Entries and reports may be of before the order to leave.
            return False
        if not await self._prober.are_healthy(replica.members):
            return False
        spec = replica_spec.ReplicaSpec(
            replica.name, replica.epoch, replica.members, 0
        )
        return await self._open(spec)

    async def check_replica(
        self, members: tuple[endpoints.Endpoint, ...], *, is_suspect: bool
    ) -> Check:
        """Check whether all members of a replica are healthy; else close it.

        Members that are silent get some time, unless another one is lost. If
        the head isn't suspect, silent members don't count as lost: they may be
        cut off from all but their head, and requests show if they aren't.
        """
        reports = await self._prober.ask_all(members)
        if None in reports.values() and not await self._prober.confirm_reach():
            return Check(CheckResult.UNKNOWN)
        if _is_any_silent(members, reports):
            await self._prober.ask_all_silent(reports, members)
        head = members[0]
        healthy = [
            one for one in members if endpoint_prober.is_healthy(one, reports)
        ]
        if len(healthy) == len(members):
            return Check(CheckResult.HEALTHY)
        may_serve = head in healthy and _is_any_silent(members, reports)
        if may_serve and not is_suspect:
            return Check(CheckResult.UNKNOWN)
        for member in members:
            if reports[member.endpoint_id] is None:
                self.unresponsive_since_s[member.incarnation] = clock.boot_s()
        node_metrics.METRICS.count('redwingvalve_broken_replicas')
        LOG.warning(
            'replica broken',
            extra={
                'replica': replica_spec.name_of(head),
                'lost': [
                    one.endpoint_id for one in members if one not in healthy
                ],
            },
        )
        evidence = await self.head_stops.stop_head(
            head, reports[head.endpoint_id]
        )
        if evidence is None or not self._may_order():
            return Check(CheckResult.UNKNOWN)
        return Check(CheckResult.STOPPED, evidence)

    async def _are_free(self, members: tuple[endpoints.Endpoint, ...]) -> bool:
        staying = await self._departures.leave_previous(members)
        for member in staying:
            self.unresponsive_since_s[member.incarnation] = clock.boot_s()
        return not staying and self._may_order()

    async def _join(
        self,
        spec: replica_spec.ReplicaSpec,
        member: endpoints.Endpoint,
        results: dict[str, OrderResult],
    ) -> None:
        result = OrderResult.UNREACHED
        self._ordered_epochs[member.incarnation] = spec.epoch
        if self._may_order():
            result = await self._client.join(
                member, spec.name, spec.epoch, spec.member_ids
            )
        results[member.endpoint_id] = result
        if result in {OrderResult.UNREACHED, OrderResult.UNKNOWN}:
            await self._mark_if_unresponsive(member)

    async def _mark_if_unresponsive(self, member: endpoints.Endpoint) -> None:
        """Mark an endpoint as unresponsive if it doesn't answer a probe now.

        A pause of this process lets timeouts pass before responses are read.
        Without the probe, a pause of 0.3 s would exclude all endpoints that
        orders had just been sent to from replicas for seconds.
        """
        if await self._prober.ask(member) is None:
            self.unresponsive_since_s[member.incarnation] = clock.boot_s()

    async def _open(self, spec: replica_spec.ReplicaSpec) -> bool:
        head = spec.members[0]
        deadline_s = clock.boot_s() + OPEN_TIMEOUT_S
        while clock.boot_s() < deadline_s and self._may_order():
            if not self._is_ready(spec):
                return False
            self.ordered.record_open_order(spec.key)
            result = await self._client.open(head, spec.name, spec.epoch)
            if result is not OrderResult.UNKNOWN:
                self.ordered.record_open_answer(spec.key)
            if result in {OrderResult.ACCEPTED, OrderResult.UNKNOWN}:
                # The head takes some time to open; until then it reports ready.
                return await self._wait_until_serving(spec, deadline_s)
            if result is not OrderResult.CONFLICT:
                return False
            await anyio.sleep(OPEN_RETRY_INTERVAL_S)
        return False

    async def _wait_until_serving(
        self, spec: replica_spec.ReplicaSpec, deadline_s: float
    ) -> bool:
        head = spec.members[0]
        return await self._wait_until(
            lambda: self._is_serving(head, spec.key), (head,), deadline_s
        )

    async def _wait_until(
        self,
        is_done: typing.Callable[[], bool],
        awaited: tuple[endpoints.Endpoint, ...],
        deadline_s: float,
    ) -> bool:
        """Wait while all awaited endpoints may still do their part."""
        while clock.boot_s() < deadline_s and self._may_order():
            if is_done():
                return True
            if any(
                self._registry.is_leaving(one.endpoint_id) for one in awaited
            ):
                return False
            await anyio.sleep(head_stops.POLL_INTERVAL_S)
        return is_done()

    def _is_ready(self, spec: replica_spec.ReplicaSpec) -> bool:
        for member in spec.members:
            seen = self._registry.live.get(member.endpoint_id)
            if seen is None or seen.born_ms != member.born_ms:
                return False
            if seen.draining or not replica_spec.is_member(seen, spec.key):
                return False
            if seen.membership.state is not endpoints.MemberState.READY:
                return False
        return True

    def _is_serving(
        self, head: endpoints.Endpoint, key: replica_spec.ReplicaKey
    ) -> bool:
        seen = self._registry.live.get(head.endpoint_id)
        if seen is None or not replica_spec.is_member(seen, key):
            return False
        return seen.membership.state not in replica_spec.NOT_SERVING

    def _record_outcome(
        self, spec: replica_spec.ReplicaSpec, outcome: str, started_s: float
    ) -> None:
        took_s = clock.boot_s() - started_s
        node_metrics.METRICS.count('redwingvalve_formings', outcome=outcome)
        node_metrics.METRICS.observe(
            'redwingvalve_forming_seconds', took_s, outcome=outcome
        )
        LOG.info(
            outcome,
            extra={
                'replica': spec.name,
                'epoch': spec.epoch,
                'members': spec.member_ids,
                'took_ms': int(took_s * 1000),
            },
        )


def _may_have_joined(result: OrderResult) -> bool:
    return result in {OrderResult.ACCEPTED, OrderResult.UNKNOWN}


def _is_any_silent(
    members: tuple[endpoints.Endpoint, ...], reports: endpoint_prober.Reports
) -> bool:
    """Return whether members are silent and all others are healthy."""
    silent = [one for one in members if reports[one.endpoint_id] is None]
    return bool(silent) and all(
        one in silent or endpoint_prober.is_healthy(one, reports)
        for one in members
    )
