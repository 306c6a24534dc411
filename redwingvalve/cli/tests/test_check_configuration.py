"""The check of a configuration before it is sent."""

import io
import json

import pytest

from redwingvalve.cli import main
from redwingvalve.core import environment
from redwingvalve.platform.tests import fleet_harness


@pytest.fixture
def spec():
    return json.loads(json.dumps(fleet_harness.configuration()))


def check(tmp_path, candidate, *more):
    """Return the exit status and what is printed."""
    path = tmp_path / 'candidate.json'
    path.write_text(json.dumps(candidate))
    return run([str(path), *more])


def run(arguments):
    surroundings = environment.make_environment()
    surroundings.stdout = io.StringIO()
    surroundings.stderr = io.StringIO()
    status = main.main(['check-configuration', *arguments], surroundings)
    return int(status), surroundings.stdout.getvalue()


def test_a_sound_configuration_has_no_findings(tmp_path, spec):
    status, printed = check(tmp_path, spec)
    assert status == 0
    assert 'no findings' in printed
    stored = {'metadata': {'revision': 3}, 'spec': spec}
    assert check(tmp_path, stored) == (status, printed)


def remove_field(spec):
    spec['routes'][1].pop('kind')
    return 1, 'error', 'routes[1]', 'kind'


def misspell_service(spec):
    spec['routes'][0]['service'] = 'engine'
    return 1, 'error', 'routes[draft]', "'engine' is not configured"


def repeat_name(spec):
    spec['routes'][0]['name'] = 'card'
    return 1, 'error', 'routes[card]', '2 entries'


def repeat_key(spec):
    other = {'name': 'other', 'api_keys': ['x', fleet_harness.API_KEY]}
    spec['tenants'].append(other)
    return 1, 'error', 'tenants[other].api_keys[1]', 'tenants[workshop]'


def shadow_route(spec):
    host = fleet_harness.HOST.upper()
    spec['routes'][3].update(path_prefix='/card/', host=host)
    return 0, 'warning', 'routes[open]', "'card'"


def remove_routes(spec):
    spec['routes'] = spec['routes'][1:]
    service = fleet_harness.ENGINE_SERVICE
    return 0, 'warning', f'services[{service}]', 'no route'


def remove_keys(spec):
    spec['tenants'][0]['api_keys'] = []
    return 0, 'warning', 'tenants[workshop]', 'no key'


def raise_goal(spec):
    spec['routes'][2]['goal_ms'] = 5000
    return 0, 'warning', 'routes[card]', 'timeout_ms 4000'


def raise_attempts(spec):
    spec['routes'][1]['max_attempts'] = 3
    return 0, 'warning', 'routes[quote]', 'max_attempts 3'


MISTAKES = [
    remove_field,
    misspell_service,
    repeat_name,
    repeat_key,
    shadow_route,
    remove_routes,
    remove_keys,
    raise_goal,
    raise_attempts,
]


@pytest.mark.parametrize('mistake', MISTAKES)
def test_a_mistake_is_found_with_its_location(tmp_path, spec, mistake):
    status, severity, path, message = mistake(spec)
    found, printed = check(tmp_path, spec, '--format', 'json')
    assert found == status
    rows = json.loads(printed)['findings']
    (row,) = [one for one in rows if one['path'] == path]
    assert row['severity'] == severity
    assert message in row['message']
    # Keys of client accounts don't reach terminals and logs.
    assert fleet_harness.API_KEY not in printed


@pytest.mark.parametrize('candidate', [None, 7, [], {}, {'routes': 1}])
def test_another_document_is_an_error_and_no_fault(tmp_path, candidate):
    status, printed = check(tmp_path, candidate)
    assert status == 1
    assert printed.startswith('error: ')


def test_differences_from_the_version_in_force_are_listed(tmp_path, spec):
    in_force = tmp_path / 'in_force.json'
    in_force.write_text(json.dumps(spec))
    spec['version'] = 2
    spec['routes'][2]['goal_ms'] = 500
    spec['routes'].pop(3)
    spec['tenants'][0]['api_keys'] = ['secret']
    status, printed = check(tmp_path, spec, '--in-force', str(in_force))
    assert status == 0
    lines = [line.partition('(')[2] for line in printed.splitlines()]
    assert lines == [
        'version): 1 -> 2',
        'routes[card].goal_ms): 400 -> 500',
        'routes[open]): removed',
        'tenants[workshop].api_keys): 1 added, 1 removed',
    ]


def test_hedge_shares_that_have_no_effect_are_found(tmp_path, spec):
    spec['routes'][0]['resumable'] = False
    spec['routes'][0]['max_attempts'] = 1
    shares = ['--hedge-share', '0.05', 'none=0.1']
    status, printed = check(tmp_path, spec, *shares)
    assert status == 1
    assert 'services[none]): hedged, not configured' in printed
    service = fleet_harness.ENGINE_SERVICE
    assert f'services[{service}]): never hedged' in printed


def test_a_hedge_share_above_the_retry_budget_is_found(tmp_path, spec):
    """Half of the usable retries are left to retries: 0.2 x 0.8 / 2."""
    file_name = str(write_settings(tmp_path))
    for share, count in (('0.08', 0), ('0.09', 2)):
        arguments = ['--settings', file_name, '--hedge-share', share]
        status, printed = check(tmp_path, spec, *arguments)
        assert status == 0
        assert printed.count('retries leave 0.08 at most') == count


def write_settings(tmp_path):
    document = {
        'node': 'n',
        'ip': '127.0.0.1',
        'zone': 'z',
        'region': 'r',
        'listen': dict.fromkeys(('front', 'ready', 'directory'), '127.0.0.1:1'),
        'internal_ports': [1, 2],
        'heartbeat_ms': 1200,
        'bounds': fleet_harness.BOUNDS,
        'platform': {'address': '127.0.0.1:1'},
    }
    path = tmp_path / 'settings.json'
    path.write_text(json.dumps(document))
    return path


def test_a_missing_file_is_bad_usage(tmp_path):
    assert run([str(tmp_path / 'none.json')])[0] == 2
    assert run([])[0] == 2
