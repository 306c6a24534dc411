"""Short node soak test, and tests that its checks detect breaches."""

import anyio
import pytest

from redwingvalve.platform.standins import endpoint as fake_endpoint
from redwingvalve.platform.tests import fleet_harness
from tests.integration import (
    node_soak,
    node_versions,
    node_world,
    soak_streams,
)

GUARD_S = 120
DURATION_S = 8.0
SEED = 3
# Regression seeds and the cause of their breach:
# 45: a new lease holder sent orders based on state from before an outage.
REGRESSION_SEEDS = (45,)
NODES = 4
JOIN = {'operation': 'join', 'model': fleet_harness.SMALL_MODEL}


@pytest.mark.slow
@pytest.mark.parametrize('seed', [SEED, *REGRESSION_SEEDS])
def test_short_run_has_no_breaches(tmp_path, seed):
    """Callers get their own complete response or an accurate error.

    Nodes are paused, killed and stopped and lose the store or its responses;
    endpoints crash, restart and apply operations late. Finally, an endpoint is
    drained without faults, and the data centre is evacuated and used again.
    """

    async def scenario():
        with anyio.fail_after(GUARD_S):
            return await node_soak.soak(seed, DURATION_S, NODES, tmp_path)

    results, _, breaches = anyio.run(scenario)
    assert not breaches
    assert results.served > results.sent / 2
    assert results.streams.served


@pytest.fixture
def cluster(tmp_path):
    return node_world.NodeCluster(SEED, NODES, tmp_path)


def served_results():
    return node_soak.RunResults(outcomes=[(1.0, True)])


def run_of(attempt):
    return fake_endpoint.Run(attempt, b'/quote/1', (), None)


def test_reports_quote_that_ran_twice(cluster):
    endpoint = node_world.WatchedEndpoint(
        cluster, 'e1', fleet_harness.PLAIN_SERVICE
    )
    cluster.endpoints['e1'] = endpoint
    endpoint.runs += [run_of(b'a1-1'), run_of(b'a1-1')]
    results = served_results()
    results.at_most_once.append(b'a1-1')
    assert node_soak.check(cluster, results) == ["b'a1-1' ran 2 times"]


def test_reports_false_not_run_response(cluster):
    endpoint = node_world.WatchedEndpoint(
        cluster, 'e1', fleet_harness.PLAIN_SERVICE
    )
    cluster.endpoints['e1'] = endpoint
    endpoint.runs.append(run_of(b'a1-1'))
    results = served_results()
    results.not_run.append(b'a1-1')
    assert len(node_soak.check(cluster, results)) == 1


def test_reports_missing_recovery(cluster):
    results = node_soak.RunResults(outcomes=[(1.0, False), (2.0, True)])
    assert node_soak.check(cluster, results) == ['recovered 1 of 2']


def test_reports_member_of_two_replicas(cluster):
    """A member joins another replica while its current head is open."""

    async def scenario():
        for name in ('e1', 'e2'):
            one = node_world.WatchedEndpoint(
                cluster, name, fleet_harness.ENGINE_SERVICE
            )
            cluster.endpoints[name] = one
            one._join(
                {**JOIN, 'group': 'g', 'epoch': 1, 'members': ['e1', 'e2']}
            )
        head, member = cluster.endpoints.values()
        head.group = {**head.group, 'state': 'open'}
        member._join({**JOIN, 'group': 'h', 'epoch': 2, 'members': ['e2']})

    anyio.run(scenario)
    assert len(cluster.breaches) == 1


@pytest.mark.parametrize(
    ('status', 'body', 'is_breach'),
    [
        (200, b'body of %b', False),
        (200, b'another body', True),
        (503, b'', False),
    ],
)
def test_reports_response_of_another_request(cluster, status, body, is_breach):
    results = node_soak.RunResults()
    caller = node_soak.Caller(cluster, results, cluster.rng)
    caller.connection = fleet_harness.Caller(('127.0.0.1', 1))
    attempt = caller.connection.attempt_id(0)
    response = fleet_harness.Response(
        status, {}, body.replace(b'%b', attempt), 'whole'
    )
    caller._check_response('card', response)
    assert bool(results.breaches) == is_breach


def event(number):
    return b'id: %d\ndata: %d\n\n' % (number, number)


@pytest.mark.parametrize('ending', ['whole', 'closed', 'not ended in time'])
@pytest.mark.parametrize(
    ('body', 'is_start'),
    [
        (b'', True),
        (event(1) + event(2), True),
        (event(1) + event(2)[:9], True),
        (event(1) + event(3), False),
        (event(1) + event(2) + event(2), False),
        (event(2) + event(1), False),
        (event(1) + event(2)[:9] + event(2), False),
        (event(1) + event(2) + event(3) + event(4), False),
        (event(1) + b'id: 2\ndata: 3\n\n', False),
    ],
)
def test_reports_stream_that_is_out_of_order(cluster, body, is_start, ending):
    """A piece is missing or doubled, or the end comes early, in any stream."""
    results = node_soak.RunResults()
    caller = node_soak.Caller(cluster, results, cluster.rng)
    caller.connection = fleet_harness.Caller(('127.0.0.1', 1))
    caller.stream = soak_streams.Stream(3)
    response = fleet_harness.Response(200, {}, body, ending)
    caller._check_response('stream', response)
    is_allowed = is_start and ending != 'whole'
    assert len(results.breaches) == (not is_allowed)


def test_accepts_whole_stream(cluster):
    results = node_soak.RunResults()
    caller = node_soak.Caller(cluster, results, cluster.rng)
    caller.connection = fleet_harness.Caller(('127.0.0.1', 1))
    caller.stream = soak_streams.Stream(3)
    body = event(1) + event(2) + event(3)
    response = fleet_harness.Response(200, {}, body, 'whole')
    assert caller._check_response('stream', response)
    assert not results.breaches


@pytest.mark.parametrize(
    ('responses', 'is_breach'),
    [
        # Seen in use, then missing.
        ([(2, 200, 1.0), (2, 404, 2.0)], True),
        ([(2, 200, 1.0), (1, 404, 2.0)], True),
        # A request in flight during the change, and a version not yet applied.
        ([(2, 200, 1.0), (2, 404, 1.1)], False),
        ([(2, 200, 1.0), (3, 404, 2.0)], False),
        ([(2, 404, 1.0), (2, 200, 2.0)], False),
    ],
)
def test_reports_configuration_rollback(cluster, responses, is_breach):
    versions = node_versions.Versions(cluster, cluster.rng)
    for version, status, at_s in responses:
        versions.record_response(7, version, status, at_s, at_s)
    assert bool(versions.breaches) == is_breach


def test_reports_node_with_stale_configuration(cluster, monkeypatch):
    """The node returns 404 for a new route and accepts a revoked key."""

    async def ask(node, path, key):
        return 404 if 'version' in path else 200

    monkeypatch.setattr(node_versions, '_get_status', ask)
    cluster.nodes.append(node_world.NodeProcess(0, '127.0.0.1', None, None))
    versions = node_versions.Versions(cluster, cluster.rng, number=3)
    assert len(anyio.run(versions.check_converged)) == 2
