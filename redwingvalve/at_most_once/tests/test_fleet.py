"""A fleet of voters under partitions, crashes, pauses and replacements."""

import collections
import itertools
import random

import anyio
import attrs
import hypothesis
import pytest
from expression import Error, Ok
from hypothesis import stateful
from hypothesis import strategies as st

from redwingvalve.at_most_once import (
    claims,
    ledger,
    messages,
    peers,
    roster,
    voter,
)
from redwingvalve.core import clock, invariants, outcomes
from redwingvalve.membership import members

BASE_NAMES = ('e1', 'e2', 'e3', 'e4', 'e5')
WITH_CONTROLS = ('e1', 'e2', 'e3', 'c1', 'c2')
KEYS = ('k1', 'k2', 'k3', 'k4')
MEMORY_S = ledger.MEMORY_S
# All voters settle, look at each other twice and copy.
READY_S = 10
RUN = invariants.Safeguard.RUN_AT_MOST_ONCE


@pytest.fixture(autouse=True, scope='module')
def _small_pages():
    """Copies take several pages, with anything in between."""
    with pytest.MonkeyPatch.context() as patched:
        patched.setattr(ledger, 'PAGE_CLAIMS', 2)
        yield


class Fleet:
    """Entries in one process; a link is up when both ends share a side."""

    def __init__(self, names=BASE_NAMES, disabled=(), resend_s=MEMORY_S):
        self.resend_s = resend_s
        self.paused = set()
        self.seen_s = {}
        self.on_copy = lambda source: None
        self.clock = clock.ManualClock(10_000.0)
        self.switches = invariants.SafeguardSwitches(disabled)
        self.side = {}
        self.entries = {}
        self.incarnations = collections.Counter()
        self.runs = collections.defaultdict(list)
        self.sends = 0
        for name in names:
            self.start(name)
        self.settle()

    def start(self, name, store=True):
        """Start a process; without the store it counts as restarted."""
        now_s = self.clock.monotonic_s()
        if store:
            self.seen_s[name] = now_s
        oldest_s = now_s - roster.LONGEST_ABSENCE_S
        names = [key for key, seen in self.seen_s.items() if seen >= oldest_s]
        self.incarnations[name] += 1
        self.side.setdefault(name, 0)
        me = members.Member(
            name, self.incarnations[name], role_of(name), 'h', 1, 2, 'dc', 'r'
        )
        known = View(self, me)
        own = voter.make_voter(
            me,
            self.clock,
            self.switches,
            first_start=store and self.incarnations[name] == 1,
            names=frozenset(names if store else ()),
            resend_s=self.resend_s,
        )
        self.entries[name] = claims.make_claims(
            own, Link(self, name), known, self.clock
        )

    def crash(self, name):
        del self.entries[name]
        self.paused.discard(name)

    def crash_together(self, names):
        """Lose the memory of all names before any of them is back."""
        for name in names:
            self.crash(name)
        for name in names:
            self.start(name)

    def awake(self):
        return sorted(self.entries.keys() - self.paused)

    def reach(self, one, other):
        there = other in self.entries and other not in self.paused
        return there and self.side[one] == self.side[other]

    def settle(self, rounds=8):
        """Let the entries look at each other for some seconds."""
        for _ in range(rounds):
            self.clock.advance(1.0)
            for name in self.awake():
                self.seen_s[name] = self.clock.monotonic_s()
                anyio.run(self.entries[name].look_once)

    def advance(self, duration_s):
        """Let a long time pass in which everybody looks now and then."""
        self.settle(2)
        self.clock.advance(duration_s)
        self.settle()

    def ask(self, name, key, account='shop'):
        self.sends += 1
        claim = messages.Claim(
            account, key, name, 1, f'{name}-{self.sends}', 'digest'
        )
        return anyio.run(self.entries[name].claim, claim)

    def run(self, name, grant):
        """Run under a grant if it is still good; count the run."""
        if not self.entries[name].check(grant):
            return False
        self.runs[grant.claim.request_key].append(self.clock.monotonic_s())
        return True

    def send(self, name, key):
        """Claim, run and report, as the request path does."""
        asked = self.ask(name, key)
        if asked.is_error():
            return asked.error
        self.run(name, asked.ok)
        anyio.run(
            self.entries[name].report, asked.ok.claim, outcomes.Outcome.RAN
        )
        return 'ran'


