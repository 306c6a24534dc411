"""Stops heads, and tells by what evidence they have stopped.

An absence that one node sees, of an answer or of an entry, says little about a
head: it may be cut off from that node and from the store, and serve others. So
a report that another node gets counts like one that this node gets.
"""

import math
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
# What the answer to an order to leave shows.
_EVIDENCE_BY_RESULT: typing.Final = types.MappingProxyType(
    {
        OrderResult.ACCEPTED: Evidence.STATED,
        OrderResult.OTHER_ENDPOINT: Evidence.REPLACED,
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
    _open_orders: head_statements.OpenOrders = attrs.field(
        factory=head_statements.OpenOrders
    )
    # Replicas that were told to finish their requests.
    _drained: set[replica_spec.ReplicaKey] = attrs.field(factory=set)

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
        deadline_s = clock.boot_s() + LEAVE_TIMEOUT_S
        while clock.boot_s() < deadline_s and self._may_order():
            result = await self._client.leave(
                head, membership.replica, membership.epoch
            )
            evidence = _EVIDENCE_BY_RESULT.get(result)
            if evidence is None and self._is_missing(head):
                evidence = await self._evidence_of_others(head, since_s)
            if evidence is not None:
                return evidence
            await anyio.sleep(PROBE_INTERVAL_S)
        # By now no order can take effect: orders are executed at most twelve
        # seconds late.
        return self._evidence_of_time()

    async def stop_head(
        self,
        head: endpoints.Endpoint,
        report: endpoint_orders.Report | None,
        asked_s: float = -math.inf,
    ) -> Evidence | None:
        """Close a head; return why it no longer serves its replica.

        None if this node may not order it any more. The report was asked for
        after asked_s by the monotonic clock.
        """
        membership = head.membership
        assert membership is not None
        since_s = time.monotonic()
        if report is None:
            asked_s = since_s
            report = await self._prober.ask_others(head, since_s)
        deadline_s = clock.boot_s() + LEAVE_TIMEOUT_S
        while clock.boot_s() < deadline_s and self._may_order():
            if self._has_stopped(head, report, asked_s):
                return Evidence.STATED
            if report is None and self._is_dead(head):
                return Evidence.UNREACHED
            evidence = await self._order_to_stop(head, report)
            if evidence is not None:
                return evidence
            await anyio.sleep(POLL_INTERVAL_S)
            asked_s = self._question_s(head, since_s)
            # A head that is listed counts as alive without the others' word.
            is_missing = self._is_missing(head)
            if is_missing:
                report = await self._prober.ask_with_others(head, asked_s)
            else:
                report = await self._prober.ask(head)
        return self._evidence_of_time()

    async def drain(
        self, head: endpoints.Endpoint, started_s: float
    ) -> Evidence | None:
        """Let a replica finish its requests; return why it no longer serves.

        A head that is leaving stops listening before its last requests end, so
        that only its own report or entry, or the passing of LEAVE_TIMEOUT_S,
        shows that it has finished.
        """
        membership = head.membership
        assert membership is not None
        LOG.info('replica closes', extra={'replica': membership.replica})
        self._drained.add(membership.key)
        await self._client.close(
            head, membership.replica, membership.epoch, True
        )
        deadline_s = started_s + LEAVE_TIMEOUT_S
        while clock.boot_s() < deadline_s and self._may_order():
            seen = self._registry.live.get(head.endpoint_id)
            if seen is not None and head_statements.was_seen_serving(head):
                if not replica_spec.still_serves(head, seen.membership):
                    return Evidence.STATED
                await anyio.sleep(POLL_INTERVAL_S)
                continue
            asked_s = time.monotonic()
            report = await self._prober.ask(head)
            if self._has_stopped(head, report, asked_s):
                return Evidence.STATED
            if _is_open(head, report):
                # It opened, or gets requests, in spite of the first order.
                await self._client.close(
                    head, membership.replica, membership.epoch, True
                )
            await anyio.sleep(PROBE_INTERVAL_S)
        return self._evidence_of_time()

    async def stop_missing_head(
        self, head: endpoints.Endpoint, missing_since_s: float
    ) -> Evidence | None:
        """Stop a head whose entry is gone; return why it no longer serves.

        A head that is probed just after its entry went away and answers no node
        has died. One that answers is leaving, or is cut off from the store.
        """
        if self._registry.has_begun_to_leave(head, LEAVE_TIMEOUT_S):
            # It may have stopped listening, while its last requests go on.
            return await self.drain(head, missing_since_s)
        probed_s = clock.boot_s()
        asked_s = time.monotonic()
        report = await self._prober.ask_until_certain(
            head, missing_since_s + LEAVE_TIMEOUT_S
        )
        if self._has_stopped(head, report, asked_s):
            return Evidence.STATED
        is_probed_in_time = (
            probed_s - missing_since_s < MISSING_HEAD_PROBE_WINDOW_S
        )
        is_dead = report is None and is_probed_in_time
        if is_dead and await self._prober.confirm_reach():
            return Evidence.UNREACHED
        return await self.drain(head, missing_since_s)

    async def _evidence_of_others(
        self, head: endpoints.Endpoint, since_s: float
    ) -> Evidence | None:
        """Return what other nodes' probes show of a head that must leave."""
        report = await self._prober.ask_others(head, since_s)
        if report is None:
            return Evidence.UNREACHED
        is_settled = since_s >= self._open_orders.settled_s(head)
        has_left = head_statements.shows_departure(head, report, is_settled)
        return Evidence.STATED if has_left else None

    async def _order_to_stop(
        self, head: endpoints.Endpoint, report: endpoint_orders.Report | None
    ) -> Evidence | None:
        """Order a head that answers to stop; return what its answer shows."""
        membership = head.membership
        if report is None or membership is None:
            return None
        still_serves = replica_spec.still_serves(head, report.membership)
        if still_serves and not self._may_be_closing(head, report):
            await self._client.close(
                head, membership.replica, membership.epoch, False
            )
            return None
        # It may be about to open, which only an order to leave prevents. One
        # that closes would be ready like one that has finished.
        result = await self._client.leave(
            head, membership.replica, membership.epoch
        )
        evidence = _EVIDENCE_BY_RESULT.get(result)
        if evidence is None:
            await anyio.sleep(PROBE_INTERVAL_S)
        return evidence

    def _may_be_closing(
        self, head: endpoints.Endpoint, report: endpoint_orders.Report
    ) -> bool:
        membership = head.membership
        assert membership is not None
        if membership.key in self._drained:
            return True
        marks = self._registry.closing
        past = marks.past_of(head.incarnation, membership.key)
        return past is closing_marks.Past.CLOSING or (
            report.membership is not None
            and report.membership.state is endpoints.MemberState.CLOSING
        )

    def _question_s(self, head: endpoints.Endpoint, since_s: float) -> float:
        """Return since when a report has to be asked for."""
        settled_s = self._open_orders.settled_s(head)
        is_settled = time.monotonic() >= settled_s
        return max(since_s, settled_s) if is_settled else since_s

    def _has_stopped(
        self,
        head: endpoints.Endpoint,
        report: endpoint_orders.Report | None,
        asked_s: float,
    ) -> bool:
        is_settled = asked_s >= self._open_orders.settled_s(head)
        return head_statements.shows_stop(head, report, is_settled)

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
