"""Takes heads out of use whose replicas have lost a member.

Load pattern: of a few dozen heads one falls silent every few seconds, and in
a burst many are slow at once. Streams that had begun and stop show a loss at
once. A request that has not begun may only wait for a place: with many nodes
each has one or two requests at a head, which others have filled. Taken for
silent, slow heads go out of use and fill the others, until none is left. So
in a large fleet the members are asked first: a lost one doesn't answer.

A stream that breaks off is asked about in any fleet: answers are also lost on
the way.

While nobody holds the lease, as in an outage of the store, no controller
clears suspicions. Each node then asks about its own.
"""

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
# With more nodes than this each has about one request at a head.
FEW_NODES = 12
# Between two looks at suspicions that nobody clears; each question is priced.
RECHECK_S = 1.0
# A full or slow head that another node has just asked about is not asked again
# for this long. In a burst all nodes have a request at each such head: on a day
# of 82 nodes they asked 52,770 times.
TOLD_SOUND_S = 2.0
SILENT = 'silent'


@attrs.define(eq=False)
class FailureDetector:
    """Watches this node's streams for heads that fell silent."""

    state: state_module.IngressState
    table: serving.ServingTable
    prober: endpoint_prober.EndpointProber
    lease: lease_module.Lease
    _asking: set[str] = attrs.field(factory=set)
    # Heads to ask about, and why.
    _doubts: dict[str, str] = attrs.field(factory=dict)
    _rechecked_s: float = 0.0
    # When other nodes told that heads are sound.
    _told_sound_s: dict[str, float] = attrs.field(factory=dict)

    async def run(self) -> typing.NoReturn:
        """Look until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await anyio.sleep(self._pause_s())
                self.look(group)

    def _pause_s(self) -> float:
        """Return the time until the next look; each wakes an idle process."""
        if self._doubts:
            return stall_detection.MIN_CHECK_INTERVAL_S
        return self.state.stall_detector.time_to_next_check_s(time.monotonic())

    def doubt(self, head: str, reason: str) -> None:
        """Ask about a head at the next look, within 0.1 s."""
        if head not in self._asking:
            self._doubts.setdefault(head, reason)

    def told_sound(self, head: str, found_s: float) -> None:
        """Take another node's word that a head had all its members."""
        self._told_sound_s[head] = found_s

    def look(self, group: anyio.abc.TaskGroup) -> None:
        """Take silent heads out of use, or ask about them first."""
        now_s = time.monotonic()
        for found in self.state.stall_detector.find_stalled(now_s):
            if found.has_started or self.state.node_count <= FEW_NODES:
                self._lose(found.head)
            elif not self._is_told_sound(found.head, now_s):
                self.doubt(found.head, SILENT)
        for head in tuple(self._doubts):
            self._start(group, head, self._ask_first)
        if now_s - self._rechecked_s > RECHECK_S:
            self._rechecked_s = now_s
            self._recheck(group)

    def _is_told_sound(self, head: str, now_s: float) -> bool:
        told_s = self._told_sound_s.get(head)
        return told_s is not None and now_s - told_s < TOLD_SOUND_S

    def _recheck(self, group: anyio.abc.TaskGroup) -> None:
        if self.lease.has_known_holder():
            return
        for suspicion in self.table.local_suspicions():
            self._start(group, suspicion.endpoint_id, self._clear_if_sound)

    def _start(
        self,
        group: anyio.abc.TaskGroup,
        head: str,
        work: typing.Callable[[str], typing.Awaitable[None]],
    ) -> None:
        if head in self._asking:
            return
        self._asking.add(head)
        group.start_soon(self._run, head, work)

    async def _run(
        self, head: str, work: typing.Callable[[str], typing.Awaitable[None]]
    ) -> None:
        try:
            await work(head)
        except Exception:
            # The head is looked at again in a moment.
            LOG.exception('not inspected', extra={'endpoint': head})
        finally:
            self._asking.discard(head)

    async def _ask_first(self, head: str) -> None:
        reason = self._doubts.pop(head)
        if not await self._is_whole(head):
            self._lose(head, reason)
            return
        LOG.info('head is sound', extra={'endpoint': head, 'doubt': reason})
        if reason == SILENT:
            self.state.stall_detector.mark_slow(head, time.monotonic())
            self.table.announce_healthy(head)

    async def _clear_if_sound(self, head: str) -> None:
        if await self._is_whole(head):
            LOG.info('suspicion cleared', extra={'endpoint': head})
            self.table.mark_healthy(head)

    async def _is_whole(self, head: str) -> bool:
        replica = self.table.replica_of(head)
        if replica is None:
            return False
        return await self.prober.are_healthy(replica.members)

    def _lose(self, head: str, reason: str = SILENT) -> None:
        self.table.suspect(head, reason)
        for send in list(self.state.in_flight_requests.get(head, ())):
            send.head_stalled()
