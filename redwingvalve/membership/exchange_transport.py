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
MAX_HEALTH_SCORE = 4


class ExchangeTransport:
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
        self._health_score = 0
        self._clock = timers

    async def answer(self, packed: bytes) -> bytes:
        """Take a packed exchange and return one; ValueError if unsound."""
        received = packing.unpack(Exchange(), packed)
        if received.is_error():
            raise ValueError(received.error)
        now_s = self._clock.monotonic_s()
        if not self.exchanges.receive(received.ok, None, now_s):
            raise ValueError('an exchange without a sender')
        return packing.pack(self.exchanges.make_reply(received.ok, now_s))

    async def exchange_with(
        self, member: members.Member
    ) -> call_errors.CallError | None:
        """Exchange with a member; the error, or None when it answered."""
        now_s = self._clock.monotonic_s()
        request = self.exchanges.make_request(member.name, member.region, now_s)
        return await self._ask((member.host, member.peer_port), request)

    async def exchange_with_address(
        self, address: Address
    ) -> call_errors.CallError | None:
        """Exchange with whoever listens there."""
        now_s = self._clock.monotonic_s()
        return await self._ask(
            address, self.exchanges.make_request('', '', now_s)
        )

    async def _ask(
        self, address: Address, request: Exchange
    ) -> call_errors.CallError | None:
        sent_s = self._clock.monotonic_s()
        outcome = await self._send(address, request)
        if outcome.is_error() and outcome.error.kind is Kind.BROKEN:
            # A kept connection breaks when its peer restarts or dies. A new
            # one tells these apart: it is answered, or refused at once. An
            # exchange may be repeated.
            outcome = await self._send(address, request)
        self._record_health(outcome)
        if outcome.is_error():
            if outcome.error.kind is Kind.REFUSED:
                # The host itself answers, so that we are not cut off.
                self._table.record_connectivity(self._clock.monotonic_s())
            return outcome.error
        received = packing.unpack(Exchange(), outcome.ok)
        if received.is_error():
            LOG.warning(f'{address} answered with {received.error}')
            return None
        await self._receive_reply(address, received.ok, sent_s)
        return None

    async def _receive_reply(
        self, address: Address, received: Exchange, sent_s: float
    ) -> None:
        now_s = self._clock.monotonic_s()
        self.exchanges.receive(received, address, now_s, sent_s)
        supplement = self.exchanges.make_follow_up(received)
        if supplement is not None:
            await self._send(address, supplement)

    async def _send(
        self, address: Address, request: Exchange
    ) -> rpc.CallResult:
        return await self._caller.call(
            address,
            'exchange',
            packing.pack(request),
            self._table.bounds.probe_timeout_s * (1 + self._health_score),
        )

    def _record_health(self, outcome: rpc.CallResult) -> None:
        # When many do not answer, the fault is likely here (Lifeguard, Dadgar
        # et al. 2018): a busy loop reads answers late. More patience then
        # keeps a process that is slow itself from doubting everybody.
        if outcome.is_ok():
            self._health_score = max(self._health_score - 1, 0)
            return
        if outcome.error.kind is Kind.TIMEOUT:
            self._health_score = min(self._health_score + 1, MAX_HEALTH_SCORE)
