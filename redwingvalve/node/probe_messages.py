"""Messages by which nodes probe endpoints for each other.

The fields are declared in node.thrift and repeated here.
"""

import typing

import attrs

from redwingvalve.fleet import endpoints
from redwingvalve.platform import endpoint_orders
from redwingvalve.wire import structs

_MAX_PORT = 65535
_Type = structs.Type
_struct = structs.make_struct
ProbeAsk: typing.Any = _struct(
    'ProbeAsk',
    (_Type.I64, 'number'),
    (_Type.STRING, 'endpoint_id'),
    (_Type.STRING, 'host'),
    (_Type.I32, 'port'),
)
ProbedMembership: typing.Any = _struct(
    'ProbedMembership',
    (_Type.STRING, 'replica'),
    (_Type.I64, 'epoch'),
    (_Type.I32, 'rank'),
    (_Type.STRING, 'state'),
)
ProbeReply: typing.Any = _struct(
    'ProbeReply',
    (_Type.I64, 'number'),
    (_Type.STRING, 'endpoint_id'),
    (_Type.BOOL, 'is_answered'),
    (_Type.I64, 'born_ms'),
    (_Type.STRUCT, 'membership', ProbedMembership),
)
ProbeMessage: typing.Any = _struct(
    'ProbeMessage',
    (_Type.STRUCT, 'ask', ProbeAsk),
    (_Type.STRUCT, 'reply', ProbeReply),
)


class MessageError(ValueError):
    """A datagram that cannot be decoded as a message about a probe."""


@attrs.frozen
class Ask:
    """Asks a node to request an endpoint's report once."""

    # Tells the asks of one process apart.
    number: int
    endpoint_id: str
    host: str
    port: int


@attrs.frozen
class Reply:
    """What the asked node got from the endpoint."""

    number: int
    endpoint_id: str
    # None if it got no report. The models on the endpoint's host are left out.
    report: endpoint_orders.Report | None


def pack(message: Ask | Reply) -> bytes:
    """Encode a message as a datagram."""
    if isinstance(message, Ask):
        return structs.pack(ProbeMessage(ask=ProbeAsk(**attrs.asdict(message))))
    return structs.pack(ProbeMessage(reply=_reply_struct(message)))


def unpack(packed: bytes) -> Ask | Reply:
    """Decode a datagram; raises MessageError."""
    try:
        struct = structs.unpack(packed, ProbeMessage, is_checked=True)
        if struct.ask is not None:
            return _read_ask(struct.ask)
        if struct.reply is not None:
            return _read_reply(struct.reply)
    except (structs.StructError, AttributeError, TypeError) as error:
        raise MessageError(str(error)) from error
    raise MessageError('datagram contains no known message')


def _reply_struct(reply: Reply) -> typing.Any:
    struct = ProbeReply(number=reply.number, endpoint_id=reply.endpoint_id)
    report = reply.report
    struct.is_answered = report is not None
    if report is None:
        return struct
    struct.born_ms = report.born_ms
    membership = report.membership
    if membership is not None:
        struct.membership = ProbedMembership(
            replica=membership.replica,
            epoch=membership.epoch,
            rank=membership.rank,
            state=membership.state.value,
        )
    return struct


def _read_ask(struct: typing.Any) -> Ask:
    port = _integer(struct.port)
    if not 0 < port <= _MAX_PORT:
        raise MessageError(f'invalid port {port}')
    return Ask(
        _integer(struct.number),
        _non_empty_text(struct.endpoint_id),
        _non_empty_text(struct.host),
        port,
    )


def _read_reply(struct: typing.Any) -> Reply:
    report = None
    if struct.is_answered:
        report = endpoint_orders.Report(
            _integer(struct.born_ms), _read_membership(struct.membership), ()
        )
    return Reply(
        _integer(struct.number), _non_empty_text(struct.endpoint_id), report
    )


def _read_membership(struct: typing.Any) -> endpoints.Membership | None:
    if struct is None:
        return None
    try:
        state = endpoints.MemberState(struct.state)
    except ValueError as error:
        raise MessageError(f'unknown state {struct.state!r}') from error
    return endpoints.Membership(
        _non_empty_text(struct.replica),
        _integer(struct.epoch),
        _integer(struct.rank),
        state,
    )


def _non_empty_text(value: typing.Any) -> str:
    if not value or not isinstance(value, str):
        raise MessageError('missing or invalid text field')
    return value


def _integer(value: typing.Any) -> int:
    if not isinstance(value, int):
        raise MessageError('missing or invalid integer field')
    return value
