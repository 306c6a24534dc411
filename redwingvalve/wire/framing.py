"""One thrift message a frame, encoded and decoded whole by compiled code.

thriftpy2's asyncio protocol awaits each field of a message in Python. At rest a
member makes and answers six calls a second, and that reading was a third of
their cost; a frame that is read first is decoded by the compiled codec in one
go. The bytes on the wire are the same framed binary protocol.
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
# The largest messages are copies of request keys and configuration records;
# a length above this is not one of ours and must not fill the memory.
MAX_FRAME_BYTES = 64_000_000
BROKEN_CONNECTION = (
    OSError,
    EOFError,
    transport.TTransportException,
    protocol_exc.TProtocolException,
)
UNREADABLE = (
    cybin.ProtocolError,
    ValueError,
    TypeError,
    OverflowError,
    MemoryError,
)
_FACTORY = cybin.TCyBinaryProtocolFactory()


@attrs.frozen
class Call:
    """A call as a server reads it; method is '' when it is not known."""

    name: str
    sequence: int
    method: str = ''
    arguments: tuple[typing.Any, ...] = ()


async def read_frame(
    reader: asyncio.StreamReader, counted: traffic.Traffic
) -> bytes:
    """Read one frame; one of BROKEN_CONNECTION when there is none."""
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
    """Write one frame and wait while the peer does not read."""
    counted.sent_bytes += LENGTH.size + len(frame)
    writer.write(LENGTH.pack(len(frame)) + frame)
    await writer.drain()


def encode_call(method: str, argument: typing.Any) -> bytes:
    """Return the frame of a call with one argument."""
    arguments = getattr(SERVICE, f'{method}_args')()
    for _, name, *_ in arguments.thrift_spec.values():
        setattr(arguments, name, argument)
    return _encode(method, thrift.TMessageType.CALL, 0, arguments)


def decode_call(frame: bytes) -> Call:
    """Return the call of a frame."""
    protocol = _FACTORY.get_protocol(transport.TMemoryBuffer(frame))
    name, _, sequence = _sound(protocol.read_message_begin)
    if name not in SERVICE.thrift_services:
        return Call(name, sequence)
    arguments = getattr(SERVICE, f'{name}_args')()
    _sound(arguments.read, protocol)
    return Call(
        name,
        sequence,
        method=name,
        arguments=tuple(
            getattr(arguments, each)
            for _, each, *_ in arguments.thrift_spec.values()
        ),
    )


def encode_answer(call: Call, answer: typing.Any) -> bytes:
    """Return the frame of an answer."""
    outcome = getattr(SERVICE, f'{call.method}_result')(success=answer)
    return _encode(call.name, thrift.TMessageType.REPLY, call.sequence, outcome)


def encode_failure(call: Call, failure: thrift.TApplicationException) -> bytes:
    """Return the frame that tells a caller of a failure."""
    return _encode(
        call.name, thrift.TMessageType.EXCEPTION, call.sequence, failure
    )


def decode_answer(method: str, frame: bytes) -> typing.Any:
    """Return the answer of a frame; TApplicationException if it has none."""
    protocol = _FACTORY.get_protocol(transport.TMemoryBuffer(frame))
    _, kind, _ = _sound(protocol.read_message_begin)
    if kind == thrift.TMessageType.EXCEPTION:
        failure = thrift.TApplicationException()
        _sound(failure.read, protocol)
        raise failure
    outcome = getattr(SERVICE, f'{method}_result')()
    _sound(outcome.read, protocol)
    if outcome.success is None:
        raise thrift.TApplicationException(
            thrift.TApplicationException.MISSING_RESULT
        )
    return outcome.success


def _sound(
    read: collections_abc.Callable[..., typing.Any], *arguments: typing.Any
) -> typing.Any:
    """Return what read returns; a broken connection if it is no message.

    What other programs write to our port must end their connection only.
    """
    try:
        return read(*arguments)
    except UNREADABLE as error:
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
