"""Listening sockets, and hypercorn with correct propagation of cancellation."""

import asyncio
import socket
import typing
from collections import abc as collections_abc

import anyio
import hypercorn.asyncio
import hypercorn.config

Stop = collections_abc.Callable[[], collections_abc.Awaitable[None]]


class ListenError(Exception):
    """The server cannot listen on an address; the message is for operators."""


def open_listener(host: str, port: int) -> socket.socket:
    """Return a listening socket; raises ListenError if bind fails."""
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    listener = socket.socket(family)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, port))
    except OSError as error:
        listener.close()
        raise ListenError(
            f'{host}:{port} cannot be listened on: {error}'
        ) from error
    listener.listen()
    return listener


async def serve(
    application: typing.Any, config: hypercorn.config.Config, stop: Stop
) -> None:
    """Serve until stop returns, then let requests in progress finish.

    hypercorn runs in a separate task: its shutdown cancels the task that it
    runs in and does not undo all of that. In the caller's task, the next
    cancel scope would then raise its own cancellation, and a graceful stop
    would end with a traceback and status 1.
    """
    async with anyio.create_task_group() as group:
        group.start_soon(_serve, application, config, stop)


async def _serve(
    application: typing.Any, config: hypercorn.config.Config, stop: Stop
) -> None:
    try:
        await hypercorn.asyncio.serve(
            application, config, shutdown_trigger=stop
        )
    except asyncio.InvalidStateError:
        # When an error elsewhere in the process cancels the server, hypercorn
        # asks its cancelled future for an exception. That InvalidStateError
        # would hide the original error in the log, so the pending cancellation
        # is raised instead.
        await anyio.lowlevel.checkpoint()
        raise
