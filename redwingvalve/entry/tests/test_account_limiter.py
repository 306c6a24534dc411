"""Account limits hold over all entries and refuse requests at once."""

from redwingvalve.core import clock
from redwingvalve.entry import account_limiter
from redwingvalve.entry.tests import fakes
from redwingvalve.membership import members
from redwingvalve.news import bus

LIMIT_PER_S = 100.0


class SharedNews(bus.NewsBus):
    """A news bus that delivers immediately; cut ones get only their own."""

    def __init__(self, owner, shared, cut):
        self.owner, self.shared, self.cut = owner, shared, cut

    def publish(self, channel, key, body):
        self.shared[channel.name, self.owner, key] = body

    def read(self, channel):
        return tuple(
            bus.NewsItem(name, owner, 1, key, 1, body, 0.1)
            for (name, owner, key), body in self.shared.items()
            if name == channel.name and not (self.cut and owner != self.owner)
        )


class FixedMembers(fakes.Members):
    def __init__(self, name, names):
        super().__init__()
        self.name, self.names = name, names

    def local_member(self):
        return self.member(self.name)

    def known(self):
        return tuple(map(self.member, self.names))

    def member(self, name):
        return members.Member(name, 1, 'entry', 'h', 1, 2, 'hall-a', 'tx')


def make_limiters(time_source, shared, cut=()):
    names = ('e1', 'e2', 'e3')
    account = fakes.account(tokens_per_s=LIMIT_PER_S)
    source = fakes.Source(fakes.make_snapshot(client_accounts=(account,)))
    limiters = [
        account_limiter.AccountLimiter(
            source,
            FixedMembers(name, names),
            SharedNews(name, shared, name in cut),
            time_source,
        )
        for name in names
    ]
    return limiters, account


def granted_tokens(limiters, account, time_source, duration_s, flooded):
    """Request far more than the limit at flooded; return granted tokens."""
    passed = 0.0
    for _ in range(round(duration_s / 0.1)):
        for limiter in limiters:
            limiter._update()
        for limiter in flooded:
            for _ in range(10):
                passed += limiter.check_tokens(account, 5.0) is None and 5.0
        time_source.advance(0.1)
    return passed


def test_total_of_all_entries_stays_at_the_limit():
    """Flooding three entries grants the limit of one account in total.

    A caller that then uses only one entry gets most of its limit there.
    """
    time_source = clock.ManualClock(100.0)
    limiters, account = make_limiters(time_source, {})
    granted_tokens(limiters, account, time_source, 20, limiters)
    passed = granted_tokens(limiters, account, time_source, 20, limiters)
    assert 0.8 * LIMIT_PER_S * 20 <= passed <= LIMIT_PER_S * 21
    granted_tokens(limiters, account, time_source, 20, limiters[:1])
    moved = granted_tokens(limiters, account, time_source, 20, limiters[:1])
    assert 0.6 * LIMIT_PER_S * 20 <= moved <= LIMIT_PER_S * 21


def test_partitioned_entries_stay_within_the_limit():
    """Partitioned entries grant no more than the limit in total.

    All three entries are isolated; each still counts the others' shares.
    """
    time_source = clock.ManualClock(100.0)
    limiters, account = make_limiters(time_source, {}, cut=('e1', 'e2', 'e3'))
    granted_tokens(limiters, account, time_source, 10, limiters)
    passed = granted_tokens(limiters, account, time_source, 20, limiters)
    assert passed <= LIMIT_PER_S * 21


def test_request_above_the_limit_is_refused():
    """The caller gets 429, not-run and a retry-after; nothing is sent.

    An entry has no share in the first seconds after its start, because shares
    lent by its previous incarnation may still be in use.
    """
    engines = fakes.Engines({'r1:1': fakes.streaming(3)})
    account = fakes.account(tokens_per_s=LIMIT_PER_S)
    source = fakes.Source(
        fakes.make_snapshot(names=('r1',), client_accounts=(account,))
    )
    (got,) = fakes.run(engines, {}, source=source)
    assert (got.status, got.error['code']) == (429, 'account-limit')
    assert got.error['outcome'] == 'not-run'
    assert int(got.headers['retry-after']) >= 1
    assert not engines.sent


def test_account_without_a_limit_is_never_refused():
    time_source = clock.ManualClock(0.0)
    limiters, _ = make_limiters(time_source, {})
    unlimited = fakes.account('free')
    assert all(
        limiter.check_tokens(unlimited, 1e9) is None for limiter in limiters
    )
