"""Tests of decoding the platform's documents and of errors in them."""

import json

import hypothesis
import pytest
from hypothesis import strategies

from redwingvalve.fleet import endpoints
from redwingvalve.http1 import messages
from redwingvalve.ingress import routes
from redwingvalve.platform import (
    caller_requests,
    configuration,
    entries,
    settings,
)
from redwingvalve.platform.tests import fleet_harness

ENTRY = {
    'service': 's',
    'address': '10.0.0.1:80',
    'zone': 'z',
    'version': 'v1',
    'slots': 9,
    'state': 'ready',
    'cold_left_ms': 2500,
    'seq': 4,
    'born': 1700000000000,
    'domain': 'd',
    'staged': ['m'],
    'models': [{'name': 'm', 'version': 1, 'adapters': []}],
    'group': {'name': 'm.1.1', 'epoch': 7, 'rank': 0, 'state': 'open'},
}


def stored(spec, name='i-1'):
    return {'metadata': {'name': name, 'revision': 5}, 'spec': spec}


def test_entry_is_decoded_to_an_endpoint():
    endpoint = entries.decode_endpoint(stored(ENTRY))
    assert (endpoint.host, endpoint.port, endpoint.slots) == ('10.0.0.1', 80, 9)
    assert endpoint.staged == endpoint.models == ('m',)
    assert endpoint.membership.state is endpoints.MemberState.OPEN
    assert not endpoint.draining
    assert endpoint.cold_left_ms == 2500


@pytest.mark.parametrize(
    'invalid',
    [
        {'state': 'asleep'},
        {'service': 3},
        {'address': 'nowhere'},
        {'address': 'host.example:80'},
        {'address': 'lm..svc:8080'},
        {'address': f'{"l" * 70}.svc:80'},
        {'address': 'a\0b:80'},
        {'address': '\ud800:80'},
        {'address': '[::1]:80'},
        {'address': '10.0.0.1:70000'},
        {'address': '10.0.0.1:+80'},
        {'address': f'10.0.0.1:{"9" * 5000}'},
        {'slots': '9'},
        {'slots': True},
        {'born': 1.5},
        {'cold_left_ms': '9'},
        {'cold_left_ms': -1},
        {'group': {'name': 'g'}},
        {'group': {'name': 'g', 'epoch': 1, 'rank': 0, 'state': 'odd'}},
        {'staged': [3]},
        {'staged': 'm'},
        {'models': {'m': 1}},
        {'models': [{}]},
        {'domain': 5},
        {'group': ['m.1.1']},
        {'group': {'name': ['g'], 'epoch': 1, 'rank': 0, 'state': 'open'}},
        {'slots': 2**31},
        {'seq': None},
        {'cold_left_ms': float('nan')},
        {'cold_left_ms': 'soon'},
        {'version': 1},
        {'zone': 'a\nb'},
        {'zone': 'z' * 70_000},
        {'service': '\ud800'},
    ],
)
def test_invalid_entry_is_rejected(invalid):
    with pytest.raises(entries.EndpointEntryError):
        entries.decode_endpoint(stored({**ENTRY, **invalid}))


@pytest.mark.parametrize('name', ['domain', 'group', 'models', 'staged'])
def test_entry_with_only_some_fields_of_models_is_rejected(name):
    """Its replica or its place in the fabric would be guessed."""
    entry = {key: one for key, one in ENTRY.items() if key != name}
    with pytest.raises(entries.EndpointEntryError, match=name):
        entries.decode_endpoint(stored(entry))


@pytest.mark.parametrize('foreign', [0, '', [], False])
def test_group_of_another_type_is_no_missing_group(foreign):
    with pytest.raises(entries.EndpointEntryError, match='group'):
        entries.decode_endpoint(stored({**ENTRY, 'group': foreign}))


