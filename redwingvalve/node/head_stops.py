"""Stops heads, and tells by what evidence they have stopped.

An absence that one node sees, of an answer or of an entry, says little about a
head: it may be cut off from that node and from the store, and serve others. So
a report that another node gets counts like one that this node gets.

A report that a head doesn't serve may be of before it opened. Such a head is
ordered to leave its replica, and its answer counts; see head_statements.
"""

import time
import types
import typing

import anyio
import attrs

from redwingvalve.core import clock
from redwingvalve.fleet import closing_marks, endpoints, head_evidence
from redwingvalve.fleet import registry as registry_module
from redwingvalve.node import (
    endpoint_prober,
    head_statements,
    replica_spec,
)
from redwingvalve.observability import logs
from redwingvalve.platform import endpoint_orders

LOG = logs.make_logger('replicas')
# Entries arrive through the watch, a few milliseconds after a change.
POLL_INTERVAL_S = 0.02
# An endpoint that is leaving is announced as such for two seconds and then
# takes up to ten seconds to finish its requests.
LEAVE_TIMEOUT_S = 13.0
# Between two probes of a head that has no entry; each probe has a cost.
PROBE_INTERVAL_S = 0.3
# A head that leaves without notice goes on serving for two seconds after its
# entry is gone: if it doesn't answer within the first, it has died.
MISSING_HEAD_PROBE_WINDOW_S = 1.0

OrderResult = endpoint_orders.OrderResult
Evidence = head_evidence.Evidence
# What the answer to an order to leave shows. A conflict may have other reasons
# than that the head is in no such replica.
_EVIDENCE_BY_RESULT: typing.Final = types.MappingProxyType(
    {
        OrderResult.ACCEPTED: Evidence.LEFT,
        OrderResult.OTHER_ENDPOINT: Evidence.REPLACED,
        OrderResult.CONFLICT: Evidence.CLAIMED,
    }
)


