"""Client accounts, kinds and prompt sizes in a burst, in simulated time.

Bounds are those of the specification: a group is served at least a quarter as
often as all requests, and a less urgent kind at most 5 in 100 more often than
a more urgent one.
"""

import pytest

from redwingvalve.ingress.tests import competing_load, load_simulation

DEPLOYMENT = load_simulation.Deployment(
    nodes=6,
    heads=9,
    slots=10,
    service_s=0.6,
    first_event_s=0.1,
    goal_s=0.4,
    data_centres=3,
)
KINDS = (
    competing_load.Kind('chat', 0.4, 0, 0.4),
    competing_load.Kind('draft', 0.4, 1, 0.4),
    competing_load.Kind('batch', 0.2, 2, 1.0),
)
MIN_GOODPUT = 0.9
MIN_SERVED_SHARE = 0.25
MAX_INVERSION = 0.05
# Callers of a group below which its share says little.
MIN_CALLERS = 20


def account_shares(large):
    """Return shares of the load: of one large account and 23 small ones."""
    weights = [1 / (rank + 1) ** 0.7 for rank in range(23)]
    shares = {
        f'small {rank}': (1 - large) * weight / sum(weights)
        for rank, weight in enumerate(weights)
    }
    return {'large': large, **shares}


def simulate(load, large, seconds=8.0, kinds=KINDS, **more):
    """Return the callers of a burst but for its first half second."""
    mix = competing_load.Mix(
        kinds, account_shares(large), account_shares(0.1), **more
    )
    callers = competing_load.simulate(DEPLOYMENT, mix, load, seconds)
    return [one for one in callers if 2.5 <= one.arrived_s < 2 + seconds]


def served_by(callers, group):
    """Return how often groups were served, relative to all callers."""
    served = competing_load.tally(callers).served
    return {
        name: tally.served / served
        for name, tally in competing_load.by_group(callers, group).items()
        if tally.callers >= MIN_CALLERS
    }


def goodput(callers, seconds):
    on_time = competing_load.tally(callers).on_time * len(callers)
    return on_time / (DEPLOYMENT.capacity_per_s * (seconds - 0.5))


@pytest.mark.parametrize(('load', 'large'), [(1.5, 0.5), (2.5, 0.7)])
def test_no_group_starves_beside_a_large_account(load, large):
    """Small accounts, large prompts and less urgent kinds get slots.

    By age and urgency alone, the large account gets its share of all requests,
    and of the least urgent kind nine of ten are late or refused.
    """
    callers = simulate(load, large)
    assert goodput(callers, 8.0) >= MIN_GOODPUT
    groups = (
        lambda one: one.account,
        lambda one: one.kind.name,
        lambda one: one.size_rank,
    )
    for group in groups:
        assert min(served_by(callers, group).values()) >= MIN_SERVED_SHARE
    kinds = competing_load.by_group(callers, lambda one: one.kind.name)
    assert kinds['batch'].served <= kinds['draft'].served + MAX_INVERSION
    assert kinds['draft'].served <= kinds['chat'].served + MAX_INVERSION


def test_small_accounts_are_on_time_beside_a_large_one():
    """Small accounts that need two thirds of the slots lose next to none."""
    callers = simulate(1.5, 0.5, kinds=KINDS[1:2])
    small = competing_load.tally(
        [one for one in callers if one.account != 'large']
    )
    assert small.on_time >= 0.9


def test_answers_of_a_burst_are_on_time_rather_than_late():
    """Late requests take no slots that others could use in time."""
    callers = simulate(2.0, 0.6)
    assert goodput(callers, 8.0) >= MIN_GOODPUT
    found = competing_load.tally(callers)
    assert found.late <= 0.15 * found.served


def test_priorities_of_accounts_invert_no_kinds():
    """A kind with a long goal outlasts more urgent ones in the queue.

    Most requests are of one account with the highest priority, so that the
    kinds differ little in urgency.
    """
    priorities = {'large': 0, 'small 0': 2, 'small 5': 0}
    callers = simulate(2.0, 0.6, priorities=priorities)
    kinds = competing_load.by_group(callers, lambda one: one.kind.name)
    assert kinds['batch'].served <= kinds['draft'].served + MAX_INVERSION
    assert kinds['draft'].served <= kinds['chat'].served + MAX_INVERSION
    assert min(served_by(callers, lambda one: one.account).values()) >= (
        MIN_SERVED_SHARE
    )
