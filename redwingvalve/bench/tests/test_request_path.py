import io
import json

import attrs
import pytest

from redwingvalve.bench import request_path, request_path_run
from redwingvalve.bench import request_path_cases as cases
from redwingvalve.bench import request_path_entries as entries

OURS = entries.ARRANGEMENTS[0]
BY_NAME = {one.name: one for one in entries.ARRANGEMENTS}


def figures(number, arrangement=OURS, seed=1):
    case = attrs.evolve(cases.CASES[number - 1], duration_s=22.0)
    return request_path_run.run_case(case, arrangement, seed)


def test_overload_keeps_its_goodput_and_refuses_at_once():
    """Callers ask for half again what there is; most of capacity is in time.

    Without admission every queue grows and nearly all answers come late.
    """
    ours = figures(6)
    assert ours.goodput_share_of_capacity >= 0.9
    assert ours.wrongly_refused_share <= 0.01
    assert ours.late_refusal_share <= 0.15
    plain = figures(6, BY_NAME['no admission'])
    assert plain.goodput_share_of_capacity <= 0.6


def test_moderate_accounts_do_not_lose_to_a_hot_one():
    """One account asks ten times its usual; the others get what they ask."""
    assert figures(2).innocent_in_target_share >= 0.98


def test_a_hot_prefix_is_served_twice_as_fast_as_by_round_robin():
    """The first token of 95 in 100 comes at least twice as early."""
    ours = figures(3).first_token_p95_s
    assert 2 * ours <= figures(3, BY_NAME['round robin']).first_token_p95_s


@pytest.mark.parametrize('seed', range(3))
def test_a_poison_request_costs_at_most_two_endpoints(seed):
    """Its caller sends it every second; others lose nothing by it."""
    ours = figures(8, seed=seed)
    assert ours.deaths <= 2
    assert ours.in_target_share >= 0.99
    assert ours.failed == 0


def test_lost_replicas_do_not_multiply_the_work():
    """A third of the replicas dies; at most a tenth is sent twice."""
    assert figures(7).sends_per_request <= 1.1


def test_the_report_is_json_and_a_table():
    """Programs and people read the same figures."""
    report = request_path.Report(1, (figures(4),), ())
    stream = io.StringIO()
    request_path.write_report(report, 'json', stream)
    assert json.loads(stream.getvalue())['figures'][0]['case'] == 4
    request_path.write_report(report, 'table', stream)
    assert 'case 4: one endpoint 10 times slower' in stream.getvalue()
