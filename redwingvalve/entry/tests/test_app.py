"""Responses of an entry in front of scripted engines."""

import json

import pytest

from redwingvalve.entry import upstream
from redwingvalve.entry.tests import fakes

ENGINES = {'r1:1': fakes.streaming(), 'r2:1': fakes.streaming()}


def test_stream_is_complete_and_has_the_callers_id():
    (got,) = fakes.run(
        fakes.Engines(dict(ENGINES)), {'headers': {'x-request-id': 'mine'}}
    )
    assert got.status == 200 and got.ended
    assert got.tokens == [' t1', ' t2', ' t3']
    assert got.body.endswith(b'data: [DONE]\n\n')
    assert got.headers['x-request-id'] == 'mine'
    assert got.headers['x-redwingvalve-outcome'] == 'ran'
    assert got.body.count(b'"chatcmpl-mine"') == 3


@pytest.mark.parametrize(
    ('arguments', 'status', 'code'),
    [
        ({'body': b'{"model": '}, 400, 'malformed-request'),
        ({'body': {'model': 'quotes'}}, 400, 'malformed-request'),
        ({'body': b'x' * 10_001}, 413, 'body-too-large'),
        ({'body': {'model': 'no', 'messages': [{}]}}, 404, 'unknown-model'),
        ({'path': '/nowhere'}, 404, 'unknown-path'),
        (
            {'headers': {'authorization': 'Bearer no'}},
            401,
            'unknown-credential',
        ),
        (
            {'headers': {'x-redwingvalve-priority': '9'}},
            403,
            'priority-not-allowed',
        ),
        (
            {'headers': {'x-redwingvalve-deadline-ms': 'x'}},
            400,
            'malformed-request',
        ),
        ({'headers': {'x-request-id': 'a b'}}, 400, 'malformed-request'),
    ],
)
def test_invalid_input_is_refused_and_not_run(arguments, status, code):
    engines = fakes.Engines(dict(ENGINES))
    (got,) = fakes.run(engines, arguments)
    assert (got.status, got.error['code']) == (status, code)
    assert got.error['outcome'] == 'not-run'
    assert got.headers['x-redwingvalve-outcome'] == 'not-run'
    assert engines.sent == []


def test_syntax_error_position_is_reported():
    (got,) = fakes.run(fakes.Engines(), {'body': b'{\n "model": x}'})
    assert 'body:2:11' in got.error['message']


def test_models_and_entries_are_listed():
    models, entries = fakes.run(
        fakes.Engines(),
        {'path': '/v1/models', 'method': 'GET'},
        {'path': '/v1/entries', 'method': 'GET'},
    )
    assert json.loads(models.body)['data'][0]['id'] == 'quotes'
    assert json.loads(entries.body) == {
        'entries': [{'address': '127.0.0.1:2', 'data_centre': 'hall-a'}],
        'keep_s': 10.0,
    }


def test_service_with_the_longest_prefix_is_used():
    engines = fakes.Engines({'s1:1': fakes.answering(201, b'part')})
    (got,) = fakes.run(engines, {'path': '/parts/7', 'method': 'GET'})
    assert (got.status, got.body) == (201, b'part')
    assert engines.sent[0].path == '/parts/7'


def test_non_idempotent_call_is_not_retried_at_another_address():
    """A non-idempotent call is not retried after its connection broke.

    The first address accepts the request and disconnects before it responds.
    Whether it billed is unknown, and a second attempt could bill twice.
    """
    engines = fakes.Engines(
        {'s1:1': fakes.failing(fakes.broken()), 's2:1': fakes.answering(200)}
    )
    (got,) = fakes.run(engines, {'path': '/parts/bill'})
    assert got.error['outcome'] == 'unknown'
    assert len(engines.sent) == 1


def test_refused_connection_is_retried_even_if_not_idempotent():
    """A non-idempotent request is retried after a refused connection.

    No byte of the request reached the first replica, so sending it to the
    second one is safe.
    """
    refused = upstream.UpstreamError('refused', not_sent=True)
    engines = fakes.Engines(
        {'r1:1': fakes.failing(refused), 'r2:1': fakes.streaming()}
    )
    (got,) = fakes.run(
        engines, {'headers': {'x-redwingvalve-idempotent': 'false'}}
    )
    assert got.tokens == [' t1', ' t2', ' t3']


def test_refused_at_once_without_a_permitted_replica():
    (got,) = fakes.run(fakes.Engines(), {}, permits=fakes.Permits({'r1', 'r2'}))
    assert (got.status, got.error['outcome']) == (503, 'not-run')
    assert got.headers['retry-after'] == '1'
