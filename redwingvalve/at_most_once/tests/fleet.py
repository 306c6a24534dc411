"""Simulated fleet of voters with partitions, crashes and pauses."""

import collections

import anyio
import attrs
import pytest
from expression import Error, Ok

from redwingvalve.at_most_once import (
    claim_table,
    claims,
    messages,
    peers,
    roster,
    voter,
)
from redwingvalve.core import clock, invariants, outcomes
from redwingvalve.membership import members

ENTRY_NAMES = ('e1', 'e2', 'e3', 'e4', 'e5')
MIXED_NAMES = ('e1', 'e2', 'e3', 'c1', 'c2')
KEYS = ('k1', 'k2', 'k3', 'k4')
RETENTION_S = claim_table.RETENTION_S
# All voters settle, sync twice and copy.
READY_S = 10
RUN = invariants.Safeguard.RUN_AT_MOST_ONCE


@pytest.fixture(autouse=True, scope='module')
def small_pages():
    """Use small pages, so that other events happen between two pages."""
    with pytest.MonkeyPatch.context() as patched:
        patched.setattr(claim_table, 'PAGE_CLAIMS', 2)
        yield


class Fleet:
    """Voters in one process; those on the same side can reach each other."""

    def __init__(self, names=ENTRY_NAMES, disabled=(), resend_s=RETENTION_S):
        self.resend_s = resend_s
        self.paused = set()
        self.seen_s = {}
        self.on_copy = lambda source: None
        self.on_vote = lambda: None
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
        oldest_s = now_s - roster.MAX_ABSENCE_S
        names = [key for key, seen in self.seen_s.items() if seen >= oldest_s]
        self.incarnations[name] += 1
        self.side.setdefault(name, 0)
        me = members.Member(
            name, self.incarnations[name], role_of(name), 'h', 1, 2, 'dc', 'r'
        )
        known = MembersView(self, me)
        local_voter = voter.make_voter(
            me,
            self.clock,
            self.switches,
            first_start=store and self.incarnations[name] == 1,
            names=frozenset(names if store else ()),
            resend_s=self.resend_s,
        )
        self.entries[name] = claims.make_claims(
            local_voter, Link(self, name), known, self.clock
        )

    def crash(self, name):
        del self.entries[name]
        self.paused.discard(name)

    def crash_together(self, names):
        """Crash all of these voters before any of them restarts."""
        for name in names:
            self.crash(name)
        for name in names:
            self.start(name)

    def running_names(self):
        return sorted(self.entries.keys() - self.paused)

    def can_reach(self, one, other):
        there = other in self.entries and other not in self.paused
        return there and self.side[one] == self.side[other]

    def settle(self, rounds=8):
        """Let the running voters sync once a second."""
        for _ in range(rounds):
            self.clock.advance(1.0)
            for name in self.running_names():
                self.seen_s[name] = self.clock.monotonic_s()
                anyio.run(self.entries[name].sync_once)

    def advance(self, duration_s):
        """Let a long time pass, with syncs before and after it."""
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
        """Run under a grant if it is still valid, and record the run."""
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
class MembersView(members.Members):
    fleet: Fleet
    me: members.Member

    def local_member(self):
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
                state=alive
                if self.fleet.can_reach(self.me.name, name)
                else dead,
            )
            for name, number in self.fleet.incarnations.items()
        )


@attrs.define
class Link(peers.KeyPeers):
    fleet: Fleet
    name: str

    async def _call(self, member, method, *arguments):
        await anyio.lowlevel.checkpoint()
        if not self.fleet.can_reach(self.name, member.name):
            return Error('unreachable')
        target = self.fleet.entries[member.name].voter
        return Ok(getattr(target, method)(*arguments))

    async def claim(self, member, claim):
        self.fleet.on_vote()
        return await self._call(member, 'vote', claim)

    async def report(self, member, claim, outcome):
        return await self._call(member, 'report', claim, outcome)

    async def copy(self, member, names, after):
        self.fleet.on_copy(member.name)
        return await self._call(member, 'copy', names, after)
