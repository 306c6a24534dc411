"""Probes endpoints for their membership, allowing for local overload.

Load pattern: after an outage of the store a new lease holder has to probe some
sixty replicas with two hundred endpoints, on half a core and a link of
10 Mbit/s. If all were probed at once, responses would arrive after the timeout
and every replica would look lost; closing them would take the whole fleet out
of service. So the number of concurrent probes is limited, and while many recent
probes went unanswered, the unanswered ones are repeated before they count.
"""

import collections
import functools
import math
import time
import typing

import anyio
import attrs

from redwingvalve.core import clock
from redwingvalve.fleet import endpoints
from redwingvalve.ingress import reachability
from redwingvalve.node import indirect_probes
from redwingvalve.node import peers as peers_module
from redwingvalve.platform import endpoint_orders

# Each probe takes about a millisecond of half a core, so that this many are
# answered well within the timeout of 200 ms.
MAX_CONCURRENT_PROBES = 32
# Number of latest probes considered, and how many of them must be unanswered
# to show a local problem: the loss of a replica of eight accounts for at most
# eight.
RECENT_PROBES = 24
DEGRADED_MIN_UNANSWERED = 10
# Probes that were sent together time out together: a short delay lets the first
# unanswered one be judged along with the others.
DEGRADED_CHECK_DELAY_S = 0.02
# Older outcomes say nothing about the current state of the network path.
DEGRADED_WINDOW_S = 1.0
# The degraded state outlasts the responses that would end it: probes that were
# lost just before are still to be judged.
DEGRADED_HOLD_S = 0.3
# Delay before unanswered probes are repeated, in which a queue on this node's
# own link drains.
RETRY_PAUSE_S = 0.3
# A probe that ends this long after its timeout shows that the whole process was
# paused.
MIN_PROCESS_PAUSE_S = 0.1
# Unanswered probes after which an endpoint is considered dead.
PROBES_TO_CONFIRM_DEATH = 2
# A sound endpoint may be silent for a second; if its host takes connections, it
# is considered lost after this time, counted from its first unanswered probe.
MAX_SILENCE_S = 1.2

Reports = dict[str, endpoint_orders.Report | None]
_Ask: typing.TypeAlias = typing.Callable[
    [endpoints.Endpoint], typing.Awaitable[endpoint_orders.Report | None]
]


@attrs.frozen
class _ProbeOutcome:
    at_s: float
    is_answered: bool
    endpoint_id: str


class LocalHealth:
    """Tells whether unanswered probes point to a problem of this node itself.

    Signs are many endpoints that leave probes unanswered at once, and pauses of
    the process. Probes of a few dead endpoints that are repeated are none.
    """

    def __init__(
        self, clock: typing.Callable[[], float] = time.monotonic
    ) -> None:
        """Start healthy."""
        self._clock = clock
        self._outcomes: collections.deque[_ProbeOutcome] = collections.deque(
            maxlen=RECENT_PROBES
        )
        self._process_paused_s = float('-inf')
        self._degraded_s = float('-inf')

    def record(
        self,
        began_s: float,
        is_answered: bool,
        timeout_s: float = endpoint_orders.REPORT_TIMEOUT_S,
        endpoint_id: str = '',
    ) -> None:
        """Record the outcome of a probe that was sent at began_s.

        Without an endpoint_id it counts as that of an endpoint of its own.
        """
        now_s = self._clock()
        took_s = now_s - began_s
        if took_s > timeout_s + MIN_PROCESS_PAUSE_S:
            self._process_paused_s = now_s
        self._outcomes.append(_ProbeOutcome(now_s, is_answered, endpoint_id))
        if self._count_unanswered(now_s) >= DEGRADED_MIN_UNANSWERED:
            self._degraded_s = now_s

    def is_degraded(self) -> bool:
        """Return whether responses may have been lost on this node's side."""
        now_s = self._clock()
        if self._process_paused_s > now_s - DEGRADED_WINDOW_S:
            return True
        return self._degraded_s > now_s - DEGRADED_HOLD_S

    def _count_unanswered(self, now_s: float) -> int:
        since_s = now_s - DEGRADED_WINDOW_S
        unanswered = [
            one.endpoint_id
            for one in self._outcomes
            if one.at_s > since_s and not one.is_answered
        ]
        named = set(filter(None, unanswered))
        return unanswered.count('') + len(named)


