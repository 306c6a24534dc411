"""Flushes delayed log lines and reports how many lines were dropped."""

import anyio

from redwingvalve.observability import bounded_logs, logs

LOG = logs.make_logger('logs')
# Lines that were held back because the output pipe was full are written within
# this time.
FLUSH_INTERVAL_S = 0.5


async def run(handler: bounded_logs.NonBlockingHandler | None) -> None:
    """Flush held-back lines and log counts of dropped ones until cancelled."""
    while handler is not None:
        await anyio.sleep(FLUSH_INTERVAL_S)
        handler.flush()
        counts = handler.take_drop_counts()
        if counts is not None:
            LOG.info(
                'log lines left out',
                extra={'routine': counts[0], 'dropped': counts[1]},
            )
