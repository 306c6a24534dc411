"""Listening sockets, and hypercorn with cancellations let through."""

import asyncio
import socket
import typing
from collections import abc as collections_abc

import anyio
import hypercorn.asyncio
import hypercorn.config

Stop = collections_abc.Callable[[], collections_abc.Awaitable[None]]


class ListenError(Exception):
    """An address cannot be listened on; the message is for the operator."""


def open_listener(host: str, port: int) -> socket.socket:
    """Return a listening socket; ListenError when the address is taken."""
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

    hypercorn runs in a task of its own: its shutdown cancels the task that it
    runs in and does not take all of that back, so that the next cancel scope
    of the same task would let its own cancellation out, and a graceful stop
    ended with a traceback and status 1.
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
        # When a fault elsewhere in the process cancels the server, hypercorn
        # asks its cancelled future for an exception. The log would name that
        # and hide the fault; the pending cancellation is raised instead.
        await anyio.lowlevel.checkpoint()
        raise
