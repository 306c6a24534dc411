"""Sends and answers exchanges over the network."""

from redwingvalve.core import clock
from redwingvalve.membership import exchanges, members, table
from redwingvalve.observability import logs
from redwingvalve.wire import call_errors, messages, packing, rpc

LOG = logs.make_logger('membership')
Address = tuple[str, int]
Kind = call_errors.CallErrorKind
Exchange = messages.peer.Exchange
# The probe timeout is multiplied by one plus the health score.
MAX_HEALTH_SCORE = 4


class ExchangeTransport:
    """Starts exchanges with members and answers those of others."""

    def __init__(
        self,
        member_table: table.MemberTable,
        caller: rpc.PeerCaller,
        timers: clock.Clock,
    ) -> None:
        """Exchange the contents of member_table."""
        self.exchanges = exchanges.Exchanges(member_table)
        self._table = member_table
        self._caller = caller
        self._health_score = 0
        self._clock = timers

    async def answer(self, packed: bytes) -> bytes:
        """Process a packed exchange and return the reply.

        Raises ValueError if the exchange is invalid.
        """
        received = packing.unpack(Exchange(), packed)
        if received.is_error():
            raise ValueError(received.error)
        now_s = self._clock.monotonic_s()
        if not self.exchanges.receive(received.ok, None, now_s):
            raise ValueError('exchange has no valid sender')
        return packing.pack(self.exchanges.make_reply(received.ok, now_s))

    async def exchange_with(
        self, member: members.Member
    ) -> call_errors.CallError | None:
        """Exchange with a member; return the error, or None on success."""
        now_s = self._clock.monotonic_s()
        request = self.exchanges.make_request(member.name, member.region, now_s)
        return await self._ask(
            (member.host, member.peer_port), request, member.incarnation
        )

    async def exchange_with_address(
        self, address: Address
    ) -> call_errors.CallError | None:
        """Exchange with the process that listens at an address."""
        now_s = self._clock.monotonic_s()
        return await self._ask(
            address, self.exchanges.make_request('', '', now_s)
        )

    async def _ask(
        self, address: Address, request: Exchange, incarnation: int = 0
    ) -> call_errors.CallError | None:
        sent_s = self._clock.monotonic_s()
        outcome = await self._send(address, request)
        if outcome.is_error() and outcome.error.kind is Kind.BROKEN:
            # A pooled connection breaks when its peer restarts or dies. A new
            # connection distinguishes the two: it is answered, or refused
            # at once. Exchanges are idempotent, so the retry is safe.
            outcome = await self._send(address, request)
        self._record_health(outcome)
        if outcome.is_error():
            if outcome.error.kind is Kind.REFUSED:
                # The host refused the connection, so the network is
                # reachable and this process is not cut off.
                self._table.record_connectivity(self._clock.monotonic_s())
            return outcome.error
        received = packing.unpack(Exchange(), outcome.ok)
        if received.is_error():
            LOG.warning(
                f'invalid exchange reply from {address}: {received.error}'
            )
            return None
        await self._receive_reply(address, received.ok, sent_s)
        if _incarnation_of(received.ok) < incarnation:
            # The address belongs to another process now.
            return call_errors.CallError(
                Kind.REFUSED, 'an earlier incarnation answered'
            )
        return None

    async def _receive_reply(
        self, address: Address, received: Exchange, sent_s: float
    ) -> None:
        now_s = self._clock.monotonic_s()
        self.exchanges.receive(received, address, now_s, sent_s)
        follow_up = self.exchanges.make_follow_up(received)
        if follow_up is not None:
            await self._send(address, follow_up)

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
        # Local health score as in Lifeguard (Dadgar et al. 2018): when many
        # peers time out, the fault is probably local, as a busy event loop
        # reads replies late. Longer timeouts then keep a slow process from
        # suspecting all of its peers.
        if outcome.is_ok():
            self._health_score = max(self._health_score - 1, 0)
            return
        if outcome.error.kind is Kind.TIMEOUT:
            self._health_score = min(self._health_score + 1, MAX_HEALTH_SCORE)


def _incarnation_of(received: Exchange) -> int:
    if received.sender is None:
        return 0
    return received.sender.incarnation or 0