def role_of(name):
    return 'control' if name.startswith('c') else 'entry'


@attrs.define
class View(members.Members):
    fleet: Fleet
    me: members.Member

    def myself(self):
        return self.me

    def isolated(self):
        return False

    def known(self):
        alive, dead = members.MemberState.ALIVE, members.MemberState.DEAD
        return tuple(
            attrs.evolve(
                self.me,
                name=name,
                role=role_of(name),
                incarnation=number,
                state=alive if self.fleet.reach(self.me.name, name) else dead,
            )
            for name, number in self.fleet.incarnations.items()
        )


@attrs.define
class Link(peers.KeyPeers):
    fleet: Fleet
    name: str

    async def _call(self, member, method, *arguments):
        await anyio.lowlevel.checkpoint()
        if not self.fleet.reach(self.name, member.name):
            return Error('unreachable')
        target = self.fleet.entries[member.name].voter
        return Ok(getattr(target, method)(*arguments))

    async def claim(self, member, claim):
        return await self._call(member, 'vote', claim)

    async def report(self, member, claim, outcome):
        return await self._call(member, 'report', claim, outcome)

    async def copy(self, member, names, after):
        self.fleet.on_copy(member.name)
        return await self._call(member, 'copy', names, after)


class FleetMachine(stateful.RuleBasedStateMachine):
    """Callers send the same few keys again and again, everywhere."""

    def __init__(self):
        super().__init__()
        self.fleet = Fleet()
        self.grants = []
        self.fresh = itertools.count()

    @stateful.initialize(resend_s=st.sampled_from((600, MEMORY_S)))
    def declare(self, resend_s):
        self.fleet = Fleet(resend_s=resend_s)

    def pick(self, number):
        names = self.fleet.awake()
        return names[number % len(names)]

    @stateful.rule(number=st.integers(0, 9), key=st.sampled_from(KEYS))
    def send(self, number, key):
        self.fleet.send(self.pick(number), key)

    @stateful.rule(number=st.integers(0, 9), key=st.sampled_from(KEYS))
    def claim_and_pause(self, number, key):
        name = self.pick(number)
        asked = self.fleet.ask(name, key)
        if asked.is_ok():
            self.grants.append((name, asked.ok))

    @stateful.rule()
    def wake_up(self):
        for name, grant in self.grants:
            if name in self.fleet.awake():
                self.fleet.run(name, grant)
        self.grants.clear()

    @stateful.rule(
        number=st.integers(0, 9), restart=st.booleans(), store=st.booleans()
    )
    def crash(self, number, restart, store):
        if len(self.fleet.awake()) < 2:
            return
        name = self.pick(number)
        self.fleet.crash(name)
        self.grants = [held for held in self.grants if held[0] != name]
        if restart:
            self.fleet.start(name, store)

    def several(self, seed):
        """Some that are awake, mostly a majority; one is left."""
        names = self.fleet.awake()
        chance = random.Random(seed)
        most = len(names) - 1
        return chance.sample(names, min(most, chance.choice((2, 3, 3, 4))))

    @stateful.rule(seed=st.integers(0, 999))
    def crash_together(self, seed):
        gone = self.several(seed)
        self.fleet.crash_together(gone)
        self.grants = [held for held in self.grants if held[0] not in gone]

    @stateful.rule(seed=st.integers(0, 999))
    def pause_together(self, seed):
        self.fleet.paused.update(self.several(seed))

    @stateful.rule()
    def resume(self):
        self.fleet.paused.clear()

    @stateful.rule(number=st.integers(0, 9))
    def fresh_keys_run_once_all_were_up_for_the_bound(self, number):
        self.bring_back()
        self.fleet.advance(self.fleet.resend_s + READY_S)
        assert self.fleet.send(self.pick(number), self.fresh_key()) == 'ran'

    @stateful.rule(seed=st.integers(0, 999))
    def two_that_die_together_hold_nothing_up(self, seed):
        self.bring_back()
        self.fleet.advance(self.fleet.resend_s + READY_S)
        gone = random.Random(seed).sample(self.fleet.awake(), 2)
        self.fleet.crash_together(gone)
        self.grants = [held for held in self.grants if held[0] not in gone]
        self.fleet.settle(READY_S)
        for name in self.fleet.awake():
            assert self.fleet.send(name, self.fresh_key()) == 'ran'

    def bring_back(self):
        self.fleet.paused.clear()
        self.heal()
        for name in self.fleet.incarnations.keys() - self.fleet.entries.keys():
            self.fleet.start(name)

    def fresh_key(self):
        return f'fresh-{next(self.fresh)}'

    @stateful.rule(store=st.booleans())
    def replace(self, store):
        if len(self.fleet.incarnations) < 9:
            self.fleet.start(f'n{len(self.fleet.incarnations)}', store)

    @stateful.rule(seed=st.integers(0, 999))
    def partition(self, seed):
        chance = random.Random(seed)
        for name in self.fleet.side:
            self.fleet.side[name] = chance.choice((0, 0, 1))

    @stateful.rule()
    def heal(self):
        self.fleet.side = dict.fromkeys(self.fleet.side, 0)

    @stateful.rule()
    def settle(self):
        self.fleet.settle()

    @stateful.rule(number=st.integers(0, 9))
    def one_looks(self, number):
        self.fleet.clock.advance(0.5)
        anyio.run(self.fleet.entries[self.pick(number)].look_once)

    @stateful.rule(duration_s=st.sampled_from((10, 1000, 4000)))
    def advance(self, duration_s):
        self.fleet.advance(duration_s)

    @stateful.invariant()
    def no_key_runs_twice_while_it_is_remembered(self):
        apart_s = self.fleet.resend_s - claims.GRANT_VALID_S
        for times in self.fleet.runs.values():
            for earlier, later in itertools.pairwise(times):
                assert later - earlier > apart_s


