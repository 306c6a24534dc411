"""The cause of a request's outcome is found in the logs of all nodes."""

import json

import pytest

from redwingvalve.observability import request_explanation


def line(second, message, **fields):
    return json.dumps(
        {'time': f'2026-01-01 00:00:0{second}', 'message': message, **fields}
    )


def explain(tmp_path, *lines):
    half = len(lines) // 2
    (tmp_path / 'a.log').write_text('\n'.join(lines[half:]))
    (tmp_path / 'b.log').write_text('not JSON {\n' + '\n'.join(lines[:half]))
    paths = [str(tmp_path / name) for name in ('a.log', 'b.log')]
    return request_explanation.explain('r1', paths)


def test_refused_request_is_explained_by_lack_of_slots(tmp_path):
    found = explain(
        tmp_path,
        line(
            1,
            'ingress: no place',
            request='r1',
            targets=2,
            under_way=16,
            waiting=4,
        ),
        line(2, 'ingress: refused', request='r1', status=503, reason='none'),
        line(1, 'ingress: refused', request='r2', status=401, reason='key'),
    )
    assert len(found.lines) == 2
    assert '2 endpoints in use' in found.cause and '16' in found.cause


def test_stalled_stream_is_traced_to_its_replica(tmp_path):
    found = explain(
        tmp_path,
        line(1, 'replicas: replica broken', replica='m.1.2', lost=['i-9']),
        line(2, 'ingress: sent again: silent', request='r1', replica='m.1.2'),
        line(
            3,
            'ingress: given up: silent',
            request='r1',
            replica='m.1.3',
            endpoint='i-3',
            epoch=7,
            sends=2,
        ),
    )
    assert 'i-3' in found.cause and 'epoch 7' in found.cause
    assert found.replica_lines[0]['lost'] == ['i-9']


def test_unknown_outcome_is_reported(tmp_path):
    found = explain(
        tmp_path,
        line(
            1,
            'ingress: given up: broken',
            request='r1',
            endpoint='i-1',
            reason='reset',
            sends=1,
        ),
        line(2, 'ingress: refused', request='r1', status=502, reason='x'),
    )
    assert 'may have begun' in found.cause and 'reset' in found.cause


def test_request_without_final_log_line(tmp_path):
    found = explain(tmp_path, line(1, 'ingress: odd', request='r1'))
    assert found.cause == 'no line says how it ended'
    with pytest.raises(OSError):
        request_explanation.explain('r1', [str(tmp_path / 'missing.log')])
