"""Carries callers' traffic with uvicorn and httptools.

hypercorn is the rule of the house and serves everything else. Its send path
takes more processor time for a token than all the rest of the relay; see
docs/design/0032-relay-cost.md for the profile and the ways weighed.
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
# Cancelled requests still tell their engines to stop; see sends.py.
LAST_WORD_S = 3.0


class _QuietServer(uvicorn.Server):
    """Leaves signals to the process, which stops all of its parts in turn."""

    @contextlib.contextmanager
    def capture_signals(self) -> collections_abc.Iterator[None]:
        """Take no signal."""
        yield


class UvicornServer(caller_server.CallerServer):
    """uvicorn with quiet logs; the application keeps its own."""

    def __init__(self, protocol: type[uvicorn_protocol.CallerProtocol]) -> None:
        """Speak protocol on each connection."""
        self._protocol = protocol

    async def serve(
        self,
        application: caller_server.Application,
        listener: socket.socket,
        graceful_timeout_s: float,
        stop: caller_server.Stop,
    ) -> None:
        """Serve until stop returns, then let requests in progress finish."""
        server = _QuietServer(
            _make_config(application, graceful_timeout_s, self._protocol)
        )
        async with anyio.create_task_group() as group:
            group.start_soon(_exit_after, server, stop)
            try:
                await server.serve(sockets=[listener])
            finally:
                await _end_leftovers(server, listener)
            group.cancel_scope.cancel()


def _make_config(
    application: caller_server.Application,
    graceful_timeout_s: float,
    protocol: type[uvicorn_protocol.CallerProtocol],
) -> uvicorn.Config:
    return uvicorn.Config(
        application,
        loop='none',
        http=protocol,
        ws='none',
        lifespan='off',
        interface='asgi3',
        # Its loggers know neither our format nor our prefixes; the
        # application logs what failed.
        log_config=None,
        log_level='critical',
        access_log=False,
        proxy_headers=False,
        server_header=False,
        backlog=BACKLOG,
        timeout_keep_alive=KEEP_ALIVE_S,
        timeout_graceful_shutdown=graceful_timeout_s,
    )


async def _exit_after(server: uvicorn.Server, stop: caller_server.Stop) -> None:
    await stop()
    server.should_exit = True


async def _end_leftovers(
    server: uvicorn.Server, listener: socket.socket
) -> None:
    """Cancel what outlived its time and break its connections.

    uvicorn cancels these tasks without waiting for them, and leaves the
    connections of callers that read nothing open. Symptom without this: the
    entry ends while requests still write, with tracebacks in its log.
    """
    listener.close()
    state = server.server_state
    with anyio.CancelScope(shield=True):
        tasks = tuple(state.tasks)
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=LAST_WORD_S)
        for connection in tuple(state.connections):
            connection.transport.abort()
        # Lost connections are told so before the loop may end.
        await asyncio.sleep(0)


def make_uvicorn_server(
    protocol: type[
        uvicorn_protocol.CallerProtocol
    ] = uvicorn_protocol.CallerProtocol,
) -> caller_server.CallerServer:
    """Return uvicorn for callers' traffic."""
    return UvicornServer(protocol)