FleetMachine.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40
)
test_no_key_runs_twice = FleetMachine.TestCase


@pytest.mark.parametrize('lost', BASE_NAMES)
def test_a_resend_to_another_entry_after_a_crash_does_not_run(lost):
    """The caller sees a refusal with outcome ran for its second try.

    It sends with a key of its own; an entry dies, maybe the one that ran the
    request or a voter, and comes back without memory. The caller sends again
    elsewhere. Any two of the three voters share one that remembers.
    """
    fleet = Fleet()
    assert fleet.send('e1', 'quote-7') == 'ran'
    fleet.crash(lost)
    fleet.start(lost)
    fleet.settle()
    for name in BASE_NAMES:
        refused = fleet.send(name, 'quote-7')
        assert refused.outcome == outcomes.Outcome.RAN
    assert len(fleet.runs['quote-7']) == 1


def test_only_the_larger_side_of_a_partition_decides():
    """Callers of the smaller side see outcome unknown; nothing runs there.

    The fleet splits three to two. Both sides are asked with the same key, for
    longer than claims are remembered.
    """
    fleet = Fleet()
    fleet.side.update(e4=1, e5=1)
    fleet.advance(ledger.MEMORY_S)
    answers = [
        fleet.send(name, f'k{i}') for i in range(20) for name in ('e4', 'e1')
    ]
    assert {answer.duplicate for answer in answers[::2]} == {False}
    assert 'ran' in answers[1::2]


def test_a_restarted_entry_votes_again_at_once():
    """Callers notice nothing of a rolling restart of all entries.

    Each entry restarts and copies the claims of the others before the next
    one does. Every earlier key is still refused, every new key runs.
    """
    fleet = Fleet()
    for name in BASE_NAMES:
        assert fleet.send(name, f'before-{name}') == 'ran'
        fleet.crash(name)
        fleet.start(name)
        fleet.settle()
    for name in BASE_NAMES:
        assert fleet.send('e1', f'before-{name}').duplicate
        assert fleet.send(name, f'after-{name}') == 'ran'


@pytest.mark.parametrize(
    'lost', tuple(itertools.combinations(WITH_CONTROLS, 2))
)
def test_two_that_die_together_hold_no_key_up(lost):
    """The caller of a new key is served seconds after the two are back.

    Two of three entries and two controllers die before either has copied the
    claims of the other. The three others hold every claim that a majority
    granted: earlier keys stay refused, also after a third has died since.
    """
    fleet = Fleet(WITH_CONTROLS)
    assert fleet.send('e1', 'before') == 'ran'
    fleet.crash_together(lost)
    fleet.settle(READY_S)
    for name in WITH_CONTROLS:
        assert fleet.send(name, 'before').outcome == outcomes.Outcome.RAN
        assert fleet.send(name, f'after-{name}') == 'ran'
    third = next(name for name in WITH_CONTROLS if name not in lost)
    fleet.crash_together([third])
    fleet.settle(READY_S)
    for name in WITH_CONTROLS:
        assert fleet.send(name, f'after-{name}').outcome == 'ran'
    assert fleet.send(third, 'last') == 'ran'