@attrs.define(eq=False)
class HeadStops:
    """Closes heads, or waits until they have closed by themselves."""

    _client: endpoint_orders.EndpointClient
    _prober: endpoint_prober.EndpointProber
    _registry: registry_module.Registry
    # Orders are sent only while this returns True.
    _may_order: typing.Callable[[], bool]
    # How old reports are said to be. It decides when a head is asked to leave,
    # never whether it has.
    report_lag_s: float = 0.0
    # When replicas were last told to finish their requests, monotonic.
    _drained_s: dict[replica_spec.ReplicaKey, float] = attrs.field(factory=dict)

    async def make_head_leave(
        self, head: endpoints.Endpoint
    ) -> Evidence | None:
        """Order a head to leave its replica, so that no late order can open it.

        Returns the evidence that it has left, None if it may still serve.
        """
        membership = head.membership
        assert membership is not None
        # What was reported before may be older than what is known of the head.
        since_s = time.monotonic()
        report = await self._prober.ask_with_others(head, since_s)
        if report is not None and replica_spec.still_serves(
            head, report.membership
        ):
            # It has opened, and its entry will say so.
            return None
        return await self._order_to_leave(head, since_s)

    async def stop_head(
        self, head: endpoints.Endpoint, report: endpoint_orders.Report | None
    ) -> Evidence | None:
        """Close a head; return why it no longer serves its replica.

        None if this node may not order it any more.
        """
        since_s = time.monotonic()
        if report is None:
            report = await self._prober.ask_others(head, since_s)
        deadline_s = clock.boot_s() + LEAVE_TIMEOUT_S
        while clock.boot_s() < deadline_s and self._may_order():
            if head_statements.proves_stop(head, report):
                return Evidence.STATED
            if report is None and self._is_dead(head):
                return Evidence.UNREACHED
            evidence = await self._order_to_stop(head, report)
            if evidence is not None:
                return evidence
            await anyio.sleep(POLL_INTERVAL_S)
            # A head that is listed counts as alive without the others' word.
            if self._is_missing(head):
                report = await self._prober.ask_with_others(head, since_s)
            else:
                report = await self._prober.ask(head)
        return self._evidence_of_time()

    async def drain(
        self, head: endpoints.Endpoint, started_s: float
    ) -> Evidence | None:
        """Let a replica finish its requests; return why it no longer serves.

        A head that is leaving stops listening before its last requests end, so
        that only its entry or its answer to an order to leave shows that it has
        finished. It is ordered to leave once it says that it has; its entry, if
        it has one, is waited for instead.
        """
        LOG.info(
            'replica closes', extra={'replica': replica_spec.name_of(head)}
        )
        await self._order_to_finish(head)
        deadline_s = started_s + LEAVE_TIMEOUT_S
        while clock.boot_s() < deadline_s and self._may_order():
            seen = self._registry.live.get(head.endpoint_id)
            if seen is not None and head_statements.was_seen_serving(head):
                if not replica_spec.still_serves(head, seen.membership):
                    return Evidence.STATED
                await anyio.sleep(POLL_INTERVAL_S)
                continue
            evidence = await self._evidence_of_finish(head)
            if evidence is not None:
                return evidence
            await anyio.sleep(PROBE_INTERVAL_S)
        return self._evidence_of_time()

    async def stop_missing_head(
        self,
        head: endpoints.Endpoint,
        missing_since_s: float,
        *,
        has_served: bool = True,
    ) -> Evidence | None:
        """Stop a head whose entry is gone; return why it no longer serves.

        A head that is probed just after its entry went away and answers no node
        has died. One that answers is leaving, or is cut off from the store. One
        whose entry never said that it serves has no requests to finish.
        """
        if self._registry.has_begun_to_leave(head, LEAVE_TIMEOUT_S):
            # It may have stopped listening, while its last requests go on.
            return await self.drain(head, missing_since_s)
        probed_s = clock.boot_s()
        since_s = time.monotonic()
        report = await self._prober.ask_until_certain(
            head, missing_since_s + LEAVE_TIMEOUT_S
        )
        if head_statements.proves_stop(head, report):
            return Evidence.STATED
        if not has_served and head_statements.claims_stop(head, report):
            return await self._order_to_leave(head, since_s)
        is_probed_in_time = (
            probed_s - missing_since_s < MISSING_HEAD_PROBE_WINDOW_S
        )
        is_dead = report is None and is_probed_in_time
        if is_dead and await self._prober.confirm_reach():
            return Evidence.UNREACHED
        return await self.drain(head, missing_since_s)

    async def _order_to_leave(
        self, head: endpoints.Endpoint, since_s: float
    ) -> Evidence | None:
        """Order a head to leave its replica until something shows that it has.

        since_s: other nodes' reports have to be asked for after this time, by
        the monotonic clock.
        """
        deadline_s = clock.boot_s() + LEAVE_TIMEOUT_S
        while clock.boot_s() < deadline_s and self._may_order():
            evidence = await self._leave(head)
            if evidence is None and self._is_missing(head):
                evidence = await self._evidence_of_others(head, since_s)
            if evidence is not None:
                return evidence
            await anyio.sleep(PROBE_INTERVAL_S)
        return self._evidence_of_time()

    async def _leave(self, head: endpoints.Endpoint) -> Evidence | None:
        """Order a head to leave once; return what its answer shows."""
        membership = head.membership
        assert membership is not None
        if not self._may_order():
            return None
        result = await self._client.leave(
            head, membership.replica, membership.epoch
        )
        LOG.info(
            'head told to leave',
            extra={'replica': membership.replica, 'result': result.value},
        )
        return _EVIDENCE_BY_RESULT.get(result)

    async def _order_to_finish(self, head: endpoints.Endpoint) -> None:
        """Order a head to stop serving once its requests have ended."""
        membership = head.membership
        assert membership is not None
        # The order may be carried out although this task is cancelled.
        self._drained_s[membership.key] = time.monotonic()
        await self._client.close(
            head, membership.replica, membership.epoch, True
        )
        self._drained_s[membership.key] = time.monotonic()

    async def _evidence_of_finish(
        self, head: endpoints.Endpoint
    ) -> Evidence | None:
        """Ask a head that was told to finish whether it has."""
        membership = head.membership
        assert membership is not None
        # Earlier reports are of before the order.
        newer_s = self._drained_s[membership.key] + self.report_lag_s
        await anyio.sleep(max(0, newer_s - time.monotonic()))
        report = await self._prober.ask(head)
        if head_statements.proves_stop(head, report):
            return Evidence.STATED
        if head_statements.claims_stop(head, report):
            return await self._leave_after_claim(head)
        if _is_open(head, report):
            # It opened, or gets requests, in spite of the first order.
            await self._order_to_finish(head)
        return None

    async def _leave_after_claim(
        self, head: endpoints.Endpoint
    ) -> Evidence | None:
        """Order a head to leave that says that it doesn't serve."""
        evidence = await self._leave(head)
        if evidence is None and self._may_order():
            return Evidence.CLAIMED
        return evidence

    async def _evidence_of_others(
        self, head: endpoints.Endpoint, since_s: float
    ) -> Evidence | None:
        """Return what other nodes' probes show of a head that must leave."""
        report = await self._prober.ask_others(head, since_s)
        if report is None:
            return Evidence.UNREACHED
        if head_statements.proves_stop(head, report):
            return Evidence.STATED
        has_claimed = head_statements.claims_stop(head, report)
        return Evidence.CLAIMED if has_claimed else None

    async def _order_to_stop(
        self, head: endpoints.Endpoint, report: endpoint_orders.Report | None
    ) -> Evidence | None:
        """Order a head that answers to stop; return what its answer shows.

        It is closed first, so that its requests end at once. A head that is
        closing would be ready like one that has finished, and only leaves.
        """
        membership = head.membership
        if report is None or membership is None:
            return None
        if head_statements.claims_stop(head, report):
            return await self._leave_after_claim(head)
        if not self._may_be_closing(head, report):
            await self._client.close(
                head, membership.replica, membership.epoch, False
            )
        evidence = await self._leave(head)
        if evidence is None:
            await anyio.sleep(PROBE_INTERVAL_S)
        return evidence

    def _may_be_closing(
        self, head: endpoints.Endpoint, report: endpoint_orders.Report
    ) -> bool:
        membership = head.membership
        assert membership is not None
        if membership.key in self._drained_s:
            return True
        marks = self._registry.closing
        past = marks.past_of(head.incarnation, membership.key)
        return past is closing_marks.Past.CLOSING or (
            report.membership is not None
            and report.membership.state is endpoints.MemberState.CLOSING
        )

    def _evidence_of_time(self) -> Evidence | None:
        return Evidence.TIME_PASSED if self._may_order() else None

    def _is_dead(self, head: endpoints.Endpoint) -> bool:
        # The entry of a dead head expires after three heartbeats, but so does
        # that of a live one that is cut off from the store, whose responses may
        # have been lost on this node's side.
        if self._registry.may_be_leaving(head, LEAVE_TIMEOUT_S):
            return False
        if self._prober.is_degraded():
            return False
        return self._is_missing(head)

    def _is_missing(self, head: endpoints.Endpoint) -> bool:
        seen = self._registry.live.get(head.endpoint_id)
        return seen is None or seen.born_ms != head.born_ms


def _is_open(
    head: endpoints.Endpoint, report: endpoint_orders.Report | None
) -> bool:
    membership = report.membership if report is not None else None
    return (
        membership is not None
        and replica_spec.is_member(head, membership.key)
        and membership.state is endpoints.MemberState.OPEN
    )
