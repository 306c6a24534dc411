"""Packs and reads the datagrams between nodes."""

import pathlib
import typing

import thriftpy2
from thriftpy2 import utils
from thriftpy2.protocol import cybin

_THRIFT = thriftpy2.load(
    str(pathlib.Path(__file__).with_name('node.thrift')),
    module_name='redwingvalve_node_thrift',
)
NodeWord: typing.Any = _THRIFT.NodeWord
AddressWord: typing.Any = _THRIFT.AddressWord
ClearWord: typing.Any = _THRIFT.ClearWord
SuspectWord: typing.Any = _THRIFT.SuspectWord
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
