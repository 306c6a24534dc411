from hypothesis import given
from hypothesis import strategies as st

from redwingvalve.limits import account_limits

ENTRIES = ('e0', 'e1', 'e2', 'e3')
LIMIT = 1000.0
STEP_S = 0.5


class Fleet:
    """Entries that publish every half second; cut pairs lose reports."""

    def __init__(self, publish_every=1):
        self.publish_every, self.steps = publish_every, 0
        self.entries = {}
        self.bodies = {name: {} for name in ENTRIES}
        self.now_s = 0.0
        self.max_total = 0.0
        for name in ENTRIES:
            limits = account_limits.make_account_limits(name)
            limits.replace_limits({'a': LIMIT})
            self.entries[name] = limits

    def step(self, demands, cut=frozenset()):
        self.now_s += STEP_S
        self.steps += 1
        for name, demand in demands.items():
            self.entries[name].ask('a', demand * STEP_S, self.now_s)
        for name, limits in self.entries.items():
            received = [
                (other, body, self.now_s - at_s)
                for other, (at_s, body) in self.bodies[name].items()
            ]
            body = limits.update(ENTRIES, received, self.now_s)
            if self.steps % self.publish_every:
                continue
            for other in ENTRIES:
                if other != name and (name, other) not in cut:
                    self.bodies[other][name] = (self.now_s, body)
            self.max_total = max(self.max_total, sum(self.usable().values()))

    def published(self):
        return {
            name: self.bodies[other][name][1]
            for other in ENTRIES
            for name in self.bodies[other]
        }

    def usable(self):
        return {
            name: limits.usable_per_s('a', self.now_s)
            for name, limits in self.entries.items()
        }

    def run(self, duration_s, demands, cut=frozenset()):
        for _ in range(round(duration_s / STEP_S)):
            self.step(demands, cut)


def test_shares_follow_demand_between_entries():
    """An account whose callers all use one entry gets most of its limit.

    When they move to another entry, the shares follow within about 15 s.
    """
    fleet = Fleet()
    fleet.run(30, {'e0': 2000})
    assert fleet.usable()['e0'] >= 0.8 * LIMIT
    fleet.run(25, {'e3': 2000})
    assert fleet.usable()['e3'] >= 0.8 * LIMIT
    assert fleet.max_total <= LIMIT * 1.00001


def test_grants_expire_in_a_partition_before_they_are_reused():
    """One entry has nearly the whole limit when it is cut off from the others.

    Its borrowed grants expire and it falls to its equal share before the others
    use theirs again. The total never exceeds the limit.
    """
    fleet = Fleet()
    fleet.run(30, {'e0': 2000})
    cut = {(a, b) for a in ENTRIES for b in ENTRIES if 'e0' in {a, b}}
    fleet.run(20, dict.fromkeys(ENTRIES, 2000), cut)
    assert fleet.usable()['e0'] <= LIMIT / 4 + 1
    assert fleet.max_total <= LIMIT * 1.00001


PHASES = st.lists(
    st.tuples(
        st.integers(1, 20),
        st.dictionaries(st.sampled_from(ENTRIES), st.integers(1, 3000)),
        st.frozensets(
            st.tuples(st.sampled_from(ENTRIES), st.sampled_from(ENTRIES)),
            max_size=12,
        ),
    ),
    max_size=8,
)


@given(PHASES)
def test_the_sum_stays_within_the_limit_under_any_partition(phases):
    """Demand changes and reports are lost in any direction, also one way."""
    fleet = Fleet()
    for steps, demands, cut in phases:
        fleet.run(steps * STEP_S, demands, cut)
    assert fleet.max_total <= LIMIT * 1.00001


@given(PHASES, st.integers(2, 5))
def test_the_sum_stays_within_the_limit_when_reports_are_rare(phases, every):
    """Shares change each half second but are published less often.

    Grants that were decided but not published count as lent too.
    """
    fleet = Fleet(every)
    for steps, demands, cut in phases:
        fleet.run(steps * STEP_S, demands, cut)
    assert fleet.max_total <= LIMIT * 1.00001


def test_evenly_used_accounts_are_not_published():
    """With 360 entries, reports of all would be 430 KB a second to each.

    Only an entry that needs more publishes, and then those that lend to it.
    """
    fleet = Fleet()
    fleet.run(20, dict.fromkeys(ENTRIES, LIMIT / 8))
    assert not any(fleet.published().values())
    fleet.run(20, {'e0': LIMIT})
    assert all(fleet.published().values())
    assert fleet.usable()['e0'] > 0.7 * LIMIT


def test_two_borrowers_that_cannot_hear_each_other_share_one_surplus():
    """e2 and e3 have high demand and lose contact; e0 and e1 hear both.

    If each took what is free in its own view, both would take the same part.
    Grants name the borrower, which keeps the parts separate.
    """
    fleet = Fleet()
    fleet.run(20, {'e2': 2000, 'e3': 2000}, {('e2', 'e3'), ('e3', 'e2')})
    assert fleet.usable()['e2'] > 1.3 * LIMIT / 4
    assert fleet.max_total <= LIMIT * 1.00001


def test_an_account_over_its_limit_gets_a_retry_delay():
    """With demand far above the share, only the share is admitted."""
    fleet = Fleet()
    fleet.run(10, {})
    limits = fleet.entries['e0']
    waits = [limits.ask('a', 50, fleet.now_s) for _ in range(100)]
    assert 1 <= waits.count(0.0) <= LIMIT / 4 / 50 + 1
    assert 0 < waits[-1] <= 8
    assert limits.ask('unlimited', 10**9, fleet.now_s) == 0


def test_more_borrowers_than_max_borrowers_all_get_a_share():
    """An account is used at 20 of 60 entries.

    A lender lends to eight entries. If all lenders selected the same eight,
    twelve entries would refuse requests although the account is far below its
    limit.
    """
    names = tuple(f'e{index}' for index in range(60))
    entries = {name: account_limits.make_account_limits(name) for name in names}
    busy, demand = names[:20], LIMIT * 0.6 / 20
    bodies = {}
    for turn in range(24):
        now_s = turn * STEP_S
        for name, limits in entries.items():
            limits.replace_limits({'a': LIMIT})
            if name in busy:
                limits.ask('a', demand * STEP_S, now_s)
        bodies = {
            name: limits.update(
                names,
                [(other, body, 0.1) for other, body in bodies.items()],
                now_s,
            )
            for name, limits in entries.items()
        }
    shares = {
        name: limits.usable_per_s('a', now_s)
        for name, limits in entries.items()
    }
    assert min(shares[name] for name in busy) > 0.8 * demand
    assert sum(shares.values()) <= LIMIT * 1.00001
