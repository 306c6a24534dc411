"""The commands that run a daemon until it is told to stop."""

import argparse
import functools
from collections import abc as collections_abc

import anyio
import attrs

from redwingvalve.cli import options
from redwingvalve.core import environment, exit_status, http_server
from redwingvalve.entry import daemon as entry_daemon
from redwingvalve.observability import logs, signal_handler
from redwingvalve.process import control, entry
from redwingvalve.process import dependencies as process_dependencies
from redwingvalve.settings import loader, schema

EXAMPLES = 'examples/settings'
Daemon = collections_abc.Callable[
    [schema.Settings, anyio.Event], collections_abc.Awaitable[None]
]


def _entry_stop_timeout_s(settings: schema.Settings) -> float:
    return entry_daemon.stop_timeout_s(settings.requests)


def _control_stop_timeout_s(settings: schema.Settings) -> float:
    return control.STOP_TIMEOUT_S


@attrs.frozen
class Role:
    """A daemon, and the time in which its process ends after a signal."""

    name: str
    run: Daemon
    stop_timeout_s: collections_abc.Callable[[schema.Settings], float]


def _make_runner(role: Role) -> options.Runner:
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
            functools.partial(_run_until_stopped, role, settings, surroundings),
            backend_options={'use_uvloop': True},
        )

    return run


async def _run_until_stopped(
    role: Role,
    settings: schema.Settings,
    surroundings: environment.Environment,
) -> exit_status.ExitStatus:
    handler = signal_handler.SignalHandler(anyio.Event())
    status = exit_status.ExitStatus.SUCCESS
    try:
        with signal_handler.subscribed(
            surroundings.signals, handler, role.stop_timeout_s(settings)
        ):
            await role.run(settings, handler.stop)
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


def _make_command(role: Role, help_text: str) -> options.Command:
    return options.Command(
        name=role.name,
        help=help_text,
        example=f'redwingvalve {role.name} {EXAMPLES}/{role.name}-1.yaml',
        run=_make_runner(role),
        options=(
            options.Option(dest='settings', help='the YAML settings file'),
        ),
    )


ENTRY = _make_command(
    Role('entry', entry.run_entry, _entry_stop_timeout_s),
    'run an entry, which serves client requests',
)
CONTROL = _make_command(
    Role('control', control.run_control, _control_stop_timeout_s),
    'run a controller, which serves administration and manages replicas',
)
ALL = (ENTRY, CONTROL)
