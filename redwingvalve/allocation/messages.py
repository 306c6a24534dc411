"""Messages that nodes exchange about slots, and their encoding."""

import enum
import typing

import attrs

from redwingvalve.allocation import endpoint_reports
from redwingvalve.ingress import reservations, wait_queue
from redwingvalve.wire import structs

# Limit on the endpoints to avoid, and on the slow ones, in one request. Keeps
# the datagram within one packet.
MAX_NAMED_ENDPOINTS = 16
MAX_RESTING_ENDPOINTS = 24
_MS_IN_S = 1000.0
_Type = structs.Type


class MessageError(ValueError):
    """A datagram that cannot be decoded as a message about slots."""


class Outcome(enum.IntEnum):
    """Outcome of a request for a slot."""

    GRANTED = 1
    # The request waits; another reply follows.
    QUEUED = 2
    # No slot is free now, and the request must not wait.
    FULL = 3
    # The request would not get a slot in time.
    REFUSED = 4
    # The node that was asked knows of no endpoints in the pool.
    NO_ENDPOINTS = 5
    # Another node grants the slots of the pool now.
    MOVED = 6


@attrs.frozen
class Pool:
    """Identifies a pool: slots that one owner grants."""

    service: str
    # Empty for services without models.
    model: str
    # Empty if the pool spans the endpoints of all data centres.
    data_centre: str


@attrs.frozen
class Sender:
    """One incarnation of a node."""

    vm: str
    born_ms: int


@attrs.frozen
class Ask:
    """A request for a slot."""

    number: int
    pool: Pool
    may_wait: bool
    need: wait_queue.SlotRequest
    avoid: tuple[str, ...] = ()
    slow: tuple[str, ...] = ()
    # Endpoints that want no request from the asking node.
    resting: tuple[str, ...] = ()


@attrs.frozen
class Reply:
    """The answer to an Ask."""

    number: int
    outcome: Outcome
    endpoint_id: str = ''
    retry_after_s: float = 0
    # Expected wait for a slot.
    expected_wait_s: float = 0
    # Whether the granted endpoint has a rate limit.
    is_rate_limited: bool = False
    # Whether the owner knows that the granted endpoint is cold.
    is_cold: bool = False


@attrs.frozen
class Release:
    """Releases a slot, or cancels the request for one."""

    number: int
    leaving: reservations.ReleaseState = reservations.ReleaseState.FREE
    result: reservations.EndpointResult = reservations.EndpointResult.UNKNOWN


@attrs.frozen
class Holdings:
    """All slots of a pool that a node holds, by request number."""

    pool: Pool
    endpoint_ids: dict[int, str]
    # Client accounts by request number, without those that have none.
    accounts: dict[int, str] = attrs.field(factory=dict)
    # Starts of the endpoints' processes, as far as known.
    born_ms: dict[int, int] = attrs.field(factory=dict)


@attrs.frozen
class HoldingsRequest:
    """Asks a node for its Holdings of a pool."""

    pool: Pool


Message: typing.TypeAlias = (
    Ask
    | Reply
    | Release
    | Holdings
    | HoldingsRequest
    | endpoint_reports.EndpointReport
)


class Transport(typing.Protocol):
    """Sends messages to other nodes; messages may be lost."""

    def send(self, vm: str, message: Message) -> None:
        """Send a message to a node, or drop it if the node is unknown."""


@attrs.frozen
class Envelope:
    """A message and its sender."""

    sender: Sender
    message: Message


