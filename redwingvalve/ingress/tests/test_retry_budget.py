import hypothesis
from hypothesis import strategies

from redwingvalve.ingress import retry_budget
from redwingvalve.ingress.tests import budget_fleets

NODES = 6
CONFIG = retry_budget.RetryBudgetConfig(0.2, 60, 10.0)
USABLE = retry_budget.USABLE_SHARE


def make_budget(nodes=NODES, *, started_s=-100.0, is_restarted=False):
    fleet = budget_fleets.FixedFleet(nodes, is_restarted)
    return retry_budget.RetryBudget(CONFIG, fleet, started_s)


def spend_all(budget, now_s):
    spent = 0
    while budget.try_spend(now_s):
        spent += 1
    return spent


def test_budget_grows_with_requests_and_has_a_fixed_share():
    budget = make_budget()
    for _ in range(100):
        budget.record_request(0.0)
    assert spend_all(budget, 1.0) == int((0.2 * 100 + 60 / NODES) * USABLE)
    assert budget.try_spend(11.5)


def test_a_new_process_has_its_whole_share_after_a_window():
    budget = make_budget(started_s=0.0)
    starting = int(60 / NODES * USABLE * retry_budget.STARTING_SHARE)
    assert spend_all(budget, 9.9) == starting
    assert spend_all(budget, 20.0) == int(60 / NODES * USABLE)


def test_a_process_that_follows_a_young_one_starts_without_a_share():
    budget = make_budget(nodes=1, started_s=0.0, is_restarted=True)
    assert spend_all(budget, 9.9) == 0


def test_the_fixed_share_is_kept_until_the_nodes_are_known():
    """The store is away while a node starts."""
    budget = make_budget(nodes=0)
    for _ in range(100):
        budget.record_request(0.0)
    assert spend_all(budget, 1.0) == int(0.2 * 100 * USABLE)


@hypothesis.given(
    strategies.lists(
        strategies.lists(strategies.floats(0.1, 30.0), max_size=8),
        min_size=1,
        max_size=NODES,
    )
)
def test_restarts_never_hand_out_more_than_the_budget(restarts_s):
    """Each node spends all that it may, before and after each restart."""
    spent_s = []
    for starts_s in restarts_s:
        spent_s += _spend_through(sorted(starts_s))
    for from_s in spent_s:
        in_window = sum(from_s <= at_s < from_s + 10 for at_s in spent_s)
        assert in_window <= 60


def _spend_through(starts_s):
    """Return when a node that restarts at starts_s spends its retries."""
    spent_s = []
    began_s = -100.0
    previous_s = None
    for ended_s in (*starts_s, 40.0):
        is_restarted = previous_s is not None and began_s - previous_s < 10
        budget = make_budget(started_s=began_s, is_restarted=is_restarted)
        for at_s in _moments(began_s, ended_s):
            spent_s += [at_s] * spend_all(budget, at_s)
        previous_s, began_s = began_s, ended_s
    return spent_s


def _moments(began_s, ended_s):
    first_s = max(began_s, 0.0)
    count = int((ended_s - first_s) / 0.5) + 1
    return [min(first_s + step * 0.5, ended_s) for step in range(count + 1)]
