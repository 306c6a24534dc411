"""Runs hypercorn beside anyio."""

import functools
from collections import abc as collections_abc

import anyio
import hypercorn.asyncio
import hypercorn.config

Stop = collections_abc.Callable[[], collections_abc.Awaitable[None]]


async def run(
    application: object, config: hypercorn.config.Config, stop: Stop
) -> None:
    """Serve until stop returns, then let requests in progress finish.

    hypercorn cancels the task that it runs in and takes that back; anyio
    would count it as a cancellation from outside, cancel the tasks beside it
    and end the process with an error. A task of its own keeps the two apart.
    """
    serve = functools.partial(
        hypercorn.asyncio.serve, application, config, shutdown_trigger=stop
    )
    async with anyio.create_task_group() as group:
        group.start_soon(serve)
