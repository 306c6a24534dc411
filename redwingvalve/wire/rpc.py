"""Calls to peers over pooled connections, with failures as typed results.

Load pattern: a node exchanges gossip a few times a second, mostly with peers
of its region, and claims request keys while it serves requests. Without reuse,
each call would cost a TCP and TLS handshake; without a limit on idle
connections, their number would grow with the fleet.
"""

import asyncio
import collections
import ssl
import typing

import anyio
import attrs
from expression import Error, Ok, Result
from thriftpy2 import thrift

from redwingvalve.core import clock
from redwingvalve.wire import call_errors, framing, traffic

# Two peers of a region exchange gossip every few seconds; a connection that has
# been idle for longer than this is not worth its memory.
MAX_IDLE_S = 30.0
MAX_IDLE_PER_ADDRESS = 2
MAX_IDLE_CONNECTIONS = 96
DEFAULT_TIMEOUT_S = 1.0

Address = tuple[str, int]
CallResult = Result[typing.Any, call_errors.CallError]
Kind = call_errors.CallErrorKind


@attrs.define(eq=False)
class _Connection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    idle_since_s: float = 0.0

    def usable(self, now_s: float) -> bool:
        """Return whether the connection may carry another call."""
        if self.writer.is_closing():
            return False
        return now_s - self.idle_since_s <= MAX_IDLE_S


class PeerCaller:
    """Calls the Peer service at any address."""

    def __init__(
        self,
        timers: clock.Clock,
        tls: ssl.SSLContext | None,
        counted: traffic.Traffic,
        local_host: str = '',
    ) -> None:
        """Create a caller; connections are unencrypted if tls is None."""
        self._local = (local_host, 0) if local_host else None
        self.traffic = counted
        self._clock = timers
        self._tls = tls
        self._idle: dict[Address, list[_Connection]] = collections.defaultdict(
            list
        )

    def replace_tls(self, tls: ssl.SSLContext) -> None:
        """Use another context for new connections and close idle ones."""
        self._tls = tls
        self.close_idle()

    async def call(
        self,
        address: Address,
        method: str,
        argument: typing.Any,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> CallResult:
        """Call a method; the error states whether it may have arrived."""
        try:
            with anyio.fail_after(timeout_s):
                return await self._call(address, method, argument)
        except TimeoutError:
            return failed(Kind.TIMEOUT, f'no answer within {timeout_s} s')

    def idle_connections(self) -> int:
        """Return how many connections carry no call."""
        return sum(len(kept) for kept in self._idle.values())

    def close_idle(self) -> None:
        """Close all connections that carry no call."""
        for connections in self._idle.values():
            for connection in connections:
                connection.writer.close()
        self._idle.clear()

    async def _call(
        self, address: Address, method: str, argument: typing.Any
    ) -> CallResult:
        self.traffic.calls_made += 1
        connection = self._take_idle(address)
        if connection is None:
            try:
                connection = await self._connect(address)
            except ConnectionRefusedError as error:
                return failed(
                    Kind.REFUSED, str(error), surely_not_received=True
                )
            except OSError as error:
                return failed(
                    Kind.UNREACHABLE, str(error), surely_not_received=True
                )
        kept = False
        try:
            answer = await self._exchange_frames(connection, method, argument)
            kept = True
            return Ok(answer)
        except thrift.TApplicationException as error:
            kept = True
            return failed(Kind.REMOTE, str(error.message))
        except framing.CONNECTION_ERRORS as error:
            return failed(Kind.BROKEN, str(error))
        finally:
            # An interrupted call leaves its reply in the stream, where the
            # next call on the connection would read it as its own.
            if kept:
                self._keep(address, connection)
            else:
                connection.writer.close()

    async def _exchange_frames(
        self, connection: _Connection, method: str, argument: typing.Any
    ) -> typing.Any:
        await framing.write_frame(
            connection.writer,
            framing.encode_call(method, argument),
            self.traffic,
        )
        frame = await framing.read_frame(connection.reader, self.traffic)
        return framing.decode_reply(method, frame)

    async def _connect(self, address: Address) -> _Connection:
        host, port = address
        reader, writer = await asyncio.open_connection(
            host, port, ssl=self._tls, local_addr=self._local
        )
        return _Connection(reader, writer)

    def _take_idle(self, address: Address) -> _Connection | None:
        connections = self._idle.get(address, [])
        while connections:
            connection = connections.pop()
            if connection.usable(self._clock.monotonic_s()):
                return connection
            connection.writer.close()
        return None

    def _keep(self, address: Address, connection: _Connection) -> None:
        connections = self._idle[address]
        if len(connections) >= MAX_IDLE_PER_ADDRESS:
            connection.writer.close()
            return
        connection.idle_since_s = self._clock.monotonic_s()
        connections.append(connection)
        self._limit_idle()

    def _limit_idle(self) -> None:
        if len(self._idle) <= MAX_IDLE_CONNECTIONS:
            return
        now_s = self._clock.monotonic_s()
        for address in tuple(self._idle):
            if not any(kept.usable(now_s) for kept in self._idle[address]):
                self._drop(address)
        while len(self._idle) > MAX_IDLE_CONNECTIONS:
            self._drop(next(iter(self._idle)))

    def _drop(self, address: Address) -> None:
        for connection in self._idle.pop(address):
            connection.writer.close()


def failed(
    kind: Kind, message: str, *, surely_not_received: bool = False
) -> CallResult:
    """Return the error result of a call."""
    return Error(call_errors.CallError(kind, message, surely_not_received))


def make_peer_caller(
    timers: clock.Clock,
    tls: ssl.SSLContext | None = None,
    counted: traffic.Traffic | None = None,
    local_host: str = '',
) -> PeerCaller:
    """Return a caller without connections; calls come from local_host."""
    return PeerCaller(timers, tls, counted or traffic.Traffic(), local_host)
