"""Thrift structs without their declaration file, and their bytes.

Reading a .thrift file takes 0.05 s of processor time at each start, while
callers wait.
"""

import typing

from thriftpy2 import thrift, utils
from thriftpy2.protocol import cybin

Type = thrift.TType
_FACTORY = cybin.TCyBinaryProtocolFactory()


class StructError(ValueError):
    """Bytes that are no such struct."""


def make_struct(
    name: str, *fields: tuple[typing.Any, ...] | None
) -> typing.Any:
    """Return a struct with fields of type, name and, if nested, content.

    Fields are numbered from 1; None stands for one that is no longer used.
    """
    members = {
        'thrift_spec': {
            number: (*field, False)
            for number, field in enumerate(fields, 1)
            if field is not None
        },
        'default_spec': [
            (field[1], None) for field in fields if field is not None
        ],
    }
    return thrift.TPayloadMeta(name, (thrift.TPayload,), members)


def pack(struct: typing.Any) -> bytes:
    """Return the bytes of a struct."""
    return utils.serialize(struct, _FACTORY)


def unpack(packed: bytes, kind: typing.Any) -> typing.Any:
    """Return the struct of a kind in some bytes; raises StructError."""
    try:
        return utils.deserialize(kind(), packed, _FACTORY)
    except Exception as error:
        # The codec raises many kinds for bytes that are no struct.
        raise StructError(str(error)) from error
