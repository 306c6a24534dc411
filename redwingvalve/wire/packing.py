"""Packs large messages with thriftpy2's compiled codec.

The asyncio protocol of thriftpy2 awaits each field, which costs a
millisecond for a message of some hundred fields; one compiled call over a
whole buffer costs a few dozen microseconds. Large messages therefore travel
as one binary field of a small call.
"""

import typing

from expression import Error, Ok, Result
from thriftpy2 import thrift, utils
from thriftpy2.protocol import cybin
from thriftpy2.protocol import exc as protocol_exc
from thriftpy2.transport import TTransportException

StructType = typing.TypeVar('StructType')

MAX_PACKED_BYTES = 1_000_000
_FACTORY = cybin.TCyBinaryProtocolFactory()
_DECODE_ERRORS = (
    EOFError,
    ValueError,
    TypeError,
    MemoryError,
    OverflowError,
    thrift.TException,
    protocol_exc.TProtocolException,
    TTransportException,
)


def pack(message: typing.Any) -> bytes:
    """Return the bytes of a thrift struct."""
    return utils.serialize(message, _FACTORY)


def unpack(empty: StructType, packed: bytes) -> Result[StructType, str]:
    """Fill an empty struct from bytes, or say why that failed."""
    if len(packed) > MAX_PACKED_BYTES:
        return Error(f'{len(packed)} bytes are more than a message may have')
    try:
        return Ok(utils.deserialize(empty, packed, _FACTORY))
    except _DECODE_ERRORS as error:
        return Error(f'not a message: {error}')
