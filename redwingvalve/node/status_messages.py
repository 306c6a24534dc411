"""Encodes and decodes the status messages between nodes.

The fields are declared in node.thrift and repeated here.
"""

import typing

from redwingvalve.wire import structs

_Type = structs.Type
_struct = structs.make_struct
NodeAddress: typing.Any = _struct(
    'NodeAddress',
    (_Type.STRING, 'ip'),
    (_Type.I32, 'peer_port'),
    (_Type.STRING, 'front'),
    (_Type.STRING, 'data_centre'),
    (_Type.DOUBLE, 'link_mbps'),
)
ClearedEndpoint: typing.Any = _struct(
    'ClearedEndpoint',
    (_Type.STRING, 'endpoint_id'),
    (_Type.I64, 'epoch'),
    (_Type.I32, 'age_ms'),
    (_Type.I64, 'born_ms'),
)
SuspectedEndpoint: typing.Any = _struct(
    'SuspectedEndpoint',
    (_Type.STRING, 'endpoint_id'),
    (_Type.I64, 'epoch'),
    (_Type.I32, 'left_ms'),
    (_Type.I32, 'age_ms'),
    (_Type.I64, 'born_ms'),
)
PeerState: typing.Any = _struct(
    'PeerState',
    (_Type.STRING, 'vm'),
    (_Type.I64, 'born_ms'),
    (_Type.BOOL, 'is_up'),
    (_Type.BOOL, 'is_leaving'),
    (_Type.BOOL, 'is_ready'),
    (_Type.STRUCT, 'address', NodeAddress),
)
PeerUsage: typing.Any = _struct(
    'PeerUsage',
    (_Type.STRING, 'vm'),
    (_Type.MAP, 'usage', (_Type.STRING, _Type.I32)),
)
BrokenRun: typing.Any = _struct(
    'BrokenRun',
    (_Type.I64, 'fingerprint'),
    (_Type.STRING, 'endpoint_id'),
    (_Type.I64, 'born_ms'),
    (_Type.I32, 'age_ms'),
    (_Type.BOOL, 'is_crash'),
    (_Type.LIST, 'suspects', _Type.I64),
    (_Type.I32, 'lasted_ms'),
    (_Type.I32, 'number'),
)
AnsweredRequest: typing.Any = _struct(
    'AnsweredRequest',
    (_Type.I64, 'key'),
    (_Type.I32, 'age_ms'),
)
CutOffReport: typing.Any = _struct(
    'CutOffReport',
    (_Type.STRING, 'data_centre'),
    (_Type.I32, 'age_ms'),
    (_Type.LIST, 'nodes', _Type.I32),
)
StatusMessage: typing.Any = _struct(
    'StatusMessage',
    (_Type.STRING, 'vm'),
    (_Type.I64, 'born_ms'),
    (_Type.I64, 'number'),
    (_Type.BOOL, 'is_leaving'),
    (_Type.BOOL, 'is_ready'),
    None,
    (_Type.LIST, 'suspects', (_Type.STRUCT, SuspectedEndpoint)),
    (_Type.I64, 'lease_revision'),
    (_Type.I32, 'lease_left_ms'),
    (_Type.BOOL, 'has_served'),
    (_Type.LIST, 'cleared', (_Type.STRUCT, ClearedEndpoint)),
    None,
    (_Type.STRUCT, 'address', NodeAddress),
    None,
    None,
    (_Type.MAP, 'usage', (_Type.STRING, _Type.I32)),
    (_Type.LIST, 'states', (_Type.STRUCT, PeerState)),
    (_Type.LIST, 'usages', (_Type.STRUCT, PeerUsage)),
    (_Type.LIST, 'broken_runs', (_Type.STRUCT, BrokenRun)),
    (_Type.LIST, 'answers', (_Type.STRUCT, AnsweredRequest)),
    (_Type.BOOL, 'asks_reply'),
    (_Type.I64, 'evacuation_revision'),
    (_Type.LIST, 'evacuated', _Type.STRING),
    (_Type.BOOL, 'is_cut_off'),
    (_Type.LIST, 'cut_off_reports', (_Type.STRUCT, CutOffReport)),
)


class StatusMessageError(ValueError):
    """A datagram that isn't a valid status message."""


def pack(message: typing.Any) -> bytes:
    """Return the encoded message."""
    return structs.pack_datagram(message)


def unpack(packed: bytes) -> typing.Any:
    """Return the decoded message; raises StatusMessageError."""
    try:
        message = structs.unpack_datagram(packed, StatusMessage)
    except structs.StructError as error:
        raise StatusMessageError(str(error)) from error
    if not message.vm or message.number is None:
        raise StatusMessageError('required field missing: vm or number')
    return message
