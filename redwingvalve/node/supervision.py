"""Restarts the background loops of a node when they fail.

Load pattern: a malformed entry or response raises an exception in one of the
loops. Without a restart the exception would cancel the task group, and with it
the process and every request in progress; callers would see closed
connections. Restarting the loop suffices, since each one begins by reading its
state again.
"""

import typing

import anyio

from redwingvalve.observability import logs

LOG = logs.make_logger('supervision')
# Limits the cost of a loop that fails immediately each time.
RESTART_DELAY_S = 0.2

Loop: typing.TypeAlias = typing.Callable[[], typing.Awaitable[None]]


async def keep_running(loop: Loop) -> None:
    """Run a loop until it returns; restart it whenever it raises."""
    while True:
        try:
            return await loop()
        except Exception:
            LOG.exception('loop failed', extra={'loop': repr(loop)})
        await anyio.sleep(RESTART_DELAY_S)