def test_newcomers_beside_a_cut_off_voter_do_not_outvote_the_others():
    """The caller that sends again on the smaller side sees no second run.

    e3 is cut off while e1 and e2 run quotes. Two new voters start on its side
    and make three of five with it; none of them knows of the quotes.
    """
    fleet = Fleet(('e1', 'e2', 'e3'))
    fleet.side['e3'] = 1
    fleet.settle(2)
    quotes = [f'quote-{number}' for number in range(30)]
    assert {fleet.send('e1', quote) for quote in quotes} == {'ran'}
    for name in ('n4', 'n5'):
        fleet.side[name] = 1
        fleet.start(name)
    fleet.settle(READY_S)
    for quote in quotes:
        for name in ('n4', 'n5', 'e3'):
            assert fleet.send(name, quote) != 'ran'


def test_a_source_that_restarts_between_pages_is_copied_from_the_start():
    """The caller that sends again is refused; new keys are decided.

    e1 restarts and copies two pages of e2's claims; then e2 restarts too and
    numbers its claims anew, which must not be taken for the rest.
    """
    fleet = Fleet()
    quotes = [f'quote-{number}' for number in range(9)]
    assert {fleet.send('e1', quote) for quote in quotes} == {'ran'}
    pages = []

    def restart_e2(source):
        pages.append(source)
        if pages.count('e2') == 3:
            fleet.on_copy = lambda source: None
            fleet.crash_together(['e2'])

    fleet.on_copy = restart_e2
    fleet.crash_together(['e1'])
    fleet.settle(2 * READY_S)
    assert pages.count('e2') == 3
    for name in BASE_NAMES:
        assert fleet.entries[name].voter.remembered() == len(quotes)
        assert fleet.send(name, 'quote-8').outcome == outcomes.Outcome.RAN
    assert fleet.send('e2', 'new') == 'ran'


def test_newcomers_do_not_run_what_died_with_an_earlier_majority():
    """The caller that sends again sees unknown; only the dead knew its quote.

    Two of three run a quote while the third is cut off. Three newcomers start
    on its side, then the two die and restart, and all meet. Four of six
    have lost nothing that their names granted, and none has the quote.
    """
    fleet = Fleet(('e1', 'e2', 'e3'))
    fleet.side['e3'] = 1
    fleet.settle(2)
    quotes = [f'quote-{number}' for number in range(20)]
    assert {fleet.send('e1', quote) for quote in quotes} == {'ran'}
    for name in ('n4', 'n5', 'n6'):
        fleet.side[name] = 1
        fleet.start(name)
    fleet.settle(READY_S)
    fleet.crash_together(['e1', 'e2'])
    fleet.side = dict.fromkeys(fleet.side, 0)
    fleet.settle(READY_S)
    for quote in quotes:
        for name in ('e1', 'e3', 'n4', 'n5', 'n6'):
            assert fleet.send(name, quote) != 'ran'


def test_newcomers_that_see_only_each_other_are_no_fleet():
    """The caller sends again to a newcomer while all others are paused.

    The newcomers have never met the others and see a fleet of their own. The
    store's names tell them that they are two of five.
    """
    fleet = Fleet(('e1', 'e2', 'e3'))
    assert fleet.send('e1', 'quote') == 'ran'
    fleet.paused.update(('e1', 'e2', 'e3'))
    fleet.start('n4')
    fleet.start('n5')
    fleet.settle(READY_S)
    assert fleet.send('n4', 'quote').outcome == outcomes.Outcome.UNKNOWN
    fleet.paused.clear()
    fleet.settle(READY_S)
    assert fleet.send('n4', 'quote').outcome == outcomes.Outcome.RAN
    assert fleet.send('n5', 'other') == 'ran'


