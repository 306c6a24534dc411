"""The trace command finds one request in the spans and logs of all nodes."""

import json

from redwingvalve.cli import main
from redwingvalve.observability import tracing
from redwingvalve.settings import schema


def write_files(folder):
    for node in ('entry-a', 'entry-b'):
        provider = tracing.make_tracing(
            schema.TracingSettings('file', str(folder / f'{node}.spans')), node
        )
        for request_id in ('wanted', f'other-{node}'):
            attributes = {'redwingvalve.request_id': f'{request_id}'}
            if node == 'entry-b':
                attributes['redwingvalve.request_id'] = f'x-{request_id}'
            span = provider.start_span('entry request', attributes=attributes)
            child = provider.start_span(
                'send', parent=span, attributes={'replica': f'r-{request_id}'}
            )
            child.add_event('send failed', {'why': 'reset'})
            child.end()
            span.end()
        provider.shutdown()
    log = folder / 'entry-a.log'
    rows = [
        {'time': 't', 'node': 'entry-a', 'message': 'entry: wanted was lost'},
        {'time': 't', 'node': 'entry-a', 'message': 'entry: nothing'},
    ]
    log.write_text('\n'.join([*map(json.dumps, rows), '{"torn']))
    return log


def test_request_is_shown_with_spans_events_and_logs(tmp_path, capsys):
    log = write_files(tmp_path)
    status = main.main(
        [
            'trace',
            'wanted',
            '--spans',
            f'{tmp_path}/*.spans',
            '--logs',
            str(log),
        ]
    )
    printed = capsys.readouterr().out.splitlines()
    assert status == 0
    assert 'entry request on redwingvalve/entry-a' in printed[0]
    assert 'replica=r-wanted' in printed[1]
    assert 'send failed (why=reset)' in printed[2]
    assert printed[3] == 't entry-a: entry: wanted was lost'
    assert len(printed) == 4


def test_unknown_request_or_file_is_reported(tmp_path, capsys):
    assert main.main(['trace', 'nobody']) == 1
    assert main.main(['trace', 'a', '--spans', str(tmp_path / 'no')]) == 2
    assert 'no span or log line names it' in capsys.readouterr().err