@pytest.mark.parametrize(
    'changes',
    [
        {'domain': '', 'group': None, 'models': [], 'staged': []},
        {'domain': None, 'group': {}, 'models': None, 'staged': None},
        {'cold_left_ms': 12.5},
    ],
)
def test_entries_of_earlier_deployments_stay_usable(changes):
    """Some have no start time, and plain ones empty or no model fields."""
    entry = {**ENTRY, **changes}
    entry.pop('born')
    assert entries.decode_endpoint(stored(entry)).born_ms == 0


json_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.text(max_size=5),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=5), inner)
    ),
    max_leaves=5,
)


@hypothesis.given(
    strategies.dictionaries(strategies.sampled_from(sorted(ENTRY)), json_values)
)
def test_any_entry_is_decoded_or_rejected(changes):
    try:
        entries.decode_endpoint(stored({**ENTRY, **changes}))
    except entries.EndpointEntryError:
        return


@hypothesis.given(json_values)
def test_any_configuration_is_decoded_or_rejected(spec):
    try:
        configuration.decode_configuration(stored(spec))
    except configuration.ConfigurationError:
        return


@hypothesis.given(json_values)
def test_any_settings_are_decoded_or_rejected(document):
    try:
        settings.decode_settings(document)
    except settings.SettingsError:
        return


def test_settings_error_names_the_missing_field(tmp_path):
    path = tmp_path / 'settings.json'
    path.write_text('{"node": "n"}')
    with pytest.raises(settings.SettingsError, match="'listen'"):
        settings.read_settings(path)
    path.write_text('{')
    with pytest.raises(settings.SettingsError, match='settings.json'):
        settings.read_settings(path)


def test_stream_may_be_repeated_only_if_it_is_resumable():
    spec = {
        'version': 3,
        'routes': [
            {
                'name': 'r',
                'host': 'h',
                'path_prefix': '/',
                'kind': 'stream',
                'service': 's',
                'resumable': resumable,
            }
            for resumable in (True, False)
        ],
        'services': [],
    }
    decoded = configuration.decode_configuration(stored(spec))
    assert [route.may_repeat for route in decoded.routes] == [True, False]
    assert not decoded.needs_keys
    assert decoded.limits == routes.DEFAULT_LIMITS


def test_cold_limits_of_services_are_optional():
    """Earlier deployments have none, and must be served as before."""
    spec = {
        'version': 1,
        'routes': [],
        'services': [
            {'name': 'a'},
            {'name': 'b', 'cold_s': 20, 'cold_per_s': 14},
        ],
    }
    services = configuration.decode_configuration(stored(spec)).services
    assert (services['a'].cold_s, services['a'].cold_per_s) == (0, 0)
    assert (services['b'].cold_s, services['b'].cold_per_s) == (20, 14)


def test_callers_cannot_set_headers_of_this_system():
    request = messages.Request(
        method=b'POST',
        target=b'/a',
        headers=[
            (b'host', b'h:80'),
            (b'x-tenant', b'another'),
            (b'x-request-urgency', b'0'),
            (b'x-expect-instance', b'i-9'),
            (b'api-key', b'secret'),
            (b'connection', b'x-hop'),
            (b'x-hop', b'1'),
            (b'x-attempt-id', b'a1'),
            (b'x-model', b'm'),
            (b'x-token-counts', b'10,20'),
            (b'x-deadline-ms', b'900'),
            (b'last-event-id', b'12'),
        ],
        body=b'{}',
        keep_alive=True,
    )
    caller = caller_requests.read_request(request)
    assert (caller.prompt_tokens, caller.answer_tokens) == (10, 20)
    assert (caller.deadline_ms, caller.last_event) == (900, 12)
    sending = caller_requests.ForwardingHeaders('i-1', 700, 'workshop', 3, 15)
    sent = caller_requests.render_request(request, caller, sending)
    head, _, body = sent.partition(b'\r\n\r\n')
    lines = head.split(b'\r\n')
    assert not body and lines[0] == b'POST /a HTTP/1.1'
    assert b'content-length: 2' in lines
    assert b'x-tenant: workshop' in lines and b'x-expect-instance: i-1' in lines
    assert b'x-deadline-ms: 700' in lines and b'last-event-id: 15' in lines
    assert b'x-request-urgency: 3' in lines and b'x-model: m' in lines
    assert not any(b'secret' in line or b'x-hop' in line for line in lines)
    assert not any(b'another' in line or b'i-9' in line for line in lines)


