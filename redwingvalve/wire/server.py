"""The thrift server of a process, on the running event loop.

Only the codec comes from thriftpy2. thriftpy2's own server starts an event
loop, ends each connection after three seconds, and closes the connection when
a handler fails.
"""

import asyncio
import ssl
import typing

from thriftpy2 import thrift

from redwingvalve.observability import logs
from redwingvalve.wire import framing, handlers, traffic

LOG = logs.make_logger('wire')


class PeerServer:
    """Serves the Peer service on one address until closed."""

    def __init__(
        self, handler: handlers.PeerHandler, counted: traffic.Traffic
    ) -> None:
        """Dispatch calls to handler."""
        self._traffic = counted
        self._handler = handler
        self._active_calls: set[asyncio.Task[typing.Any]] = set()
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        self._closing = False

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        return self._server.sockets[0].getsockname()[1]

    async def start(
        self, host: str, port: int, tls: ssl.SSLContext | None = None
    ) -> None:
        """Start listening; raises OSError if the address is in use."""
        self._server = await asyncio.start_server(
            self._serve_connection, host, port, ssl=tls
        )

    async def replace_tls(self, tls: ssl.SSLContext) -> None:
        """Use another context for new connections; existing ones continue.

        The new server listens on a duplicate of the same socket, so that no
        connection is refused in between.
        """
        replaced = self._server
        self._server = await asyncio.start_server(
            self._serve_connection, sock=replaced.sockets[0].dup(), ssl=tls
        )
        replaced.close()

    async def aclose(self, grace_s: float = 1.0) -> None:
        """Stop listening, wait for calls in progress, then close."""
        if self._server is None:
            return
        self._closing = True
        self._server.close()
        if self._active_calls:
            await asyncio.wait(set(self._active_calls), timeout=grace_s)
        remaining = set(self._connections)
        for connection in remaining:
            connection.cancel()
        await asyncio.gather(*remaining, return_exceptions=True)

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # A connection accepted just before the close gets here after aclose
        # has collected the connections to cancel. If it were served, a stopped
        # member would go on answering its peers, which would consider it
        # alive. Nothing has been read from it yet, so closing it interrupts
        # no call.
        if self._closing:
            writer.close()
            return
        connection = asyncio.current_task()
        self._connections.add(connection)
        try:
            await self._serve_calls(reader, writer)
        except framing.CONNECTION_ERRORS:
            LOG.debug('connection closed by the peer or broken')
        except asyncio.CancelledError:
            LOG.debug('connection closed by the server')
        finally:
            self._connections.discard(connection)
            writer.close()

    async def _serve_calls(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while not reader.at_eof():
            call = framing.decode_call(
                await framing.read_frame(reader, self._traffic)
            )
            await self._serve(call, writer)
            self._traffic.calls_answered += 1

    async def _serve(
        self, call: framing.Call, writer: asyncio.StreamWriter
    ) -> None:
        current = asyncio.current_task()
        self._active_calls.add(current)
        try:
            frame = await self._answer(call)
            await framing.write_frame(writer, frame, self._traffic)
        finally:
            self._active_calls.discard(current)

    async def _answer(self, call: framing.Call) -> bytes:
        """Return the encoded reply, or an exception if the handler failed.

        If the connection were closed instead, the caller could not tell an
        error in the handler from a dead process.
        """
        if not call.method:
            return framing.encode_exception(
                call,
                thrift.TApplicationException(
                    thrift.TApplicationException.UNKNOWN_METHOD
                ),
            )
        try:
            answer = await getattr(self._handler, call.method)(*call.arguments)
            return framing.encode_reply(call, answer)
        except Exception as error:  # noqa: BLE001 - returned to the caller
            LOG.warning(f'the call {call.name} failed: {error!r}')
            failure = thrift.TApplicationException(
                thrift.TApplicationException.INTERNAL_ERROR, repr(error)
            )
            return framing.encode_exception(call, failure)


def make_peer_server(
    handler: handlers.PeerHandler, counted: traffic.Traffic | None = None
) -> PeerServer:
    """Return a server that is not listening yet."""
    return PeerServer(handler, counted or traffic.Traffic())
