"""Indirect probes: a member is suspected only if others can't reach it either.

Follows SWIM (Das et al. 2002). Without indirect probes, a one-way partition or
a full queue between two processes would make one declare the other dead.
"""

import anyio

from redwingvalve.core import clock
from redwingvalve.membership import exchange_transport, members, peers, table
from redwingvalve.wire import call_errors, messages, rpc

INDIRECT_PROBES = 2


class Prober:
    """Checks members and suspects those that no helper reaches."""

    def __init__(
        self,
        member_table: table.MemberTable,
        transport: exchange_transport.ExchangeTransport,
        selector: peers.PeerSelector,
        caller: rpc.PeerCaller,
        timers: clock.Clock,
    ) -> None:
        """Report suspicions to member_table."""
        self._table = member_table
        self._transport = transport
        self._selector = selector
        self._caller = caller
        self._clock = timers
        self._in_progress: set[str] = set()

    async def check_member(self, member: members.Member) -> None:
        """Exchange with a member; suspect it if helpers fail as well."""
        if member.name in self._in_progress:
            return
        self._in_progress.add(member.name)
        try:
            await self._check(member)
        finally:
            self._in_progress.discard(member.name)

    async def probe_for(self, request: messages.peer.ProbeRequest) -> bool:
        """Return whether this process reaches a member, for another one."""
        status = self._table.statuses.get(request.name)
        if status is None:
            return False
        return await self._transport.exchange_with(status.member) is None

    async def _check(self, member: members.Member) -> None:
        error = await self._transport.exchange_with(member)
        if error is None:
            return
        if await self._reached_by_others(member):
            self._table.cancel_suspicion(member.name)
            return
        refused = error.kind is call_errors.CallErrorKind.REFUSED
        self._table.suspect(
            member.name, self._clock.monotonic_s(), refused=refused
        )

    async def _reached_by_others(self, member: members.Member) -> bool:
        reached: list[bool] = []
        async with anyio.create_task_group() as group:
            for helper in self._selector.helpers(member, INDIRECT_PROBES):
                group.start_soon(self._ask, helper, member, reached)
        return any(reached)

    async def _ask(
        self,
        helper: members.Member,
        member: members.Member,
        reached: list[bool],
    ) -> None:
        request = messages.peer.ProbeRequest(
            name=member.name, host=member.host, peer_port=member.peer_port
        )
        answer = await self._caller.call(
            (helper.host, helper.peer_port),
            'probe',
            request,
            2 * self._table.bounds.probe_timeout_s,
        )
        reached.append(answer.is_ok() and bool(answer.ok))
