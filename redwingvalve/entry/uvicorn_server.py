"""Serves callers with uvicorn and httptools.

Everything else in this project is served by hypercorn. Its send path takes
more processor time per token than the rest of the relay together; see
docs/design/0032-relay-cost.md for the profile and the alternatives.
"""

import asyncio
import contextlib
import math
import socket
import typing
from collections import abc as collections_abc

import anyio
import uvicorn

from redwingvalve.entry import caller_server, uvicorn_protocol

KEEP_ALIVE_S = 75.0
BACKLOG = 2048
# Cancelled requests still send a cancellation to their engines; see
# model_attempts.py.
CANCELLATION_TIMEOUT_S = 3.0
# Requests that are on their way when the last one ends are still served.
LINGER_S = 0.2
POLL_S = 0.02
Sockets: typing.TypeAlias = list[socket.socket] | None
ProtocolFactory: typing.TypeAlias = collections_abc.Callable[
    ..., uvicorn_protocol.CallerProtocol
]


class _DrainingServer(uvicorn.Server):
    """Serves kept connections to the end, and leaves signals to the process.

    uvicorn closes idle connections as soon as it stops, under requests that
    are on their way, and those whose response had started before without a
    word. Here they stay until nothing runs; each gets one more response, which
    says that it is the last.
    """

    @contextlib.contextmanager
    def capture_signals(self) -> collections_abc.Iterator[None]:
        """Install no signal handlers."""
        yield

    async def shutdown(self, sockets: Sockets = None) -> None:
        """Close the listeners, then the connections when nothing runs."""
        for listening in (*self.servers, *(sockets or ())):
            listening.close()
        for connection in tuple(self.server_state.connections):
            connection.is_stopping = True
        quiet_s = 0.0
        while quiet_s < LINGER_S and not self.force_exit:
            await asyncio.sleep(POLL_S)
            quiet_s = 0.0 if self.server_state.tasks else quiet_s + POLL_S
        for idle in tuple(self.server_state.connections):
            idle.shutdown()
        while self.server_state.connections and not self.force_exit:
            await asyncio.sleep(POLL_S)


class UvicornServer(caller_server.CallerServer):
    """uvicorn without its own logs; the application logs instead."""

    def __init__(self, make_protocol: ProtocolFactory) -> None:
        """Use a protocol of its own for each connection."""
        self._make_protocol = make_protocol

    async def serve(
        self,
        application: caller_server.Application,
        listener: socket.socket,
        graceful_timeout_s: float,
        stop: caller_server.Stop,
    ) -> None:
        """Serve until stop returns, then let requests in progress finish."""
        server = _DrainingServer(_make_config(application, self._make_protocol))
        async with anyio.create_task_group() as group:
            group.start_soon(_exit_after, server, stop, graceful_timeout_s)
            try:
                await server.serve(sockets=[listener])
            finally:
                await _abort_remaining(server, listener)
            group.cancel_scope.cancel()


def _make_config(
    application: caller_server.Application, make_protocol: ProtocolFactory
) -> uvicorn.Config:
    return uvicorn.Config(
        application,
        loop='none',
        http=typing.cast(type[asyncio.Protocol], make_protocol),
        ws='none',
        lifespan='off',
        interface='asgi3',
        # uvicorn's loggers use neither our format nor our prefixes; the
        # application logs failures.
        log_config=None,
        log_level='critical',
        access_log=False,
        proxy_headers=False,
        server_header=False,
        backlog=BACKLOG,
        timeout_keep_alive=KEEP_ALIVE_S,
    )


async def _exit_after(
    server: uvicorn.Server, stop: caller_server.Stop, graceful_timeout_s: float
) -> None:
    await stop()
    server.should_exit = True
    # uvicorn's own timeout cancels requests and answers them with its own text,
    # without an outcome. With force_exit it leaves them to _abort_remaining.
    await anyio.sleep(graceful_timeout_s)
    server.force_exit = True


async def _abort_remaining(
    server: uvicorn.Server, listener: socket.socket
) -> None:
    """Abort remaining connections, then cancel their request tasks.

    uvicorn does neither after force_exit. Without this the entry exits while
    requests still write, with tracebacks in its log. Connections are aborted
    first: uvicorn writes its own response to a cancelled request, which the
    callers would receive.
    """
    for asyncio_server in getattr(server, 'servers', ()):
        asyncio_server.close()
    listener.close()
    state = server.server_state
    with anyio.CancelScope(shield=True):
        for connection in tuple(state.connections):
            connection.transport.abort()
        # The event loop calls connection_lost in its next iteration.
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        tasks = tuple(state.tasks)
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=CANCELLATION_TIMEOUT_S)


def make_uvicorn_server(
    max_connections: float = math.inf,
    protocol: type[
        uvicorn_protocol.CallerProtocol
    ] = uvicorn_protocol.CallerProtocol,
) -> caller_server.CallerServer:
    """Return a server that uses uvicorn, for so many connections."""
    return UvicornServer(
        uvicorn_protocol.make_protocol_factory(max_connections, protocol)
    )
