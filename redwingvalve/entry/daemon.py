"""Runs the application of an entry and its background tasks."""

import functools
import resource
from collections import abc as collections_abc

import anyio
from anyio import abc as anyio_abc

from redwingvalve.entry import (
    app,
    dependencies,
    serving,
    uvicorn_server,
)
from redwingvalve.observability import logs
from redwingvalve.settings import schema as settings_schema

LOGGER = logs.make_logger('entry')
# Other entries learn within this time that one leaves; see the news package.
LEAVE_PROPAGATION_S = 3.0
# Of the time to drain, left for the last answers and the end of the process.
FINISH_S = 3.0
# Longest time for requests that were given up to end.
GIVE_UP_S = 0.5
# Of the descriptors of the process; the rest is for its own connections.
CONNECTION_SHARE = 0.5


def stop_timeout_s(settings: settings_schema.RequestSettings) -> float:
    """Return within which time after a signal the process has ended."""
    return (
        settings.discovery_keep_s
        + LEAVE_PROPAGATION_S
        + settings.drain_timeout_s
    )


def _drain_s(settings: settings_schema.RequestSettings) -> float:
    """Return for how long requests may go on after the port has closed."""
    drain_s = settings.drain_timeout_s
    return max(drain_s - FINISH_S, drain_s / 2)


def _max_connections(limits: settings_schema.LimitSettings) -> int:
    """Return how many connections callers may have open at once."""
    of_process, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if of_process == resource.RLIM_INFINITY:
        of_process = limits.max_fds
    return int(CONNECTION_SHARE * min(limits.max_fds, of_process))


async def serve_entry(
    entry_dependencies: dependencies.EntryDependencies,
    settings: settings_schema.Settings,
    stop: collections_abc.Callable[[], collections_abc.Awaitable[None]],
    leave: collections_abc.Callable[[], None],
) -> None:
    """Serve one entry until stop returns and its requests have ended.

    leave notifies the other entries, so that discovery no longer lists this
    one.
    """
    application = app.make_entry_app(entry_dependencies)
    bind = f'{settings.node.host}:{settings.listen.http_port}'
    LOGGER.info('listening', extra={'address': bind})
    async with anyio.create_task_group() as group:
        group.start_soon(application.account_limiter.run)
        group.start_soon(application.loads.run)
        group.start_soon(application.stall_monitor.run)
        group.start_soon(application.cache_sync.run)
        if entry_dependencies.key_claims is not None:
            group.start_soon(entry_dependencies.key_claims.keep_synced)
        await serving.serve(
            application,
            bind,
            _drain_s(settings.requests) + GIVE_UP_S,
            functools.partial(
                _drain, application, entry_dependencies, stop, leave, group
            ),
            uvicorn_server.make_uvicorn_server(
                _max_connections(settings.limits)
            ),
        )
        group.cancel_scope.cancel()
    await entry_dependencies.upstream.aclose()
    LOGGER.info('entry stopped')


async def _drain(
    application: app.EntryApp,
    entry_dependencies: dependencies.EntryDependencies,
    stop: collections_abc.Callable[[], collections_abc.Awaitable[None]],
    leave: collections_abc.Callable[[], None],
    group: anyio_abc.TaskGroup,
) -> None:
    """Wait for stop, then keep serving while callers may still connect.

    Callers cache a discovery response and connect without asking again.
    Without the wait their connections would be refused. The server itself lets
    requests in progress finish afterwards.
    """
    await stop()
    settings = entry_dependencies.settings
    keep_s = settings.discovery_keep_s + LEAVE_PROPAGATION_S
    drain_s = keep_s + _drain_s(settings)
    application.stop.ends_s = entry_dependencies.clock.monotonic_s() + drain_s
    group.start_soon(_give_up_late, application, entry_dependencies)
    leave()
    LOGGER.info(
        'entry draining', extra={'in_progress': application.in_progress}
    )
    await entry_dependencies.clock.sleep(keep_s)
    LOGGER.info(
        'entry closing its listener',
        extra={'in_progress': application.in_progress},
    )


async def _give_up_late(
    application: app.EntryApp,
    entry_dependencies: dependencies.EntryDependencies,
) -> None:
    """Answer the requests that are in progress at the end of the stop."""
    time_source = entry_dependencies.clock
    await time_source.sleep(application.stop.ends_s - time_source.monotonic_s())
    LOGGER.info(
        'entry giving up requests',
        extra={'in_progress': application.in_progress},
    )
    await application.running.give_up_all()
