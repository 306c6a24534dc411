"""The relay bench relays whole streams through each relay."""

import io
import json

from redwingvalve.bench import relay_cost, relay_report, request_cost


def test_every_relay_relays_every_token():
    costs = relay_cost.measure_all(streams=2, tokens=5, gap_s=0.001)
    assert [cost.tokens for cost in costs] == [10] * 7
    table, rows = io.StringIO(), io.StringIO()
    relay_report.write_report(costs, 'table', table)
    relay_report.write_report(costs, 'json', rows)
    assert relay_cost.PLAIN in table.getvalue()
    assert len(json.loads(rows.getvalue())) == 7


def test_every_kind_of_request_is_answered_whole():
    costs = request_cost.measure_all(requests=3)
    assert [cost.requests for cost in costs] == [24] * 4
