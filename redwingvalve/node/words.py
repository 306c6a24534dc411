"""Packs and reads the datagrams between nodes.

node.thrift declares them. Its fields stand here once more, since reading that
file takes 0.05 s of processor time at each start, while callers wait.
"""

import typing

from thriftpy2 import thrift, utils
from thriftpy2.protocol import cybin

_Type = thrift.TType


def _struct(name: str, *fields: tuple[typing.Any, ...]) -> typing.Any:
    """Return a struct with fields of type, name and, if nested, content."""
    members = {
        'thrift_spec': {
            number: (*field, False) for number, field in enumerate(fields, 1)
        },
        'default_spec': [(field[1], None) for field in fields],
    }
    return thrift.TPayloadMeta(name, (thrift.TPayload,), members)


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
NodeWord: typing.Any = _struct(
    'NodeWord',
    (_Type.STRING, 'vm'),
    (_Type.I64, 'born_ms'),
    (_Type.I64, 'number'),
    (_Type.BOOL, 'is_leaving'),
    (_Type.BOOL, 'is_ready'),
    (_Type.MAP, 'loads', (_Type.STRING, _Type.I32)),
    (_Type.LIST, 'suspects', (_Type.STRUCT, SuspectWord)),
    (_Type.I64, 'lease_revision'),
    (_Type.I32, 'lease_left_ms'),
    (_Type.BOOL, 'has_served'),
    (_Type.LIST, 'cleared', (_Type.STRUCT, ClearWord)),
    (_Type.MAP, 'crashes', (_Type.I64, _Type.I32)),
    (_Type.STRUCT, 'address', AddressWord),
    (_Type.MAP, 'wanting', (_Type.STRING, _Type.I32)),
    (_Type.STRING, 'handoff'),
)
_FACTORY = cybin.TCyBinaryProtocolFactory()


class WordError(ValueError):
    """A datagram that is no word of a node."""


def pack(word: typing.Any) -> bytes:
    """Return the bytes of a word."""
    return utils.serialize(word, _FACTORY)


def unpack(packed: bytes) -> typing.Any:
    """Return the word in a datagram; raises WordError."""
    try:
        word = utils.deserialize(NodeWord(), packed, _FACTORY)
    except Exception as error:
        # The codec raises many kinds for bytes that are no struct.
        raise WordError(str(error)) from error
    if not word.vm or word.number is None:
        raise WordError('fields are missing')
    return word
