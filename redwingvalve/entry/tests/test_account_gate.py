"""Limits of accounts hold over all entries, and refuse at once."""

from redwingvalve.core import clock
from redwingvalve.entry import account_gate
from redwingvalve.entry.tests import fakes
from redwingvalve.membership import members
from redwingvalve.news import bus

LIMIT_PER_S = 100.0


class SharedBoard(bus.NewsBus):
    """News that reaches the others at once, unless it is cut."""

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


class Present(fakes.Members):
    def __init__(self, name, names):
        super().__init__()
        self.name, self.names = name, names

    def local_member(self):
        return self.member(self.name)

    def known(self):
        return tuple(map(self.member, self.names))

    def member(self, name):
        return members.Member(name, 1, 'entry', 'h', 1, 2, 'hall-a', 'tx')


def make_gates(time_source, shared, cut=()):
    names = ('e1', 'e2', 'e3')
    account = fakes.account(tokens_per_s=LIMIT_PER_S)
    source = fakes.Source(fakes.make_snapshot(client_accounts=(account,)))
    gates = [
        account_gate.AccountGate(
            source,
            Present(name, names),
            SharedBoard(name, shared, name in cut),
            time_source,
        )
        for name in names
    ]
    return gates, account


def granted(gates, account, time_source, duration_s, busy):
    """Ask far more than the limit at the busy gates; return what passed."""
    passed = 0.0
    for _ in range(round(duration_s / 0.1)):
        for gate in gates:
            gate._update()
        for gate in busy:
            for _ in range(10):
                passed += gate.refuse_tokens(account, 5.0) is None and 5.0
        time_source.advance(0.1)
    return passed


def test_the_sum_over_all_entries_stays_at_the_limit_and_follows_demand():
    """A caller that floods three entries gets one account's limit in all.

    Then it moves to one entry alone and still gets most of its limit there.
    """
    time_source = clock.ManualClock(100.0)
    gates, account = make_gates(time_source, {})
    granted(gates, account, time_source, 20, gates)
    passed = granted(gates, account, time_source, 20, gates)
    assert 0.8 * LIMIT_PER_S * 20 <= passed <= LIMIT_PER_S * 21
    granted(gates, account, time_source, 20, gates[:1])
    moved = granted(gates, account, time_source, 20, gates[:1])
    assert 0.6 * LIMIT_PER_S * 20 <= moved <= LIMIT_PER_S * 21


def test_entries_that_cannot_hear_each_other_stay_within_the_limit():
    """In a partition a flooding caller gets no more than the limit in all.

    All three entries are cut from each other; each still counts the others.
    """
    time_source = clock.ManualClock(100.0)
    gates, account = make_gates(time_source, {}, cut=('e1', 'e2', 'e3'))
    granted(gates, account, time_source, 10, gates)
    passed = granted(gates, account, time_source, 20, gates)
    assert passed <= LIMIT_PER_S * 21


def test_a_request_above_the_limit_is_refused_at_once_and_not_run():
    """The caller gets 429, not-run and when to come back; no endpoint is asked.

    An entry has no share in the first seconds after its start, since what an
    earlier incarnation lent may still be in use.
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


def test_an_account_without_a_limit_is_never_refused():
    time_source = clock.ManualClock(0.0)
    gates, _ = make_gates(time_source, {})
    free = fakes.account('free')
    assert all(gate.refuse_tokens(free, 1e9) is None for gate in gates)
