"""Keeps the loops of a node running.

Load pattern: an entry or an answer of an odd shape raises in one of the loops.
Without this the error ends the task group, and with it the process and every
request that it answers; the caller sees closed connections. Starting the loop
again suffices, since each begins by reading its state anew.
"""

import typing

import anyio

from redwingvalve.observability import logs

LOG = logs.make_logger('supervision')
# Long enough that a loop that fails at once costs little.
RESTART_S = 0.2

Loop: typing.TypeAlias = typing.Callable[[], typing.Awaitable[None]]


async def keep_running(loop: Loop) -> None:
    """Run a loop until it returns, again whenever it ends by an error."""
    while True:
        try:
            return await loop()
        except Exception:
            LOG.exception('loop failed', extra={'loop': repr(loop)})
        await anyio.sleep(RESTART_S)
