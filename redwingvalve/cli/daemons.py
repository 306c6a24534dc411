"""The commands that run a daemon until it receives SIGTERM or SIGINT."""

import argparse
import functools
import signal
from collections import abc as collections_abc

import anyio

from redwingvalve.cli import options
from redwingvalve.core import environment, exit_status, http_server
from redwingvalve.observability import logs
from redwingvalve.process import control, entry
from redwingvalve.process import dependencies as process_dependencies
from redwingvalve.settings import loader, schema

LOGGER = logs.make_logger('process')
Daemon = collections_abc.Callable[
    [schema.Settings, anyio.Event], collections_abc.Awaitable[None]
]


def _make_runner(daemon: Daemon) -> options.Runner:
    def run(
        arguments: argparse.Namespace, surroundings: environment.Environment
    ) -> exit_status.ExitStatus:
        loaded = loader.load_file(arguments.settings)
        if loaded.is_error():
            surroundings.stderr.write(f'{loaded.error}\n')
            return exit_status.ExitStatus.FINDINGS
        settings = loaded.ok
        logs.configure(
            settings.logs.level, surroundings.stderr, settings.node.name
        )
        return anyio.run(
            functools.partial(
                _run_until_stopped, daemon, settings, surroundings
            ),
            backend_options={'use_uvloop': True},
        )

    return run


async def _run_until_stopped(
    daemon: Daemon,
    settings: schema.Settings,
    surroundings: environment.Environment,
) -> exit_status.ExitStatus:
    stop = anyio.Event()
    status = exit_status.ExitStatus.SUCCESS
    try:
        async with anyio.create_task_group() as group:
            group.start_soon(_set_on_signal, stop)
            await daemon(settings, stop)
            group.cancel_scope.cancel()
    except* (
        process_dependencies.ProcessError,
        http_server.ListenError,
    ) as errors:
        for error in _flatten(errors):
            surroundings.stderr.write(f'{error}\n')
        status = exit_status.ExitStatus.FAILURE
    return status


def _flatten(
    errors: BaseExceptionGroup[BaseException],
) -> collections_abc.Iterator[BaseException]:
    """Yield the errors inside nested groups; each task group adds a level."""
    for error in errors.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from _flatten(error)
        else:
            yield error


async def _set_on_signal(stop: anyio.Event) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for received in signals:
            LOGGER.info('Received signal %d, shutting down.', received)
            stop.set()


def _make_command(name: str, help_text: str, daemon: Daemon) -> options.Command:
    return options.Command(
        name=name,
        help=help_text,
        example=f'redwingvalve {name} examples/settings/{name}-1.yaml',
        run=_make_runner(daemon),
        options=(
            options.Option(dest='settings', help='the YAML settings file'),
        ),
    )


ENTRY = _make_command(
    'entry', 'run an entry, which serves client requests', entry.run_entry
)
CONTROL = _make_command(
    'control',
    'run a controller, which serves administration and manages replicas',
    control.run_control,
)
ALL = (ENTRY, CONTROL)
