"""The entry process: one application served until it is told to stop."""

import signal
import typing
from collections import abc as collections_abc

import anyio

from redwingvalve.entry import app, parts, serving
from redwingvalve.observability import logs
from redwingvalve.settings import schema as settings_schema

LOGGER = logs.make_logger('entry')


async def serve_entry(
    entry_parts: parts.EntryParts,
    settings: settings_schema.Settings,
    stop: collections_abc.Callable[[], collections_abc.Awaitable[None]],
) -> None:
    """Serve one entry until stop returns and its requests have ended."""
    bind = f'{settings.node.host}:{settings.listen.http_port}'
    LOGGER.info('the entry listens', extra={'address': bind})
    await serving.serve(
        app.make_entry_app(entry_parts),
        bind,
        settings.requests.drain_timeout_s,
        stop,
    )
    await entry_parts.upstream.aclose()
    LOGGER.info('the entry has ended')


async def wait_for_signal() -> None:
    """Return when the process is told to stop."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        await _first(received)


async def _first(received: collections_abc.AsyncIterator[typing.Any]) -> None:
    async for number in received:
        LOGGER.info('told to stop', extra={'signal': int(number)})
        return