_PoolStruct: typing.Any = structs.make_struct(
    'Pool',
    (_Type.STRING, 'service'),
    (_Type.STRING, 'model'),
    (_Type.STRING, 'data_centre'),
)
_AskStruct: typing.Any = structs.make_struct(
    'Ask',
    (_Type.I64, 'number'),
    (_Type.STRUCT, 'pool', _PoolStruct),
    (_Type.BOOL, 'may_wait'),
    (_Type.I32, 'urgency'),
    (_Type.I32, 'on_time_ms'),
    (_Type.I32, 'wait_ms'),
    (_Type.BOOL, 'has_returned'),
    (_Type.BOOL, 'is_resumed'),
    (_Type.LIST, 'avoid', _Type.STRING),
    (_Type.LIST, 'slow', _Type.STRING),
    (_Type.BOOL, 'may_probe'),
    (_Type.LIST, 'resting', _Type.STRING),
    (_Type.STRING, 'account'),
    (_Type.STRING, 'kind'),
    (_Type.I32, 'size_rank'),
    (_Type.BOOL, 'is_hedge'),
)
_ReplyStruct: typing.Any = structs.make_struct(
    'Reply',
    (_Type.I64, 'number'),
    (_Type.I32, 'outcome'),
    (_Type.STRING, 'endpoint_id'),
    (_Type.I32, 'retry_after_ms'),
    (_Type.I32, 'expected_ms'),
    (_Type.BOOL, 'is_rate_limited'),
    (_Type.BOOL, 'is_cold'),
)
_ReleaseStruct: typing.Any = structs.make_struct(
    'Release',
    (_Type.I64, 'number'),
    (_Type.I32, 'leaving'),
    (_Type.I32, 'result'),
)
_HoldingsStruct: typing.Any = structs.make_struct(
    'Holdings',
    (_Type.STRUCT, 'pool', _PoolStruct),
    (_Type.MAP, 'endpoint_ids', (_Type.I64, _Type.STRING)),
    (_Type.MAP, 'accounts', (_Type.I64, _Type.STRING)),
    (_Type.MAP, 'born_ms', (_Type.I64, _Type.I64)),
)
_EnvelopeStruct: typing.Any = structs.make_struct(
    'Envelope',
    (_Type.STRING, 'vm'),
    (_Type.I64, 'born_ms'),
    (_Type.STRUCT, 'ask', _AskStruct),
    (_Type.STRUCT, 'reply', _ReplyStruct),
    (_Type.STRUCT, 'release', _ReleaseStruct),
    (_Type.STRUCT, 'holdings', _HoldingsStruct),
    (_Type.STRUCT, 'limits', endpoint_reports.EndpointReportStruct),
    (_Type.STRUCT, 'holdings_request', _PoolStruct),
)


def pack(envelope: Envelope) -> bytes:
    """Encode a message as a datagram."""
    struct = _EnvelopeStruct(
        vm=envelope.sender.vm, born_ms=envelope.sender.born_ms
    )
    message = envelope.message
    if isinstance(message, Ask):
        struct.ask = _ask_struct(message)
    elif isinstance(message, Reply):
        struct.reply = _reply_struct(message)
    elif isinstance(message, Release):
        struct.release = _ReleaseStruct(
            number=message.number,
            leaving=message.leaving.value,
            result=message.result.value,
        )
    elif isinstance(message, endpoint_reports.EndpointReport):
        struct.limits = endpoint_reports.to_struct(message)
    else:
        _set_holdings(struct, message)
    return structs.pack_datagram(struct)


def _reply_struct(reply: Reply) -> typing.Any:
    return _ReplyStruct(
        number=reply.number,
        outcome=int(reply.outcome),
        endpoint_id=reply.endpoint_id,
        retry_after_ms=_ms(reply.retry_after_s),
        expected_ms=_ms(reply.expected_wait_s),
        is_rate_limited=reply.is_rate_limited,
        is_cold=reply.is_cold,
    )


def _set_holdings(
    struct: typing.Any, message: Holdings | HoldingsRequest
) -> None:
    if isinstance(message, HoldingsRequest):
        struct.holdings_request = _pool_struct(message.pool)
        return
    struct.holdings = _HoldingsStruct(
        pool=_pool_struct(message.pool),
        endpoint_ids=message.endpoint_ids,
        accounts=message.accounts,
        born_ms=message.born_ms,
    )


def unpack(packed: bytes) -> Envelope:
    """Decode a datagram; raises MessageError."""
    try:
        struct = structs.unpack_datagram(packed, _EnvelopeStruct)
        sender = Sender(_non_empty_text(struct.vm), _integer(struct.born_ms))
        return Envelope(sender, _read(struct))
    except (structs.StructError, AttributeError, TypeError) as error:
        raise MessageError(str(error)) from error


