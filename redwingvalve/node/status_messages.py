"""Packs and reads the datagrams between nodes.

node.thrift declares them; their fields stand here once more.
"""

import typing

from redwingvalve.wire import structs

_Type = structs.Type
_struct = structs.make_struct
AddressWord: typing.Any = _struct(
    'AddressWord',
    (_Type.STRING, 'ip'),
    (_Type.I32, 'peer_port'),
    (_Type.STRING, 'front'),
    (_Type.STRING, 'data_centre'),
    (_Type.DOUBLE, 'link_mbps'),
)
ClearWord: typing.Any = _struct(
    'ClearWord',
    (_Type.STRING, 'endpoint_id'),
    (_Type.I64, 'epoch'),
    (_Type.I32, 'age_ms'),
)
SuspectWord: typing.Any = _struct(
    'SuspectWord',
    (_Type.STRING, 'endpoint_id'),
    (_Type.I64, 'epoch'),
    (_Type.I32, 'left_ms'),
)
StateWord: typing.Any = _struct(
    'StateWord',
    (_Type.STRING, 'vm'),
    (_Type.I64, 'born_ms'),
    (_Type.BOOL, 'is_up'),
    (_Type.BOOL, 'is_leaving'),
    (_Type.BOOL, 'is_ready'),
    (_Type.STRUCT, 'address', AddressWord),
)
UsageWord: typing.Any = _struct(
    'UsageWord',
    (_Type.STRING, 'vm'),
    (_Type.MAP, 'usage', (_Type.STRING, _Type.I32)),
)
NodeWord: typing.Any = _struct(
    'NodeWord',
    (_Type.STRING, 'vm'),
    (_Type.I64, 'born_ms'),
    (_Type.I64, 'number'),
    (_Type.BOOL, 'is_leaving'),
    (_Type.BOOL, 'is_ready'),
    None,
    (_Type.LIST, 'suspects', (_Type.STRUCT, SuspectWord)),
    (_Type.I64, 'lease_revision'),
    (_Type.I32, 'lease_left_ms'),
    (_Type.BOOL, 'has_served'),
    (_Type.LIST, 'cleared', (_Type.STRUCT, ClearWord)),
    (_Type.MAP, 'crashes', (_Type.I64, _Type.I32)),
    (_Type.STRUCT, 'address', AddressWord),
    None,
    None,
    (_Type.MAP, 'usage', (_Type.STRING, _Type.I32)),
    (_Type.LIST, 'states', (_Type.STRUCT, StateWord)),
    (_Type.LIST, 'usages', (_Type.STRUCT, UsageWord)),
)


class WordError(ValueError):
    """A datagram that is no word of a node."""


def pack(word: typing.Any) -> bytes:
    """Return the bytes of a word."""
    return structs.pack(word)


def unpack(packed: bytes) -> typing.Any:
    """Return the word in a datagram; raises WordError."""
    try:
        word = structs.unpack(packed, NodeWord)
    except structs.StructError as error:
        raise WordError(str(error)) from error
    if not word.vm or word.number is None:
        raise WordError('fields are missing')
    return word
