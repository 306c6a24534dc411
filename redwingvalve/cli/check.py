"""The check command: validates a file and reports every finding."""

import argparse
import json
import pathlib

from expression import Error, Ok, Result

from redwingvalve.cli import options
from redwingvalve.core import environment, exit_status, findings
from redwingvalve.declaration import reader
from redwingvalve.platform import settings as platform_settings
from redwingvalve.settings import loader

SETTINGS_KEYS = ('node:', 'listen:')


def run_check(
    arguments: argparse.Namespace, surroundings: environment.Environment
) -> exit_status.ExitStatus:
    """Check a declaration, YAML settings or the JSON settings of a node."""
    checked = _check_file(arguments.file)
    if checked.is_error():
        _print_findings(checked.error, arguments.output, surroundings)
        return exit_status.ExitStatus.FINDINGS
    if arguments.output == 'json':
        print(json.dumps({'findings': []}), file=surroundings.stdout)
    else:
        print(f'{arguments.file}: no findings', file=surroundings.stdout)
    return exit_status.ExitStatus.SUCCESS


def _check_file(file_name: str) -> Result[object, findings.Findings]:
    if _is_json(file_name):
        return _check_platform_settings(file_name)
    if _is_settings_file(file_name):
        return loader.load_file(file_name)
    return reader.read_file(file_name)


def _is_json(file_name: str) -> bool:
    return pathlib.Path(file_name).suffix == '.json'


def _check_platform_settings(
    file_name: str,
) -> Result[object, findings.Findings]:
    try:
        return Ok(platform_settings.read_settings(pathlib.Path(file_name)))
    except platform_settings.SettingsError as error:
        return Error(error.findings)


def _is_settings_file(file_name: str) -> bool:
    try:
        text = pathlib.Path(file_name).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError):
        return False
    return any(line.startswith(SETTINGS_KEYS) for line in text.splitlines())


def _print_findings(
    found: findings.Findings, output: str, surroundings: environment.Environment
) -> None:
    if output == 'table':
        print(str(found), file=surroundings.stderr)
        return
    rows = [
        {
            'file': finding.location.file_name,
            'line': finding.location.line,
            'column': finding.location.column,
            'path': finding.location.path,
            'message': finding.message,
        }
        for finding in found.entries
    ]
    print(json.dumps({'findings': rows}), file=surroundings.stdout)


CHECK = options.Command(
    name='check',
    help='check a declaration or settings file and report all findings',
    example='redwingvalve check examples/tapiceria.yaml',
    run=run_check,
    options=(
        options.Option(
            dest='file',
            help='the YAML file, or the JSON settings of a node',
        ),
        options.OUTPUT,
    ),
)