@pytest.mark.parametrize('text', ['', 'x', '1.5', '-3', '9' * 30, '²'])
def test_malformed_deadline_counts_as_not_stated(text):
    request = messages.Request(
        b'GET', b'/', [(b'x-deadline-ms', text.encode())], b'', True
    )
    deadline_ms = caller_requests.read_request(request).deadline_ms
    assert deadline_ms is None or deadline_ms == int(text)


@pytest.mark.parametrize('digits', [19, 400, 5000])
def test_a_deadline_too_large_counts_as_not_stated(digits):
    """It can't be converted or divided: the connection was closed."""
    request = messages.Request(
        b'GET', b'/', [(b'x-deadline-ms', b'9' * digits)], b'', True
    )
    assert caller_requests.read_request(request).deadline_ms is None


@pytest.mark.parametrize(
    ('bounds', 'expected'),
    [({}, None), ({'evacuate_ms': None}, None), ({'evacuate_ms': 50}, 50)],
)
def test_the_limit_of_evacuations_is_optional(bounds, expected):
    """Earlier platforms evacuate nothing and don't state it."""
    found = fleet_harness.node_settings(
        'node-0', '127.0.0.1:1', {**fleet_harness.BOUNDS, **bounds}
    )
    assert found.bounds.evacuate_ms == expected


@pytest.mark.parametrize('invalid', [0, -1, '5000', True, []])
def test_an_invalid_limit_of_evacuations_is_reported(invalid):
    """With a limit that isn't in force the bound would be broken silently."""
    bounds = {**fleet_harness.BOUNDS, 'evacuate_ms': invalid}
    with pytest.raises(settings.SettingsError, match='evacuate_ms'):
        fleet_harness.node_settings('node-0', '127.0.0.1:1', bounds)


def test_all_settings_errors_are_reported_at_once(tmp_path):
    """The operator can fix the file in finding go, while no node listens."""
    path = tmp_path / 'settings.json'
    document = {
        'node': 7,
        'ip': '127.0.0.1',
        'zone': 'zone-1',
        'region': '',
        'listen': {'front': '127.0.0.1:99999', 'ready': 'here'},
        'internal_ports': [],
        'platform': [],
        'heartbeat_ms': True,
        'bounds': {'drain_ms': 0, 'budget_extra': -1},
    }
    path.write_text(json.dumps(document))
    with pytest.raises(settings.SettingsError) as caught:
        settings.read_settings(path)
    messages_by_path = {
        finding.location.path: finding.message
        for finding in caught.value.findings.entries
    }
    assert {
        'node',
        'region',
        'listen.front',
        'listen.ready',
        'listen.directory',
        'internal_ports',
        'platform.address',
        'heartbeat_ms',
        'bounds.drain_ms',
        'bounds.grace_s',
        'bounds.budget_extra',
    } <= set(messages_by_path)
    assert 'zone' not in messages_by_path
    assert all(str(path) in line for line in str(caught.value).splitlines())


@pytest.mark.parametrize(
    ('stated', 'shared'),
    [
        (b'', ()),
        (b'a1:40', ()),
        (b'A1:40,b2:7, c3:1', ('a1', 'b2')),
        (b'a1:40,a1:40,b2:7', ('a1',)),
        # The last part belongs to the session, wherever else it stands.
        (b'a1:40,b2:7,a1:40', ('b2',)),
        (b',:3,a1,b2,', ('a1',)),
    ],
)
def test_parts_of_a_prompt_are_those_before_the_last(stated, shared):
    request = messages.Request(
        b'POST', b'/', [(b'x-prompt-prefix', stated)], b'', True
    )
    assert caller_requests.read_request(request).shared_parts == shared
