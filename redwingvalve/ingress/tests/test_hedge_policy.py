"""When a request counts as overdue, and how many may be hedged."""

import math
import random

import pytest

from redwingvalve.ingress import hedge_limit, hedge_policy, retry_budget
from redwingvalve.ingress.tests import budget_fleets

USUAL_S = 0.1
SLOW_S = 1.0
SHARE = 0.05
WINDOW_S = 10.0
RNG = random.Random(4)
CONFIG = retry_budget.RetryBudgetConfig(0.2, 60, WINDOW_S)


def observed(durations_s, now_s=0.0):
    latencies = hedge_policy.KindLatencies()
    for duration_s in durations_s:
        latencies.observe(duration_s, now_s, is_overdue=False)
    return latencies


def test_nothing_is_overdue_before_some_answers_are_known():
    few = observed([USUAL_S] * (hedge_policy.MIN_SAMPLES - 1))
    assert few.delay_s(SHARE, 0.0) is None


@pytest.mark.parametrize('slow_percent', [1, 3, 10, 30])
def test_a_slow_tail_of_any_size_is_overdue(slow_percent):
    """A quantile alone would lie within a tail that exceeds the share."""
    slow = [SLOW_S] * slow_percent
    latencies = observed([USUAL_S] * (100 - slow_percent) + slow)
    assert USUAL_S <= latencies.delay_s(SHARE, 0.0) < SLOW_S / 2


def test_the_delay_follows_a_fleet_that_turns_slow():
    latencies = observed([USUAL_S] * 100)
    for _ in range(hedge_policy.MAX_SAMPLES):
        latencies.observe(SLOW_S, 1.0, is_overdue=True)
    assert latencies.delay_s(SHARE, 1.0) == SLOW_S


def test_a_slow_fleet_is_told_from_a_slow_endpoint():
    """Of three endpoints one is slow, then all are."""
    latencies = observed([USUAL_S] * 100)
    for number in range(60):
        if number % 3:
            latencies.observe(USUAL_S, 0.0, is_overdue=False)
        else:
            latencies.note_overdue()
        assert not latencies.is_fleet_slow
    for _ in range(hedge_policy.RECENT_REQUESTS):
        latencies.note_overdue()
    assert latencies.is_fleet_slow


def test_cancelled_sends_do_not_shorten_the_delay():
    """Their durations end at the moment of the hedge's answer."""
    rng = random.Random(1)
    latencies = observed([rng.uniform(0.05, 0.15) for _ in range(100)])
    first_s = latencies.delay_s(SHARE, 0.0)
    for _ in range(1000):
        delay_s = latencies.delay_s(SHARE, 0.0)
        took_s = rng.uniform(0.05, 0.15) if rng.random() > 0.05 else SLOW_S
        cancelled_s = min(took_s, delay_s + 0.1)
        latencies.observe(cancelled_s, 0.0, is_overdue=took_s > delay_s)
    assert latencies.delay_s(SHARE, 0.0) > 0.9 * first_s


def test_old_answers_are_forgotten():
    latencies = observed([USUAL_S] * 100)
    assert latencies.delay_s(SHARE, hedge_policy.MAX_AGE_S + 1) is None


def test_memory_is_bounded():
    policy = hedge_policy.HedgePolicy()
    kept = policy.latencies(('kept', 's', ''))
    for number in range(2 * hedge_policy.MAX_KINDS):
        policy.latencies((f'r{number}', 's', ''))
        assert policy.latencies(('kept', 's', '')) is kept
    assert len(policy._kinds) == hedge_policy.MAX_KINDS


def make_budget(nodes=1):
    return retry_budget.RetryBudget(
        CONFIG, budget_fleets.FixedFleet(nodes), -math.inf
    )


class Node:
    """Hedges whenever it is allowed, as if all endpoints were slow."""

    def __init__(self, nodes=1):
        self.nodes = nodes
        self.requests_s = []
        self.hedges_s = []
        self.start()

    def start(self):
        self.limit = hedge_limit.HedgeLimit(SHARE, WINDOW_S, RNG)
        self.budget = make_budget(self.nodes)

    def handle(self, now_s, *, is_slow=True):
        self.limit.record_request(now_s)
        self.budget.record_request(now_s)
        self.requests_s.append(now_s)
        if is_slow and self.limit.try_spend(self.budget, now_s):
            self.hedges_s.append(now_s)


