"""Framed thrift messages, encoded and decoded by thriftpy2's compiled codec.

thriftpy2's asyncio protocol awaits each field of a message in Python. An idle
member makes and answers six calls a second, and that decoding was a third of
their cost. Here a frame is read completely and then decoded by the compiled
codec in one call. The bytes on the wire are the same framed binary protocol.
"""

import asyncio
import struct
import typing
from collections import abc as collections_abc

import attrs
from thriftpy2 import thrift, transport
from thriftpy2.protocol import cybin
from thriftpy2.protocol import exc as protocol_exc

from redwingvalve.wire import messages, traffic

SERVICE = messages.peer.Peer
LENGTH = struct.Struct('!i')
# The largest messages are copies of request keys and configuration records. A
# larger length cannot come from a peer and must not exhaust the memory.
MAX_FRAME_BYTES = 64_000_000
CONNECTION_ERRORS = (
    OSError,
    EOFError,
    transport.TTransportException,
    protocol_exc.TProtocolException,
)
DECODE_ERRORS = (
    cybin.ProtocolError,
    ValueError,
    TypeError,
    OverflowError,
    MemoryError,
)
_FACTORY = cybin.TCyBinaryProtocolFactory()


@attrs.frozen
class Call:
    """A decoded call; method is '' if the service has no such method."""

    name: str
    sequence: int
    method: str = ''
    arguments: tuple[typing.Any, ...] = ()


async def read_frame(
    reader: asyncio.StreamReader, counted: traffic.Traffic
) -> bytes:
    """Read one frame; raises one of CONNECTION_ERRORS on failure."""
    header = await reader.readexactly(LENGTH.size)
    length = LENGTH.unpack(header)[0]
    if not 0 <= length <= MAX_FRAME_BYTES:
        raise protocol_exc.TProtocolException(
            protocol_exc.TProtocolException.SIZE_LIMIT,
            f'a frame of {length} bytes',
        )
    frame = await reader.readexactly(length)
    counted.received_bytes += LENGTH.size + length
    return frame


async def write_frame(
    writer: asyncio.StreamWriter, frame: bytes, counted: traffic.Traffic
) -> None:
    """Write one frame and wait until the write buffer has drained."""
    counted.sent_bytes += LENGTH.size + len(frame)
    writer.write(LENGTH.pack(len(frame)) + frame)
    await writer.drain()


def encode_call(method: str, argument: typing.Any) -> bytes:
    """Return the encoded call with one argument."""
    arguments = getattr(SERVICE, f'{method}_args')()
    for _, name, *_ in arguments.thrift_spec.values():
        setattr(arguments, name, argument)
    return _encode(method, thrift.TMessageType.CALL, 0, arguments)


def decode_call(frame: bytes) -> Call:
    """Decode the call in a frame."""
    protocol = _FACTORY.get_protocol(transport.TMemoryBuffer(frame))
    name, _, sequence = _decode(protocol.read_message_begin)
    if name not in SERVICE.thrift_services:
        return Call(name, sequence)
    arguments = getattr(SERVICE, f'{name}_args')()
    _decode(arguments.read, protocol)
    return Call(
        name,
        sequence,
        method=name,
        arguments=tuple(
            getattr(arguments, each)
            for _, each, *_ in arguments.thrift_spec.values()
        ),
    )


def encode_reply(call: Call, answer: typing.Any) -> bytes:
    """Return the encoded reply to a call."""
    outcome = getattr(SERVICE, f'{call.method}_result')(success=answer)
    return _encode(call.name, thrift.TMessageType.REPLY, call.sequence, outcome)


def encode_exception(
    call: Call, failure: thrift.TApplicationException
) -> bytes:
    """Return the encoded exception for a failed call."""
    return _encode(
        call.name, thrift.TMessageType.EXCEPTION, call.sequence, failure
    )


def decode_reply(method: str, frame: bytes) -> typing.Any:
    """Decode the reply in a frame; raises TApplicationException if none."""
    protocol = _FACTORY.get_protocol(transport.TMemoryBuffer(frame))
    _, kind, _ = _decode(protocol.read_message_begin)
    if kind == thrift.TMessageType.EXCEPTION:
        failure = thrift.TApplicationException()
        _decode(failure.read, protocol)
        raise failure
    outcome = getattr(SERVICE, f'{method}_result')()
    _decode(outcome.read, protocol)
    if outcome.success is None:
        raise thrift.TApplicationException(
            thrift.TApplicationException.MISSING_RESULT
        )
    return outcome.success


def _decode(
    read: collections_abc.Callable[..., typing.Any], *arguments: typing.Any
) -> typing.Any:
    """Call a decoder and turn its errors into TProtocolException.

    Bytes from other programs must end only the connection they came on.
    """
    try:
        return read(*arguments)
    except DECODE_ERRORS as error:
        raise protocol_exc.TProtocolException(
            protocol_exc.TProtocolException.INVALID_DATA, repr(error)
        ) from error


def _encode(name: str, kind: int, sequence: int, body: typing.Any) -> bytes:
    buffer = transport.TMemoryBuffer()
    protocol = _FACTORY.get_protocol(buffer)
    protocol.write_message_begin(name, kind, sequence)
    body.write(protocol)
    protocol.write_message_end()
    return buffer.getvalue()
