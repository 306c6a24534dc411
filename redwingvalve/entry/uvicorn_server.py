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
CANCELLATION_TIMEOUT_S = 3.0


class _SignalFreeServer(uvicorn.Server):
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
        # Its loggers know neither our format nor our prefixes; the
        # application logs what failed.
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
    # uvicorn's own timeout cancels requests, which it then answers with a
    # text of its own, without an outcome. Told to hurry, it leaves them to us.
    await anyio.sleep(graceful_timeout_s)
    server.force_exit = True


async def _abort_remaining(
    server: uvicorn.Server, listener: socket.socket
) -> None:
    """Break what outlived its time, then cancel the work behind it.

    uvicorn leaves both as they are. Symptom without this: the entry ends while
    requests still write, with tracebacks in its log. The connections go first:
    uvicorn answers a cancelled request by itself, which callers would read.
    """
    for asyncio_server in getattr(server, 'servers', ()):
        asyncio_server.close()
    listener.close()
    state = server.server_state
    with anyio.CancelScope(shield=True):
        for connection in tuple(state.connections):
            connection.transport.abort()
        # The loop tells a connection of its end in its next round.
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
    """Return uvicorn for callers' traffic."""
    return UvicornServer(protocol)
