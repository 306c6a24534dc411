"""The check-configuration command: checks what is about to be sent."""

import argparse
import json
import pathlib
import typing
from collections import abc as collections_abc

from redwingvalve.cli import options
from redwingvalve.core import environment, exit_status
from redwingvalve.node import options as node_options
from redwingvalve.platform import (
    configuration_changes,
    configuration_check,
    settings,
)

_ERROR = configuration_check.Severity.ERROR


class UsageError(Exception):
    """A file or an option can't be used."""


def run_check(
    arguments: argparse.Namespace, surroundings: environment.Environment
) -> exit_status.ExitStatus:
    """Check a configuration, and compare it with the one in force."""
    try:
        checked = _check(arguments)
    except UsageError as error:
        print(f'redwingvalve: {error}', file=surroundings.stderr)
        return exit_status.ExitStatus.USAGE
    if arguments.format == 'json':
        rows = [_row(one) for one in checked]
        print(json.dumps({'findings': rows}), file=surroundings.stdout)
    else:
        for one in checked:
            line = f'{one.severity.value}: {one.finding}'
            print(line, file=surroundings.stdout)
        if not checked:
            print(f'{arguments.file}: no findings', file=surroundings.stdout)
    severities = {finding.severity for finding in checked}
    if _ERROR in severities:
        return exit_status.ExitStatus.FAILURE
    return exit_status.ExitStatus.SUCCESS


def _check(
    arguments: argparse.Namespace,
) -> collections_abc.Sequence[configuration_check.Checked]:
    candidate = _read_spec(arguments.file)
    hedging = _read_hedging(arguments)
    checked = configuration_check.check(candidate, arguments.file, hedging)
    if arguments.in_force:
        in_force = _read_spec(arguments.in_force)
        checked += configuration_changes.compare(
            in_force, candidate, arguments.file
        )
    return checked


def _read_spec(file_name: str) -> typing.Any:
    """Return a spec, also out of a stored object."""
    try:
        text = pathlib.Path(file_name).read_text(encoding='utf-8')
        document = json.loads(text)
    except OSError as error:
        raise UsageError(f'{file_name}: {error.strerror}') from error
    except ValueError as error:
        raise UsageError(f'{file_name}: invalid JSON: {error}') from error
    if isinstance(document, dict) and 'metadata' in document:
        return document.get('spec')
    return document


def _read_hedging(
    arguments: argparse.Namespace,
) -> configuration_check.Hedging:
    shares = [
        f'{node_options.HEDGE_SHARE}={share}'
        for share in arguments.hedge_share or ()
    ]
    try:
        chosen = node_options.parse(shares)
    except node_options.OptionError as error:
        raise UsageError(str(error)) from error
    if not arguments.settings:
        return configuration_check.Hedging(chosen.hedge_shares)
    try:
        node_settings = settings.read_settings(pathlib.Path(arguments.settings))
    except settings.SettingsError as error:
        raise UsageError(str(error)) from error
    return configuration_check.Hedging(
        chosen.hedge_shares, node_settings.bounds.retry_ratio
    )


def _row(checked: configuration_check.Checked) -> dict[str, str]:
    finding = checked.finding
    return {
        'severity': checked.severity.value,
        'file': finding.location.file_name,
        'path': finding.location.path,
        'message': finding.message,
    }


CHECK_CONFIGURATION = options.Command(
    name='check-configuration',
    help='check the JSON of config/main before it is sent to the store',
    example='redwingvalve check-configuration new.json --in-force old.json',
    run=run_check,
    options=(
        options.Option(dest='file', help='the JSON of the spec'),
        options.flag('in_force', 'the version in force, to list differences'),
        options.Option(
            dest='format',
            flags=('--format',),
            choices=('table', 'json'),
            default='table',
            help='output format',
        ),
        options.Option(
            dest='hedge_share',
            flags=('--hedge-share',),
            nargs='+',
            help='shares that the nodes are started with',
        ),
        options.flag('settings', 'settings of a node, for its retry budget'),
    ),
)