def test_three_of_nine_that_die_together_hold_only_their_own_keys_up():
    """Callers see unknown only where a majority of a key's voters is lost.

    A data centre of three of nine processes loses its power and comes back.
    """
    lost = {'e1', 'e2', 'c1'}
    fleet = Fleet(('e1', 'e2', 'e3', 'e4', 'e5', 'e6', 'c1', 'c2', 'c3'))
    fleet.crash_together(sorted(lost))
    fleet.settle(READY_S)
    seen = set()
    for number in range(100):
        chosen = fleet.entries['e1'].voter.roster.voters('shop', f'k{number}')
        decided = fleet.send('e1', f'k{number}') == 'ran'
        seen.add((len(lost.intersection(chosen)) < 3, decided))
    assert seen == {(True, True), (False, False)}


@pytest.mark.parametrize('lost', (3, 4, 5))
def test_a_lost_majority_decides_again_when_callers_have_given_up(lost):
    """The caller of a key without a time is told unknown for resend_s.

    Three or more of five lose their memory at once: some earlier key may be
    known to nobody. Once no caller sends an earlier key any more, new ones
    run; a key that still comes within that time doesn't run again.
    """
    fleet = Fleet(WITH_CONTROLS, resend_s=60)
    assert fleet.send('e1', 'before') == 'ran'
    fleet.crash_together(WITH_CONTROLS[-lost:])
    fleet.settle(50)
    assert fleet.send('e1', 'before') != 'ran'
    refused = fleet.send('e1', 'new')
    assert refused.outcome == outcomes.Outcome.UNKNOWN
    assert refused.wait_s == 10
    fleet.settle(READY_S + 2)
    assert fleet.send('e1', 'new') == 'ran'


def test_a_restart_of_the_whole_fleet_forgets_nothing_silently():
    """The caller sees outcome unknown: nobody remembers, so nothing runs.

    All entries restart at once. A key dated after the restart is surely new
    and runs; for any other nobody can know.
    """
    fleet = Fleet()
    fleet.send('e1', 'old')
    for name in BASE_NAMES:
        fleet.crash(name)
    for name in BASE_NAMES:
        fleet.start(name)
    fleet.advance(30)
    assert not fleet.send('e2', 'old').duplicate
    dated = f'at-{int(fleet.clock.wall_s())}-new'
    assert fleet.send('e2', dated) == 'ran'
    assert fleet.send('e3', dated).duplicate


def test_an_issued_key_lives_and_dies_with_its_issuer():
    """The caller sees unknown once the issuer is gone; nothing runs then.

    The key names an entry and incarnation. Another entry may run the request
    after asking it, once; a new incarnation of the same name decides nothing.
    """
    fleet = Fleet()
    issue = fleet.entries['e1'].voter.issue
    used, unused = str(issue()), str(issue())
    assert fleet.send('e3', used) == 'ran'
    assert fleet.send('e2', used).outcome == outcomes.Outcome.RAN
    fleet.crash('e1')
    fleet.start('e1')
    fleet.settle()
    assert fleet.send('e1', unused).outcome == outcomes.Outcome.UNKNOWN
    assert not fleet.runs[unused]


def test_without_the_safeguard_the_breach_is_found():
    fleet = Fleet(disabled=(RUN,))
    assert fleet.send('e1', 'k') == 'ran' == fleet.send('e2', 'k')
    assert len(fleet.runs['k']) == 2


def test_a_voter_that_knows_a_newcomer_is_silent_to_old_voters():
    """The caller sees a refusal and sends again; nothing can run twice.

    A new entry has joined; one voter knows it and has told it its claims, the
    claimant does not. A grant by the old voters after that would be unknown
    to the newcomer, which may then vote for a second run.
    """
    fleet = Fleet()
    fleet.start('n6')
    fleet.side['e2'] = 1
    anyio.run(fleet.entries['e1'].look_once)
    knows = fleet.entries['e1'].voter
    stale = fleet.entries['e2'].voter.roster
    verdicts = set()
    for key in (f'k{number}' for number in range(100)):
        old, new = stale.voters('s', key), knows.roster.voters('s', key)
        if 'e1' in old and 'e1' in new:
            claim = messages.Claim('s', key, 'e2', 1, 'e2-0', 'd', old)
            granted = knows.vote(claim).verdict == messages.Verdict.RUN
            verdicts.add((old == new, granted))
    assert verdicts == {(True, True), (False, False)}
