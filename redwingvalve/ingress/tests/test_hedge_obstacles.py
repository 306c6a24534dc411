"""Requests that must not be hedged."""

import time

import anyio
import pytest

from redwingvalve.ingress import hedge_policy, routes
from redwingvalve.ingress.tests import hedged_exchange


async def answer_late(exchange):
    await exchange.wait_for_sends(1)
    await anyio.sleep(3 * hedged_exchange.USUAL_S)
    assert len(exchange.connections) == 1
    exchange.connections[0].answer(b'first')


def assert_not_hedged(exchange, reason=''):
    before = hedged_exchange.held_back(reason)
    hedged_exchange.play(exchange, answer_late)
    assert exchange.responder.body == b'first'
    assert len(exchange.given) == 1
    if reason:
        assert hedged_exchange.held_back(reason) == before + 1


def test_a_request_that_must_not_repeat_is_not_hedged():
    assert_not_hedged(hedged_exchange.Exchange(routes.RouteKind.NON_IDEMPOTENT))


def test_a_request_with_one_attempt_is_not_hedged():
    assert_not_hedged(hedged_exchange.Exchange(attempts=1))


def test_a_trial_of_a_suspected_request_is_not_hedged():
    exchange = hedged_exchange.Exchange()
    exchange.is_trial = True
    assert_not_hedged(exchange)


@pytest.mark.parametrize('fingerprint', [hedged_exchange.KEYS.fingerprint, 8])
def test_a_suspected_request_or_part_is_not_hedged(fingerprint):
    """It would crash two endpoints at once."""
    exchange = hedged_exchange.Exchange()
    exchange.state.poison.record_broken_run(
        fingerprint, ('other', 1), hedged_exchange.KEYS.parts
    )
    assert_not_hedged(exchange, 'suspected')


def test_a_request_is_not_hedged_while_others_wait():
    exchange = hedged_exchange.Exchange()
    exchange.state.reserver.has_spare = False
    assert_not_hedged(exchange, 'no spare slot')


def test_a_restarted_node_hedges_nothing():
    """It knows neither usual durations nor requests."""
    exchange = hedged_exchange.Exchange()
    exchange.state.hedge_latencies = hedge_policy.HedgePolicy()
    assert_not_hedged(exchange, 'few answers')


def test_an_exhausted_limit_hedges_nothing():
    exchange = hedged_exchange.Exchange()
    limit, budget = (
        exchange.state.hedge_limit('s'),
        exchange.state.retry_budget('s'),
    )
    for _ in range(hedge_policy.MIN_SAMPLES):
        limit.try_spend(budget, time.monotonic())
    for _ in range(10 * hedge_policy.MIN_SAMPLES):
        budget.record_request(time.monotonic())
    while limit.try_spend(budget, time.monotonic()):
        continue
    assert_not_hedged(exchange, 'limit')


def test_a_slow_fleet_hedges_nothing():
    exchange = hedged_exchange.Exchange()
    latencies = exchange.state.hedge_latencies.latencies(('/', 's', ''))
    for _ in range(hedge_policy.RECENT_REQUESTS):
        latencies.note_overdue()
    assert_not_hedged(exchange, 'slow fleet')
