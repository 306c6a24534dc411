"""Checks what encoded structs claim to hold before they are decoded.

Load pattern: a datagram of forty bytes claims a list of two thousand million
elements, of a type that takes no bytes. Codecs go through all of them, which
takes many minutes, or allocate a text as long as it claims to be. Here claims
of unknown types, of more bytes than there are and of too many elements are
errors, so that the work is linear in the bytes.
"""

import struct
import types
import typing

from thriftpy2 import thrift

_Type = thrift.TType
_SIZES_BYTES: typing.Final = types.MappingProxyType(
    {
        _Type.BOOL: 1,
        _Type.BYTE: 1,
        _Type.I16: 2,
        _Type.I32: 4,
        _Type.I64: 8,
        _Type.DOUBLE: 8,
    }
)
_COUNT = struct.Struct('!i')
_FIELD_ID_BYTES = 2
# Messages between nodes have four levels.
MAX_DEPTH: typing.Final = 16
# Messages between nodes have some hundred.
MAX_ELEMENTS: typing.Final = 8192


class ClaimError(ValueError):
    """Bytes that claim more than there is, or hold unknown types."""


def check(packed: bytes) -> None:
    """Check an encoded struct; raises ClaimError. Later bytes are ignored."""
    try:
        _Walk(packed).pass_struct(0)
    except (IndexError, struct.error) as error:
        raise ClaimError('ends inside a struct') from error


class _Walk:
    def __init__(self, packed: bytes) -> None:
        self._packed = packed
        self._position = 0
        self._elements_left = MAX_ELEMENTS
        self._passes = {
            _Type.STRING: self._pass_text,
            _Type.STRUCT: self.pass_struct,
            _Type.MAP: self._pass_map,
            _Type.SET: self._pass_list,
            _Type.LIST: self._pass_list,
        }

    def pass_struct(self, depth: int) -> None:
        if depth > MAX_DEPTH:
            raise ClaimError('nested too deep')
        kind = self._read_type()
        while kind != _Type.STOP:
            self._pass_bytes(_FIELD_ID_BYTES)
            self._pass_content(kind, depth + 1)
            kind = self._read_type()

    def _pass_content(self, kind: int, depth: int) -> None:
        size_bytes = _SIZES_BYTES.get(kind)
        if size_bytes is not None:
            self._pass_bytes(size_bytes)
            return
        pass_kind = self._passes.get(kind)
        if pass_kind is None:
            raise ClaimError(f'unknown type {kind}')
        pass_kind(depth)

    def _pass_text(self, depth: int) -> None:
        self._pass_bytes(self._read_count())

    def _pass_map(self, depth: int) -> None:
        self._pass_elements((self._read_type(), self._read_type()), depth)

    def _pass_list(self, depth: int) -> None:
        self._pass_elements((self._read_type(),), depth)

    def _pass_elements(self, kinds: tuple[int, ...], depth: int) -> None:
        if depth > MAX_DEPTH:
            raise ClaimError('nested too deep')
        count = self._read_count()
        self._elements_left -= count
        if self._elements_left < 0:
            raise ClaimError(f'over {MAX_ELEMENTS} elements')
        for _ in range(count):
            for kind in kinds:
                self._pass_content(kind, depth + 1)

    def _read_type(self) -> int:
        self._position += 1
        return self._packed[self._position - 1]

    def _read_count(self) -> int:
        count = int(_COUNT.unpack_from(self._packed, self._position)[0])
        self._pass_bytes(_COUNT.size)
        if count < 0:
            raise ClaimError(f'a count of {count}')
        return count

    def _pass_bytes(self, size_bytes: int) -> None:
        self._position += size_bytes
        if self._position > len(self._packed):
            raise ClaimError('ends inside a field')
