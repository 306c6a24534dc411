"""Membership over the network: its background loops and its interface."""

import random
from collections import abc as collections_abc

import anyio
from anyio import abc as anyio_abc

from redwingvalve.core import clock, invariants
from redwingvalve.membership import bounds as member_bounds
from redwingvalve.membership import (
    delegates,
    exchange_transport,
    members,
    peers,
    probing,
    table,
    urgency,
)
from redwingvalve.wire import handlers, messages, rpc

Address = tuple[str, int]
# Receivers of an urgent exchange; each forwards to as many again.
URGENT_FANOUT = 3
DEPART_FANOUT = 5
TICK_INTERVAL_S = 0.25


class GossipMembers(members.Members, handlers.GossipHandler):
    """The member list, kept current by gossip with peers."""

    def __init__(
        self,
        member_table: table.MemberTable,
        caller: rpc.PeerCaller,
        timers: clock.Clock,
        contacts: tuple[Address, ...],
        rng: random.Random,
    ) -> None:
        """Start from the contacts; other members are discovered."""
        self.table = member_table
        self.transport = exchange_transport.ExchangeTransport(
            member_table, caller, timers
        )
        self.selector = peers.PeerSelector(member_table, contacts, rng)
        self._prober = probing.Prober(
            member_table, self.transport, self.selector, caller, timers
        )
        self._clock = timers
        self._rng = rng
        self._urgent = anyio.Event()
        self._backoff = urgency.make_urgent_backoff(member_table.bounds)

    # Interface of members.Members.

    def local_member(self) -> members.Member:
        """Return this process."""
        return self.table.own.member()

    def known(self) -> tuple[members.Member, ...]:
        """Return every member, dead ones included until they are removed."""
        return self.table.known(self._clock.monotonic_s())

    def isolated(self) -> bool:
        """Return whether this process is cut off or superseded."""
        return self.table.isolated(self._clock.monotonic_s())

    def leave(self) -> None:
        """Announce that this process takes no new work.

        The other members learn of it within a second.
        """
        self.table.own.leave()
        self.trigger_urgent_round()

    # For delegates, which add their data to exchanges.

    def add_delegate(self, delegate: delegates.ExchangeDelegate) -> None:
        """Let a delegate add its data to each exchange."""
        self.transport.exchanges.registered_delegates.append(delegate)

    def trigger_urgent_round(self) -> None:
        """Send pending changes without waiting for the next round."""
        self._urgent.set()

    def confirm_connectivity(self) -> None:
        """Record that the store answered, so this process is not cut off."""
        self.table.record_connectivity(self._clock.monotonic_s())

    # Handlers of calls from peers.

    async def exchange(self, packed: bytes) -> bytes:
        """Process an exchange and return the reply."""
        answer = await self.transport.answer(packed)
        self._trigger_if_changed()
        return answer

    async def probe(self, request: messages.peer.ProbeRequest) -> bool:
        """Probe a member that the caller can't reach."""
        return await self._prober.probe_for(request)

    # Background loops.

    async def join(self, *, may_be_first: bool = True) -> None:
        """Exchange with contacts in order until one answers.

        may_be_first is False if there may be contacts that aren't known yet.
        """
        for address in self.selector.contacts():
            if await self.transport.exchange_with_address(address) is None:
                break
        if may_be_first:
            self.table.own.mark_joined()

    async def run(self) -> None:
        """Exchange with peers until cancelled."""
        bounds = self.table.bounds
        async with anyio.create_task_group() as group:
            group.start_soon(self._run_ticks)
            group.start_soon(self._run_urgent, group)
            group.start_soon(
                self._every, bounds.round_s, self._start_round, group
            )
            group.start_soon(
                self._every,
                bounds.remote_interval_s,
                self._start_remote_round,
                group,
            )
            group.start_soon(self._run_reconnect, group)

    async def depart(self) -> None:
        """Announce to some peers that this process is stopping."""
        self.table.own.depart()
        async with anyio.create_task_group() as group:
            for member in self.selector.sample(DEPART_FANOUT):
                group.start_soon(self.transport.exchange_with, member)

    async def _every(
        self,
        interval_s: float,
        action: collections_abc.Callable[[anyio_abc.TaskGroup], None],
        group: anyio_abc.TaskGroup,
    ) -> None:
        while True:
            action(group)
            # Jitter keeps processes that started together from
            # synchronizing.
            await self._clock.sleep(interval_s * self._rng.uniform(0.8, 1.2))

    async def _run_reconnect(self, group: anyio_abc.TaskGroup) -> None:
        bounds = self.table.bounds
        while True:
            address = self.selector.unknown_contact()
            if address is not None:
                group.start_soon(self.transport.exchange_with_address, address)
            member = self.selector.dead()
            if member is not None:
                group.start_soon(self.transport.exchange_with, member)
            interval_s = bounds.reconnect_interval_s
            if not self.table.own.is_informed:
                interval_s = min(interval_s, bounds.join_interval_s)
            await self._clock.sleep(interval_s * self._rng.uniform(0.8, 1.2))

    def _start_round(self, group: anyio_abc.TaskGroup) -> None:
        member = self.selector.next()
        if member is not None:
            group.start_soon(self._prober.check_member, member)

    def _start_remote_round(self, group: anyio_abc.TaskGroup) -> None:
        member = self.selector.remote()
        if member is not None:
            group.start_soon(self._prober.check_member, member)

    async def _run_ticks(self) -> None:
        while True:
            self.table.tick(self._clock.monotonic_s())
            self._trigger_if_changed()
            await self._clock.sleep(TICK_INTERVAL_S)

    async def _run_urgent(self, group: anyio_abc.TaskGroup) -> None:
        while True:
            await self._urgent.wait()
            self._urgent = anyio.Event()
            self.table.statuses.take_changed()
            for member in self.selector.sample(URGENT_FANOUT):
                group.start_soon(self.transport.exchange_with, member)
            now_s = self._clock.monotonic_s()
            await self._clock.sleep(self._backoff.pause_s(now_s))

    def _trigger_if_changed(self) -> None:
        if self.table.statuses.take_changed():
            self.trigger_urgent_round()


def make_gossip_members(
    me: members.Member,
    caller: rpc.PeerCaller,
    timers: clock.Clock,
    contacts: tuple[str, ...] = (),
    seed: int = 0,
    bounds: member_bounds.MembershipBounds = member_bounds.DEFAULT_BOUNDS,
    switches: invariants.SafeguardSwitches | None = None,
) -> GossipMembers:
    """Return members that know only this process; contacts are host:port."""
    member_table = table.make_member_table(
        me, timers.monotonic_s(), bounds, switches
    )
    return GossipMembers(
        member_table,
        caller,
        timers,
        tuple(parse_address(contact) for contact in contacts),
        random.Random(f'{seed}/{me.name}'),
    )


def parse_address(contact: str) -> Address:
    """Parse an address of the form host:port."""
    host, _, port = contact.rpartition(':')
    return (host, int(port))
