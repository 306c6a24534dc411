"""Tells now and then how many log lines were left out."""

import anyio

from redwingvalve.observability import bounded_logs, logs

LOG = logs.make_logger('logs')
# Lines that a full pipe held up are written within this.
LOOK_S = 0.5


async def run(handler: bounded_logs.NonBlockingHandler | None) -> None:
    """Write what was held up, and count what was left out."""
    while handler is not None:
        await anyio.sleep(LOOK_S)
        handler.flush()
        counts = handler.take_drop_counts()
        if counts is not None:
            LOG.info(
                'log lines left out',
                extra={'routine': counts[0], 'dropped': counts[1]},
            )
