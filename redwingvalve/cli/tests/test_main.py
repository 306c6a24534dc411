"""Commands run in the test process with in-memory streams."""

import io
import os
import socket
import subprocess
import sys

import pytest

from redwingvalve.cli import commands, main
from redwingvalve.core import clock, environment, exit_status
from redwingvalve.entry import serving


def run(*arguments):
    surroundings = environment.Environment(
        stdout=io.StringIO(),
        stderr=io.StringIO(),
        stdin=io.StringIO(),
        variables={},
        clock=clock.ManualClock(),
    )
    status = main.main(arguments, surroundings)
    return (
        status,
        surroundings.stdout.getvalue(),
        surroundings.stderr.getvalue(),
    )


def test_check_reports_all_findings_of_node_settings(tmp_path):
    path = tmp_path / 'settings.json'
    path.write_text('{"node": "vm-1", "listen": {"front": "nowhere"}}')
    status, _, errors = run('check', str(path))
    assert status == exit_status.ExitStatus.FINDINGS
    assert f'{path} (listen.front)' in errors
    assert f'{path} (platform.address)' in errors


def test_check_reports_a_missing_file():
    status, _, errors = run('check', 'no-such-file.yaml')
    assert status == exit_status.ExitStatus.FINDINGS
    assert 'no-such-file.yaml: cannot be read' in errors


def test_unknown_command_is_a_usage_error():
    assert run('fly')[0] == exit_status.ExitStatus.USAGE


def test_every_command_has_help_with_an_example(capsys):
    for command in commands.ALL:
        status, _, _ = run(command.name, '--help')
        help_text = capsys.readouterr().out
        assert status == exit_status.ExitStatus.SUCCESS
        assert f'example:\n  redwingvalve {command.name}' in help_text


@pytest.mark.parametrize('daemon', ['entry', 'control'])
def test_daemon_reports_a_port_in_use(daemon, tmp_path):
    """The error names the address and the reason, without a traceback."""
    with (
        serving.bind_socket('127.0.0.1') as bound_socket,
        socket.socket() as free,
    ):
        free.bind(('127.0.0.1', 0))
        ports = [one.getsockname()[1] for one in (bound_socket, free)]
        settings = tmp_path / 'entry.yaml'
        settings.write_text(
            'node: {name: e1, data_centre: a, region: r}\n'
            f'listen: {{http_port: {ports[0]}, peer_port: {ports[1]}}}\n'
            'platform: {object_api_url: "http://127.0.0.1:9"}\n'
        )
        free.close()
        status, _, errors = run(daemon, str(settings))
    assert status == exit_status.ExitStatus.FAILURE
    plain_lines = [
        line for line in errors.splitlines() if not line.startswith('{')
    ]
    assert len(plain_lines) == 1
    assert plain_lines[0].startswith(
        f'127.0.0.1:{ports[0]} cannot be listened on'
    )


def test_completion_lists_the_commands(tmp_path):
    """Runs the program with the variables of argcomplete's shell hook."""
    completions = tmp_path / 'offered'
    line = 'redwingvalve d'
    variables = {
        '_ARGCOMPLETE': '1',
        '_ARGCOMPLETE_SHELL': 'bash',
        '_ARGCOMPLETE_STDOUT_FILENAME': str(completions),
        '_ARGCOMPLETE_COMP_WORDBREAKS': ' ',
        'COMP_LINE': line,
        'COMP_POINT': str(len(line)),
        'COMP_TYPE': '9',
    }
    subprocess.run(
        [sys.executable, '-m', 'redwingvalve'],
        env={**os.environ, **variables},
        check=True,
    )
    assert set(completions.read_text().split('\x0b')) >= {'drain', 'describe'}
