"""The command runs in-process with streams of the test's own."""

import io

from redwingvalve.cli import main
from redwingvalve.core import clock, environment, exit_status


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


def test_check_reports_a_missing_file():
    status, _, errors = run('check', 'no-such-file.yaml')
    assert status == exit_status.ExitStatus.FINDINGS
    assert 'no-such-file.yaml: cannot be read' in errors


def test_an_unknown_command_is_a_usage_error():
    assert run('fly')[0] == exit_status.ExitStatus.USAGE
