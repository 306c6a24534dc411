"""Detects heads whose replicas have lost a member, and suspects them.

Load pattern: of a few dozen heads one stalls every few seconds, and in a burst
many are slow at once. A stream that had started and then stalls shows a loss
immediately. A request without any response yet may just be waiting for a slot:
with many nodes, each has only one or two requests at a head that is filled by
the others. If slow heads were suspected, they would go out of use and their
load would overfill the others, until none was left. So in a large fleet the
members are probed first: a lost one doesn't answer.

When a stream breaks off, the members are probed in a fleet of any size, since
responses can also be lost in the network.

While no node holds the lease, as in an outage of the store, no controller
clears suspicions. Each node then probes the heads that it suspects itself, and
asks other nodes about a few of them. The checks of stalled streams ask nobody:
that others reach a head doesn't help the streams of a node that has lost it.
"""

import random
import time
import typing

import anyio
import anyio.abc
import attrs

from redwingvalve.fleet import serving
from redwingvalve.ingress import stall_detection
from redwingvalve.ingress import state as state_module
from redwingvalve.node import endpoint_prober
from redwingvalve.node import lease as lease_module
from redwingvalve.observability import logs

LOG = logs.make_logger('losses')
# With more nodes than this, each has only about one request at a head.
SMALL_FLEET_NODES = 12
# Between two checks of suspicions that no lease holder clears; each probe has a
# cost.
SUSPICION_RECHECK_INTERVAL_S = 1.0
# A full or slow head that another node has just found healthy is not probed
# again for this long. In a burst all nodes have a request at each such head:
# without this limit, 82 nodes sent 52,770 probes in a day.
REPORTED_HEALTHY_HOLD_S = 2.0
# Suspicions about which other nodes are asked in one such check: all nodes may
# suspect the same heads.
MAX_ASKED_ELSEWHERE = 2
STALLED = 'silent'


@attrs.define(eq=False)
class FailureDetector:
    """Finds stalled heads by this node's streams and checks their replicas."""

    state: state_module.IngressState
    table: serving.ServingTable
    prober: endpoint_prober.EndpointProber
    lease: lease_module.Lease
    # Heads being checked, each with what identifies its check.
    _being_checked: dict[str, object] = attrs.field(factory=dict)
    # Heads to check, and the reasons.
    _requested_checks: dict[str, str] = attrs.field(factory=dict)
    _suspicions_rechecked_s: float = 0.0
    # When other nodes found heads healthy.
    _reported_healthy_s: dict[str, float] = attrs.field(factory=dict)

    async def run(self) -> typing.NoReturn:
        """Check for failed heads until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await anyio.sleep(self._time_to_next_check_s())
                self.check_streams(group)

    def _time_to_next_check_s(self) -> float:
        """Return the time to the next check; each one wakes an idle process."""
        if self._requested_checks:
            return stall_detection.MIN_CHECK_INTERVAL_S
        return self.state.stall_detector.time_to_next_check_s(time.monotonic())

    def request_check(self, head: str, reason: str) -> None:
        """Have a head's replica checked the next time, within 0.1 s."""
        if head not in self._being_checked:
            self._requested_checks.setdefault(head, reason)

    def note_reported_healthy(self, head: str, reported_s: float) -> None:
        """Record that another node found all members of a head's replica."""
        self._reported_healthy_s[head] = reported_s

    def forget(self, head: str) -> None:
        """Forget a head whose process has restarted.

        The result of a check in progress is about the previous process, and
        streams sent to that one get no further event.
        """
        self._being_checked.pop(head, None)
        self._requested_checks.pop(head, None)
        self._reported_healthy_s.pop(head, None)
        if self.state.stall_detector.forget(head):
            self._move_streams(head)

    def check_streams(self, group: anyio.abc.TaskGroup) -> None:
        """Suspect stalled heads, or start checks of their replicas first."""
        now_s = time.monotonic()
        for stalled in self.state.stall_detector.find_stalled(now_s):
            if (
                stalled.has_started
                or self.state.node_count <= SMALL_FLEET_NODES
            ):
                self._suspect(stalled.head)
            elif not self._is_reported_healthy(stalled.head, now_s):
                self.request_check(stalled.head, STALLED)
        for head in tuple(self._requested_checks):
            self._start_check(group, head, self._check_requested)
        if now_s - self._suspicions_rechecked_s > SUSPICION_RECHECK_INTERVAL_S:
            self._suspicions_rechecked_s = now_s
            self._recheck_suspicions(group)

    def _is_reported_healthy(self, head: str, now_s: float) -> bool:
        reported_s = self._reported_healthy_s.get(head)
        return (
            reported_s is not None
            and now_s - reported_s < REPORTED_HEALTHY_HOLD_S
        )

    def _recheck_suspicions(self, group: anyio.abc.TaskGroup) -> None:
        if self.lease.has_known_holder():
            return
        heads = [one.endpoint_id for one in self.table.local_suspicions()]
        asked_elsewhere = random.sample(
            heads, min(len(heads), MAX_ASKED_ELSEWHERE)
        )
        for head in heads:
            check = (
                self._clear_if_healthy_anywhere
                if head in asked_elsewhere
                else self._clear_if_healthy
            )
            self._start_check(group, head, check)

    def _start_check(
        self,
        group: anyio.abc.TaskGroup,
        head: str,
        check: typing.Callable[[str, object], typing.Awaitable[None]],
    ) -> None:
        if head in self._being_checked:
            return
        token = object()
        self._being_checked[head] = token
        group.start_soon(self._run_check, head, check, token)

    async def _run_check(
        self,
        head: str,
        check: typing.Callable[[str, object], typing.Awaitable[None]],
        token: object,
    ) -> None:
        try:
            await check(head, token)
        except Exception:
            # The next check_streams finds the head again, a moment later.
            LOG.exception('head check failed', extra={'endpoint': head})
        finally:
            if self._being_checked.get(head) is token:
                self._being_checked.pop(head)

    async def _check_requested(self, head: str, token: object) -> None:
        reason = self._requested_checks.pop(head)
        is_healthy = await self._is_healthy(head)
        if self._being_checked.get(head) is not token:
            return
        if not is_healthy:
            self._suspect(head, reason)
            return
        LOG.info('head is sound', extra={'endpoint': head, 'doubt': reason})
        if reason == STALLED:
            self.state.stall_detector.mark_slow(head, time.monotonic())
            self.table.announce_healthy(head)

    async def _clear_if_healthy(self, head: str, token: object) -> None:
        self._clear(head, token, is_healthy=await self._is_healthy(head))

    async def _clear_if_healthy_anywhere(
        self, head: str, token: object
    ) -> None:
        replica = self.table.replica_of(head)
        is_healthy = replica is not None and (
            await self.prober.are_healthy_by_any_node(replica.members)
        )
        self._clear(head, token, is_healthy=is_healthy)

    def _clear(self, head: str, token: object, *, is_healthy: bool) -> None:
        if is_healthy and self._being_checked.get(head) is token:
            LOG.info('suspicion cleared', extra={'endpoint': head})
            self.table.mark_healthy(head)

    async def _is_healthy(self, head: str) -> bool:
        replica = self.table.replica_of(head)
        if replica is None:
            return False
        return await self.prober.are_healthy(replica.members)

    def _suspect(self, head: str, reason: str = STALLED) -> None:
        self.table.suspect(head, reason)
        self._move_streams(head)

    def _move_streams(self, head: str) -> None:
        for request in list(self.state.in_flight_requests.get(head, ())):
            request.head_stalled()
