"""The thrift server of a process, on the loop that already runs.

thriftpy2 brings the codec, the framed transport and the processor. Its own
server starts a loop, ends each connection after three seconds and lets a
handler's failure close the connection; this one does not.
"""

import asyncio
import ssl
import typing

from thriftpy2 import thrift
from thriftpy2.contrib.aio import processor as aio_processor
from thriftpy2.contrib.aio import socket as aio_socket
from thriftpy2.contrib.aio.protocol import binary
from thriftpy2.contrib.aio.transport import framed
from thriftpy2.protocol import exc as protocol_exc
from thriftpy2.transport import TTransportException

from redwingvalve.observability import logs
from redwingvalve.wire import handlers, messages, traffic

LOG = logs.make_logger('wire')
BROKEN_CONNECTION = (
    OSError,
    EOFError,
    TTransportException,
    protocol_exc.TProtocolException,
)


class PeerServer:
    """Serves the Peer service on one address until closed."""

    def __init__(
        self, handler: handlers.PeerHandler, counted: traffic.Traffic
    ) -> None:
        """Dispatch calls to handler."""
        self._traffic = counted
        self._processor = _Processor(messages.peer.Peer, handler)
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        self._closing = False

    @property
    def port(self) -> int:
        """Return the port that is listened on."""
        return self._server.sockets[0].getsockname()[1]

    async def start(
        self, host: str, port: int, tls: ssl.SSLContext | None = None
    ) -> None:
        """Listen; OSError when the address is taken."""
        self._server = await asyncio.start_server(
            self._serve_connection, host, port, ssl=tls
        )

    async def replace_tls(self, tls: ssl.SSLContext) -> None:
        """Use another context for new connections; old ones go on.

        The new server listens on a duplicate of the same socket, so that no
        connection is refused in between.
        """
        replaced = self._server
        self._server = await asyncio.start_server(
            self._serve_connection, sock=replaced.sockets[0].dup(), ssl=tls
        )
        replaced.close()

    async def aclose(self, grace_s: float = 1.0) -> None:
        """Stop listening, let calls in progress end, then close."""
        if self._server is None:
            return
        self._closing = True
        self._server.close()
        if self._processor.busy:
            await asyncio.wait(set(self._processor.busy), timeout=grace_s)
        remaining = set(self._connections)
        for connection in remaining:
            connection.cancel()
        await asyncio.gather(*remaining, return_exceptions=True)

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # A connection accepted just before the close comes here after aclose
        # has listed what it must end. Served, a stopped member would go on
        # answering its peers and be held for alive; nothing of it was read
        # yet, so that closing it cuts no call off.
        if self._closing:
            writer.close()
            return
        connection = asyncio.current_task()
        self._connections.add(connection)
        try:
            await self._serve_calls(reader, writer)
        except BROKEN_CONNECTION:
            LOG.debug('a peer closed its connection')
        except asyncio.CancelledError:
            LOG.debug('a connection was closed by us')
        finally:
            self._connections.discard(connection)
            writer.close()

    async def _serve_calls(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        stream = traffic.CountingStream(reader, writer, self._traffic)
        protocol = make_protocol(stream)
        while not reader.at_eof():
            await self._processor.process(protocol, protocol)
            self._traffic.calls_answered += 1


class _Processor(aio_processor.TAsyncProcessor):
    """Answers a handler's failure with an exception message.

    The library's own processor lets it escape, which closes the connection;
    the caller then can't tell a fault in the handler from a dead process.
    """

    def __init__(self, service: typing.Any, handler: typing.Any) -> None:
        super().__init__(service, handler)
        self.busy: set[asyncio.Task[typing.Any]] = set()

    async def process(self, iprot: typing.Any, oprot: typing.Any) -> None:
        api, seqid, answer, call = await self.process_in(iprot)
        if isinstance(answer, thrift.TApplicationException):
            await self.send_exception(oprot, api, answer, seqid)
            return
        current = asyncio.current_task()
        self.busy.add(current)
        try:
            await self._answer(oprot, api, seqid, answer, call)
        finally:
            self.busy.discard(current)

    async def _answer(
        self,
        oprot: typing.Any,
        api: str,
        seqid: int,
        answer: typing.Any,
        call: typing.Any,
    ) -> None:
        try:
            answer.success = await call()
        except Exception as error:  # noqa: BLE001 - told to the caller
            LOG.warning(f'the call {api} failed: {error!r}')
            failure = thrift.TApplicationException(
                thrift.TApplicationException.INTERNAL_ERROR, repr(error)
            )
            await self.send_exception(oprot, api, failure, seqid)
            return
        await self.send_result(oprot, api, answer, seqid)


def make_protocol(stream: aio_socket.StreamHandler) -> typing.Any:
    """Return the framed binary protocol over a stream, for both sides."""
    transport = framed.TAsyncFramedTransportFactory().get_transport(stream)
    return binary.TAsyncBinaryProtocolFactory().get_protocol(transport)


def make_peer_server(
    handler: handlers.PeerHandler, counted: traffic.Traffic | None = None
) -> PeerServer:
    """Return a server that does not listen yet."""
    return PeerServer(handler, counted or traffic.Traffic())
