"""Lost and late requests are counted from the logs of all nodes."""

import argparse
import io
import json

import attrs
import pytest

from redwingvalve.cli import losses
from redwingvalve.core import environment, exit_status
from redwingvalve.observability import request_losses


def line(second, message, request='', **fields):
    entry = {
        'time': f'2026-01-01 00:00:{second:02},500',
        'message': f'ingress: {message}',
        'request': request,
        **fields,
    }
    return json.dumps(entry)


LINES = (
    line(1, 'answered', 'a', route='r', endpoint='i-1', on_time=True),
    line(2, 'no place', 'b', route='r', held_ms=40),
    line(2, 'refused', 'b', status=503, reason='no endpoint has a free place'),
    line(3, 'answered', 'c', route='r', on_time=False, has_returned=True),
    line(4, 'sent again: silent', 'd', route='r', endpoint='i-1', sends=1),
    line(4, 'answered', 'd', route='r', endpoint='i-2', sends=2),
    line(5, 'answered', 'e', route='q', waited_ms=200, first_ms=400),
    line(5, 'answered', 'f', route='q', waited_ms=1, first_ms=400),
    line(6, 'answered', 'g', route='q', is_late_first=False, pause_ms=400),
    line(7, 'given up: broken', 'h', route='q', endpoint='i-1'),
    line(7, 'refused', 'h', status=502, reason='no whole answer'),
    line(8, 'refused', 'i', status=401, reason='unknown key'),
    line(9, 'caller left', 'j', route='q'),
)
CAUSES = {
    request_losses.ON_TIME: 1,
    request_losses.NO_PLACE: 1,
    request_losses.REFUSED_BEFORE: 1,
    request_losses.RESENT: 1,
    request_losses.WAITED_FOR_SLOT: 1,
    request_losses.SLOW_ENDPOINT: 1,
    request_losses.PAUSED_BETWEEN_EVENTS: 1,
    'given up: broken': 1,
    request_losses.CALLER_LEFT: 1,
}


def write(tmp_path, *lines):
    path = tmp_path / 'node.log'
    path.write_text('\n'.join(lines))
    return str(path)


def run(*logs, as_json=False, plot=None):
    printed, errors = io.StringIO(), io.StringIO()
    surroundings = attrs.evolve(
        environment.make_environment(), stdout=printed, stderr=errors
    )
    arguments = argparse.Namespace(logs=list(logs), json=as_json, plot=plot)
    status = losses.run_losses(arguments, surroundings)
    return status, printed.getvalue(), errors.getvalue()


def test_each_request_is_counted_once_with_its_cause(tmp_path):
    found = request_losses.read([write(tmp_path, *LINES)])
    assert found.counts_by_cause() == CAUSES
    assert found.by('route')['r'][request_losses.NO_PLACE] == 1
    assert found.held_s(0.99) == 0.04
    assert list(found.counts_by_interval()) == [0.0, 2.0, 4.0, 6.0, 8.0]


def test_table_and_json_agree(tmp_path):
    path = write(tmp_path, *LINES)
    status, printed, _ = run(path)
    assert status is exit_status.ExitStatus.SUCCESS
    assert (
        request_losses.REFUSED_BEFORE in printed and '0.040 s (p99)' in printed
    )
    status, printed, _ = run(path, as_json=True)
    document = json.loads(printed)
    assert document['causes'] == CAUSES
    assert document['requests'] == len(CAUSES)


def test_a_plot_is_written(tmp_path):
    plot = tmp_path / 'losses.png'
    run(write(tmp_path, *LINES), plot=str(plot))
    assert plot.read_bytes().startswith(b'\x89PNG')


@pytest.mark.parametrize(
    ('truncated', 'place'),
    [
        (LINES[0][:30], 'node.log:14'),
        ('{"time": 1, "message"', 'node.log:14'),
    ],
)
def test_truncated_line_is_reported_and_the_rest_counted(
    tmp_path, truncated, place
):
    status, printed, errors = run(
        write(tmp_path, *LINES, truncated), as_json=True
    )
    assert status is exit_status.ExitStatus.FINDINGS
    assert place in errors
    assert json.loads(printed)['causes'] == CAUSES


def test_log_of_another_program_is_reported(tmp_path):
    status, _, errors = run(write(tmp_path, 'GET / 200', 'GET /x 404'))
    assert status is exit_status.ExitStatus.FINDINGS
    assert 'no line of a node' in errors


def test_missing_file_is_reported(tmp_path):
    status, _, errors = run(str(tmp_path / 'none.log'))
    assert status is exit_status.ExitStatus.USAGE
    assert 'none.log' in errors
