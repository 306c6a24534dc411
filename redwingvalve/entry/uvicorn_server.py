"""Serves callers with uvicorn and httptools.

Everything else in this project is served by hypercorn. Its send path takes
more processor time per token than the rest of the relay together; see
docs/design/0032-relay-cost.md for the profile and the alternatives.
"""

import asyncio
import contextlib
import socket
from collections import abc as collections_abc

import anyio
import uvicorn

from redwingvalve.entry import caller_server, uvicorn_protocol

KEEP_ALIVE_S = 75.0
BACKLOG = 2048
# Cancelled requests still send a cancellation to their engines; see
# model_attempts.py.
CANCELLATION_TIMEOUT_S = 3.0


class _SignalFreeServer(uvicorn.Server):
    """Leaves signals to the process, which stops its components in order."""

    @contextlib.contextmanager
    def capture_signals(self) -> collections_abc.Iterator[None]:
        """Install no signal handlers."""
        yield


class UvicornServer(caller_server.CallerServer):
    """uvicorn without its own logs; the application logs instead."""

    def __init__(self, protocol: type[uvicorn_protocol.CallerProtocol]) -> None:
        """Use protocol for each connection."""
        self._protocol = protocol

    async def serve(
        self,
        application: caller_server.Application,
        listener: socket.socket,
        graceful_timeout_s: float,
        stop: caller_server.Stop,
    ) -> None:
        """Serve until stop returns, then let requests in progress finish."""
        server = _SignalFreeServer(_make_config(application, self._protocol))
        async with anyio.create_task_group() as group:
            group.start_soon(_exit_after, server, stop, graceful_timeout_s)
            try:
                await server.serve(sockets=[listener])
            finally:
                await _abort_remaining(server, listener)
            group.cancel_scope.cancel()


def _make_config(
    application: caller_server.Application,
    protocol: type[uvicorn_protocol.CallerProtocol],
) -> uvicorn.Config:
    return uvicorn.Config(
        application,
        loop='none',
        http=protocol,
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
    protocol: type[
        uvicorn_protocol.CallerProtocol
    ] = uvicorn_protocol.CallerProtocol,
) -> caller_server.CallerServer:
    """Return a server that uses uvicorn."""
    return UvicornServer(protocol)