class EndpointProber:
    """Probes endpoints, the members of replicas in particular."""

    def __init__(
        self,
        client: endpoint_orders.EndpointClient,
        reach: reachability.EndpointReach | None = None,
        others: indirect_probes.IndirectProber | None = None,
    ) -> None:
        """Send probes through client; reach tells of cut links.

        others lets other nodes probe; by default nobody is asked.
        """
        self._client = client
        self._others = others or indirect_probes.AsksNobody()
        self._reach = reach or reachability.AssumedReach()
        self._local_health = LocalHealth()
        self._limit = anyio.CapacityLimiter(MAX_CONCURRENT_PROBES)

    async def run(self) -> None:
        """Probe endpoints for other nodes until cancelled."""
        await self._others.run()

    async def ask(
        self, endpoint: endpoints.Endpoint
    ) -> endpoint_orders.Report | None:
        """Return an endpoint's report, or None if it doesn't answer."""
        async with self._limit:
            began_s = time.monotonic()
            report = await self._client.report(endpoint)
            self._local_health.record(
                began_s, report is not None, endpoint_id=endpoint.endpoint_id
            )
        return report

    async def ask_others(
        self, endpoint: endpoints.Endpoint, since_s: float = -math.inf
    ) -> endpoint_orders.Report | None:
        """Return the report that another node gets, None without one.

        It is one that was asked for after since_s by the monotonic clock.
        """
        return await self._others.ask(endpoint, since_s)

    async def ask_with_others(
        self, endpoint: endpoints.Endpoint, since_s: float = -math.inf
    ) -> endpoint_orders.Report | None:
        """Return the first report that this or another node gets.

        Another node's is one that was asked for after since_s by the monotonic
        clock.
        """
        return await self._first_report(self.ask, endpoint, since_s)

    async def ask_silent(
        self, endpoint: endpoints.Endpoint
    ) -> endpoint_orders.Report | None:
        """Return the report of an endpoint that has left a probe unanswered.

        None if it is silent for too long, or if nothing listens there any more.
        """
        timeout_s = MAX_SILENCE_S - endpoint_orders.REPORT_TIMEOUT_S
        began_s = time.monotonic()
        report = await self._client.await_report(endpoint, timeout_s)
        self._local_health.record(
            began_s, report is not None, timeout_s, endpoint.endpoint_id
        )
        return report

    async def ask_until_certain(
        self, endpoint: endpoints.Endpoint, deadline_s: float
    ) -> endpoint_orders.Report | None:
        """Return an endpoint's report, or None if it is confirmed dead.

        One unanswered probe is no proof: on a slow node, timeouts pass before
        responses are read. So the probe is repeated, and for as long as this
        node itself is degraded, until deadline_s by the boot clock at most.
        Otherwise a head that is only cut off from the store would be considered
        dead and go on serving while its members join another replica. Other
        nodes are asked at the same time: the path may be lost here only.
        """
        unanswered = 0
        since_s = time.monotonic()
        while clock.boot_s() < deadline_s:
            ask = self.ask_silent if unanswered else self.ask
            report = await self._first_report(ask, endpoint, since_s)
            if report is not None:
                return report
            unanswered += 1
            if unanswered >= PROBES_TO_CONFIRM_DEATH and not self.is_degraded():
                break
            await anyio.sleep(RETRY_PAUSE_S)
        return None

    def is_degraded(self) -> bool:
        """Return whether responses may be getting lost on this node's side."""
        return self._reach.is_cut_off or self._local_health.is_degraded()

    async def confirm_reach(self) -> bool:
        """Return whether this node can connect to endpoints now."""
        return await self._reach.confirm()

    async def ask_all(self, members: tuple[endpoints.Endpoint, ...]) -> Reports:
        """Return each member's report, None for members that are lost."""
        reports: Reports = {}
        await self._ask_members(reports, members)
        missing = _without_report(reports, members)
        if not missing:
            return reports
        await anyio.sleep(DEGRADED_CHECK_DELAY_S)
        if self.is_degraded():
            await anyio.sleep(RETRY_PAUSE_S)
            await self._ask_members(reports, missing)
        return reports

    async def ask_all_silent(
        self, reports: Reports, members: tuple[endpoints.Endpoint, ...]
    ) -> None:
        """Add the reports of members that were only silent for a while.

        Other nodes are asked at the same time.
        """
        since_s = time.monotonic()
        silent = _without_report(reports, members)
        scopes = {one.endpoint_id: anyio.CancelScope() for one in silent}
        async with anyio.create_task_group() as group:
            for member in silent:
                scope = scopes[member.endpoint_id]
                group.start_soon(self._ask_one_silent, reports, member, scope)
            await self._ask_others_in_turn(reports, silent, scopes, since_s)

    async def are_healthy_by_any_node(
        self, members: tuple[endpoints.Endpoint, ...]
    ) -> bool:
        """Return whether all members report to some node that they are."""
        reports = await self.ask_all(members)
        silent = _without_report(reports, members)
        await self._ask_others_in_turn(reports, silent, {})
        return all(is_healthy(member, reports) for member in members)

    async def are_healthy(
        self, members: tuple[endpoints.Endpoint, ...]
    ) -> bool:
        """Return whether all members report that they are in their replica."""
        reports = await self.ask_all(members)
        return all(is_healthy(member, reports) for member in members)

    async def _ask_members(
        self, reports: Reports, members: tuple[endpoints.Endpoint, ...]
    ) -> None:
        async with anyio.create_task_group() as group:
            for member in members:
                group.start_soon(self._ask_one, reports, member)

    async def _ask_one(
        self, reports: Reports, member: endpoints.Endpoint
    ) -> None:
        reports[member.endpoint_id] = await self.ask(member)

    async def _ask_one_silent(
        self,
        reports: Reports,
        member: endpoints.Endpoint,
        scope: anyio.CancelScope,
    ) -> None:
        with scope:
            if await self._client.accepts_connections(member):
                reports[member.endpoint_id] = await self.ask_silent(member)

    async def _ask_others_in_turn(
        self,
        reports: Reports,
        silent: tuple[endpoints.Endpoint, ...],
        scopes: dict[str, anyio.CancelScope],
        since_s: float = -math.inf,
    ) -> None:
        """Add the reports that other nodes get, and cancel the scopes of these.

        Ends at the first member without one, since that one's replica is broken
        anyway: a dark data centre takes one ask for each replica.
        """
        for member in silent:
            name = member.endpoint_id
            report = await self._others.ask(member, since_s)
            if reports[name] is None and report is not None:
                reports[name] = report
                scope = scopes.get(name)
                if scope is not None:
                    scope.cancel()
            if reports[name] is None:
                return

    async def _first_report(
        self, ask_directly: _Ask, endpoint: endpoints.Endpoint, since_s: float
    ) -> endpoint_orders.Report | None:
        """Ask directly and through other nodes; return the first report."""
        found: list[endpoint_orders.Report] = []
        async with anyio.create_task_group() as group:

            async def add_report(ask: _Ask) -> None:
                report = await ask(endpoint)
                if report is not None:
                    found.append(report)
                    group.cancel_scope.cancel()

            group.start_soon(add_report, ask_directly)
            ask_others = functools.partial(self._others.ask, since_s=since_s)
            group.start_soon(add_report, ask_others)
        return found[0] if found else None


def make_prober(
    client: endpoint_orders.EndpointClient,
    reach: reachability.EndpointReach,
    peers: peers_module.Peers,
) -> EndpointProber:
    """Return a prober that also lets the other nodes probe."""
    others = indirect_probes.make_prober(peers, client)
    return EndpointProber(client, reach, others)


def is_healthy(member: endpoints.Endpoint, reports: Reports) -> bool:
    """Return whether a member reports that it is in its replica, not broken."""
    report = reports[member.endpoint_id]
    if report is None or report.membership is None:
        return False
    if member.membership is None:
        return False
    if report.membership.state is endpoints.MemberState.BROKEN:
        return False
    return report.membership.key == member.membership.key


def _without_report(
    reports: Reports, members: tuple[endpoints.Endpoint, ...]
) -> tuple[endpoints.Endpoint, ...]:
    return tuple(
        member for member in members if reports[member.endpoint_id] is None
    )