def _read(struct: typing.Any) -> Message:
    if struct.ask is not None:
        return _read_ask(struct.ask)
    if struct.reply is not None:
        return _read_reply(struct.reply)
    if struct.release is not None:
        return _read_release(struct.release)
    if struct.holdings is not None:
        return Holdings(
            _read_pool(struct.holdings.pool),
            dict(struct.holdings.endpoint_ids or {}),
            dict(struct.holdings.accounts or {}),
            dict(struct.holdings.born_ms or {}),
        )
    if struct.limits is not None:
        return endpoint_reports.from_struct(struct.limits)
    if struct.holdings_request is not None:
        return HoldingsRequest(_read_pool(struct.holdings_request))
    raise MessageError('datagram contains no known message')


def _ask_struct(ask: Ask) -> typing.Any:
    need = ask.need
    return _AskStruct(
        number=ask.number,
        pool=_pool_struct(ask.pool),
        may_wait=ask.may_wait,
        urgency=need.urgency,
        on_time_ms=_ms(need.on_time_s),
        wait_ms=_ms(need.wait_s),
        has_returned=need.has_returned,
        is_resumed=need.is_resumed,
        avoid=list(ask.avoid[:MAX_NAMED_ENDPOINTS]),
        slow=list(ask.slow[:MAX_NAMED_ENDPOINTS]),
        may_probe=need.may_probe,
        resting=list(ask.resting[:MAX_RESTING_ENDPOINTS]),
        account=need.account,
        kind=need.kind,
        size_rank=need.size_rank,
        is_hedge=need.is_hedge,
    )


def _read_ask(struct: typing.Any) -> Ask:
    need = wait_queue.SlotRequest(
        urgency=_integer(struct.urgency),
        on_time_s=_integer(struct.on_time_ms) / _MS_IN_S,
        wait_s=_integer(struct.wait_ms) / _MS_IN_S,
        has_returned=bool(struct.has_returned),
        is_resumed=bool(struct.is_resumed),
        may_probe=bool(struct.may_probe),
        account=struct.account or '',
        kind=struct.kind or '',
        size_rank=struct.size_rank or 0,
        is_hedge=bool(struct.is_hedge),
    )
    return Ask(
        number=_integer(struct.number),
        pool=_read_pool(struct.pool),
        may_wait=bool(struct.may_wait),
        need=need,
        avoid=tuple(struct.avoid or ()),
        slow=tuple(struct.slow or ()),
        resting=tuple(struct.resting or ()),
    )


def _read_reply(struct: typing.Any) -> Reply:
    try:
        outcome = Outcome(struct.outcome)
    except ValueError as error:
        raise MessageError(f'unknown outcome {struct.outcome!r}') from error
    return Reply(
        number=_integer(struct.number),
        outcome=outcome,
        endpoint_id=struct.endpoint_id or '',
        retry_after_s=(struct.retry_after_ms or 0) / _MS_IN_S,
        expected_wait_s=(struct.expected_ms or 0) / _MS_IN_S,
        is_rate_limited=bool(struct.is_rate_limited),
        is_cold=bool(struct.is_cold),
    )


def _read_release(struct: typing.Any) -> Release:
    try:
        leaving = reservations.ReleaseState(struct.leaving)
        result = reservations.EndpointResult(struct.result or 0)
    except ValueError as error:
        raise MessageError(f'invalid release: {error}') from error
    return Release(_integer(struct.number), leaving, result)


def _pool_struct(pool: Pool) -> typing.Any:
    return _PoolStruct(
        service=pool.service, model=pool.model, data_centre=pool.data_centre
    )


def _read_pool(struct: typing.Any) -> Pool:
    return Pool(
        _non_empty_text(struct.service),
        struct.model or '',
        struct.data_centre or '',
    )


def _ms(seconds: float) -> int:
    return int(min(seconds, 1e6) * _MS_IN_S)


def _non_empty_text(value: typing.Any) -> str:
    if not value:
        raise MessageError('missing or empty text field')
    return str(value)


def _integer(value: typing.Any) -> int:
    if not isinstance(value, int):
        raise MessageError('missing or invalid integer field')
    return value