def within(times_s, end_s):
    return sum(end_s - WINDOW_S < one_s <= end_s for one_s in times_s)


def assert_within_share(fleet, end_s):
    requests = sum(within(node.requests_s, end_s) for node in fleet)
    hedges = sum(within(node.hedges_s, end_s) for node in fleet)
    assert hedges <= SHARE * requests


def test_nothing_is_hedged_at_the_start():
    node = Node()
    node.handle(0.0)
    assert not node.hedges_s


@pytest.mark.parametrize('restart_s', [math.inf, 7.0, 2.0])
def test_a_slow_fleet_keeps_to_the_share_through_restarts(restart_s):
    """Every node restarts again and again, and knows nothing of before."""
    rng = random.Random(2)
    fleet = [Node(8) for _ in range(8)]
    restarted_s = dict.fromkeys(range(8), 0.0)
    for step in range(12_000):
        now_s = step / 200
        number = rng.randrange(8)
        if now_s - restarted_s[number] > restart_s:
            restarted_s[number] = now_s
            fleet[number].start()
        fleet[number].handle(now_s)
        if step % 500 == 0:
            assert_within_share(fleet, now_s)
    if restart_s > WINDOW_S:
        hedges = sum(len(node.hedges_s) for node in fleet)
        assert hedges > SHARE * 12_000 / 2


@pytest.mark.parametrize('nodes', [7, 68, 361])
def test_any_number_of_nodes_keeps_to_the_share(nodes):
    """All endpoints turn slow; many nodes have less than one hedge each."""
    rng = random.Random(nodes)
    fleet = [Node(nodes) for _ in range(nodes)]
    for step in range(52_000):
        now_s = step / 260
        rng.choice(fleet).handle(now_s, is_slow=now_s > 150)
    for end_s in range(151, 200, 2):
        assert_within_share(fleet, end_s)
    hedges = sum(len(node.hedges_s) for node in fleet)
    assert hedges > SHARE * 13_000 / 4


def test_added_nodes_add_only_their_own_requests():
    rng = random.Random(3)
    fleet = [Node(4) for _ in range(4)]
    for step in range(12_000):
        if step == 6000:
            fleet += [Node(12) for _ in range(8)]
        rng.choice(fleet).handle(step / 200)
        if step % 500 == 0:
            assert_within_share(fleet, step / 200)


def test_a_burst_pays_for_no_hedges_after_it():
    node = Node()
    for step in range(2000):
        node.limit.record_request(step / 400)
        node.budget.record_request(step / 400)
    later_s = 5.0 + WINDOW_S / 2 + 0.1
    assert not node.limit.has_left(later_s)


def test_retries_find_half_of_their_budget():
    budget, limit = make_budget(), hedge_limit.HedgeLimit(1.0, WINDOW_S)
    for _ in range(300):
        limit.record_request(1.0)
        budget.record_request(1.0)
    hedges = sum(limit.try_spend(budget, 1.0) for _ in range(300))
    use = budget.use(1.0)
    assert hedges == use.retries
    assert use.left >= use.allowed * hedge_limit.RESERVED_FOR_RETRIES - 1


def test_without_a_retry_budget_nothing_is_hedged():
    """Both would exceed what the endpoints accept in total."""
    limit = hedge_limit.HedgeLimit(1.0, WINDOW_S)
    limit.record_request(1.0)
    empty = retry_budget.RetryBudgetConfig(0, 0, WINDOW_S)
    budget = retry_budget.RetryBudget(empty, budget_fleets.FixedFleet(1))
    assert not limit.try_spend(budget, 1.0)


def test_shares_differ_by_service():
    shares = hedge_limit.HedgeShares(0.05, {'a': 0.2, 'b': 0.0})
    assert [shares.share(name) for name in 'abc'] == [0.2, 0.0, 0.05]
