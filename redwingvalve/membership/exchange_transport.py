"""Exchanges over the network, in both directions."""

from redwingvalve.core import clock
from redwingvalve.membership import exchanges, members, table
from redwingvalve.observability import logs
from redwingvalve.wire import call_errors, messages, packing, rpc

LOG = logs.make_logger('membership')
Address = tuple[str, int]
Kind = call_errors.CallErrorKind
Exchange = messages.peer.Exchange
# Timeouts grow up to so many times and one.
POOREST_HEALTH = 4


class Conversations:
    """Asks members for exchanges and answers theirs."""

    def __init__(
        self,
        member_table: table.MemberTable,
        caller: rpc.PeerCaller,
        timers: clock.Clock,
    ) -> None:
        """Speak for member_table."""
        self.exchanges = exchanges.Exchanges(member_table)
        self._table = member_table
        self._caller = caller
        self._poor_health = 0
        self._clock = timers

    async def answer(self, packed: bytes) -> bytes:
        """Take a packed exchange and return one; ValueError if unsound."""
        heard = packing.unpack(Exchange(), packed)
        if heard.is_error():
            raise ValueError(heard.error)
        now_s = self._clock.monotonic_s()
        if not self.exchanges.receive(heard.ok, None, now_s):
            raise ValueError('an exchange without a sender')
        return packing.pack(self.exchanges.answer(heard.ok, now_s))

    async def with_member(
        self, member: members.Member
    ) -> call_errors.CallError | None:
        """Exchange with a member; the error, or None when it answered."""
        now_s = self._clock.monotonic_s()
        asked = self.exchanges.question(member.name, member.region, now_s)
        return await self._ask((member.host, member.peer_port), asked)

    async def with_address(
        self, address: Address
    ) -> call_errors.CallError | None:
        """Exchange with whoever listens there."""
        now_s = self._clock.monotonic_s()
        return await self._ask(address, self.exchanges.question('', '', now_s))

    async def _ask(
        self, address: Address, asked: Exchange
    ) -> call_errors.CallError | None:
        asked_s = self._clock.monotonic_s()
        outcome = await self._send(address, asked)
        if outcome.is_error() and outcome.error.kind is Kind.BROKEN:
            # A kept connection breaks when its peer restarts or dies. A new
            # one tells these apart: it is answered, or refused at once. An
            # exchange may be repeated.
            outcome = await self._send(address, asked)
        self._note_health(outcome)
        if outcome.is_error():
            if outcome.error.kind is Kind.REFUSED:
                # The host itself answers, so that we are not cut off.
                self._table.heard_network(self._clock.monotonic_s())
            return outcome.error
        heard = packing.unpack(Exchange(), outcome.ok)
        if heard.is_error():
            LOG.warning(f'{address} answered with {heard.error}')
            return None
        await self._take_answer(address, heard.ok, asked_s)
        return None

    async def _take_answer(
        self, address: Address, heard: Exchange, asked_s: float
    ) -> None:
        now_s = self._clock.monotonic_s()
        self.exchanges.receive(heard, address, now_s, asked_s)
        supplement = self.exchanges.supplement(heard)
        if supplement is not None:
            await self._send(address, supplement)

    async def _send(self, address: Address, asked: Exchange) -> rpc.CallResult:
        return await self._caller.call(
            address,
            'exchange',
            packing.pack(asked),
            self._table.bounds.probe_timeout_s * (1 + self._poor_health),
        )

    def _note_health(self, outcome: rpc.CallResult) -> None:
        # When many do not answer, the fault is likely here (Lifeguard, Dadgar
        # et al. 2018): a busy loop reads answers late. More patience then
        # keeps a process that is slow itself from doubting everybody.
        if outcome.is_ok():
            self._poor_health = max(self._poor_health - 1, 0)
            return
        if outcome.error.kind is Kind.TIMEOUT:
            self._poor_health = min(self._poor_health + 1, POOREST_HEALTH)
