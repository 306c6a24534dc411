"""The entry process: one application served until it is told to stop."""

import functools
from collections import abc as collections_abc

import anyio

from redwingvalve.entry import app, dependencies, serving
from redwingvalve.observability import logs
from redwingvalve.settings import schema as settings_schema

LOGGER = logs.make_logger('entry')
# Other entries hear of a leaving one within this time; see news and gossip.
LEAVING_SPREADS_S = 3.0


async def serve_entry(
    entry_dependencies: dependencies.EntryDependencies,
    settings: settings_schema.Settings,
    stop: collections_abc.Callable[[], collections_abc.Awaitable[None]],
    leave: collections_abc.Callable[[], None],
) -> None:
    """Serve one entry until stop returns and its requests have ended.

    leave tells the other entries, so that discovery no longer names this one.
    """
    application = app.make_entry_app(entry_dependencies)
    bind = f'{settings.node.host}:{settings.listen.http_port}'
    LOGGER.info('the entry listens', extra={'address': bind})
    async with anyio.create_task_group() as group:
        group.start_soon(application.gate.run)
        group.start_soon(application.loads.run)
        group.start_soon(application.stalls.run)
        group.start_soon(application.caches.run)
        if entry_dependencies.key_claims is not None:
            group.start_soon(entry_dependencies.key_claims.keep_synced)
        await serving.serve(
            application,
            bind,
            settings.requests.drain_timeout_s,
            functools.partial(
                _drain, application, entry_dependencies, stop, leave
            ),
        )
        group.cancel_scope.cancel()
    await entry_dependencies.upstream.aclose()
    LOGGER.info('the entry has ended')


async def _drain(
    application: app.EntryApp,
    entry_dependencies: dependencies.EntryDependencies,
    stop: collections_abc.Callable[[], collections_abc.Awaitable[None]],
    leave: collections_abc.Callable[[], None],
) -> None:
    """Wait for stop, then serve on while callers may still come.

    A caller keeps an answer of discovery for a while and connects without
    asking again. Without the wait it would meet a closed port; the server
    itself lets the requests in progress finish afterwards.
    """
    await stop()
    leave()
    LOGGER.info(
        'the entry leaves', extra={'in_progress': application.in_progress}
    )
    await entry_dependencies.clock.sleep(
        entry_dependencies.settings.discovery_keep_s + LEAVING_SPREADS_S
    )
    LOGGER.info(
        'the entry takes no more connections',
        extra={'in_progress': application.in_progress},
    )
