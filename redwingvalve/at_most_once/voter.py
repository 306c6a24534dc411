"""One entry's own vote on request keys, and what others may ask of it."""

import itertools
from collections import abc as collections_abc

from redwingvalve.at_most_once import claim_table, keys, messages, roster
from redwingvalve.core import clock, invariants, outcomes
from redwingvalve.membership import members

MS_PER_S = 1000


class Voter:
    """Decides alone about keys it issued, with others about callers' own.

    An issued key needs no agreement under partitions or an outage of the
    store: this incarnation alone decides, and after its end nobody does.
    """

    def __init__(
        self,
        myself: members.Member,
        voter_clock: clock.Clock,
        own_roster: roster.Roster,
        switches: invariants.SafeguardSwitches,
    ) -> None:
        """Start with nothing granted."""
        self.myself = myself
        self.roster = own_roster
        self._clock = voter_clock
        self._switches = switches
        self._issued = claim_table.ClaimTable(2 * claim_table.MEMORY_S)
        self._chosen = claim_table.ClaimTable()
        self._numbers = itertools.count(1)

    def issue(self) -> keys.IssuedKey:
        """Return a key that only this incarnation will let run."""
        return keys.IssuedKey(
            entry=self.myself.name,
            incarnation=self.myself.incarnation,
            issued_ms=int(self._clock.monotonic_s() * MS_PER_S),
            number=next(self._numbers),
        )

    def vote(self, claim: messages.Claim) -> messages.Vote:
        """Say whether the claim may run, as far as this entry is concerned."""
        if not self._switches.enabled(invariants.Safeguard.RUN_AT_MOST_ONCE):
            return messages.Vote(messages.Verdict.RUN)
        now_s = self._clock.monotonic_s()
        issued = keys.parse_issued(claim.request_key)
        if issued is not None:
            return self._vote_on_issued(issued, claim, now_s)
        why_not = self.roster.why_not(
            claim.account, claim.request_key, now_s, self._clock.wall_s()
        )
        if not why_not and claim.voters != self.roster.voters(
            claim.account, claim.request_key
        ):
            why_not = 'the voters of the key are changing'
        if why_not:
            return messages.Vote(
                messages.Verdict.UNKNOWN,
                reason=why_not,
                wait_s=self.roster.wait_s(now_s),
            )
        return self._chosen.vote(claim, now_s)

    def report(self, claim: messages.Claim, outcome: outcomes.Outcome) -> None:
        """Take the claimant's word on the end of its request."""
        remembered = self._chosen
        if keys.parse_issued(claim.request_key) is not None:
            remembered = self._issued
        remembered.report(claim, outcome, self._clock.monotonic_s())

    def copy(self, names: tuple[str, ...], after: int) -> messages.ClaimPage:
        """Return claims numbered after; names count as voters from now on."""
        now_s = self._clock.monotonic_s()
        self.roster.introduce(names, now_s)
        page = self._chosen.page(after, now_s)
        return messages.ClaimPage(
            claims=tuple((granted.claim, granted.outcome) for granted in page),
            names=tuple(sorted(self.roster.names)),
            whole=self.roster.is_whole(now_s),
            complete=self.roster.is_complete(now_s),
            incarnation=self.myself.incarnation,
            reached=page[-1].number if page else after,
            more=len(page) == claim_table.PAGE_CLAIMS,
        )

    def learn(self, name: str, copied: messages.ClaimPage) -> None:
        """Take a page of another voter's claims in."""
        now_s = self._clock.monotonic_s()
        self._chosen.learn(copied.claims, now_s)
        if not copied.more:
            self.roster.learned_from(name, copied, now_s)

    def remembered(self) -> int:
        """Return how many claims are kept."""
        return len(self._issued) + len(self._chosen)

    def _vote_on_issued(
        self, issued: keys.IssuedKey, claim: messages.Claim, now_s: float
    ) -> messages.Vote:
        if (issued.entry, issued.incarnation) != (
            self.myself.name,
            self.myself.incarnation,
        ):
            return messages.Vote(
                messages.Verdict.UNKNOWN,
                reason='the entry that issued the key has ended',
            )
        age_s = now_s - issued.issued_ms / MS_PER_S
        if not -1 / MS_PER_S <= age_s <= claim_table.MEMORY_S:
            return messages.Vote(
                messages.Verdict.UNKNOWN, reason='the key has expired'
            )
        return self._issued.vote(claim, now_s)


def make_voter(
    myself: members.Member,
    voter_clock: clock.Clock,
    switches: invariants.SafeguardSwitches,
    *,
    first_start: bool,
    names: collections_abc.Iterable[str] = (),
    alone: bool = False,
    resend_s: float = claim_table.MEMORY_S,
) -> Voter:
    """Return the voter of a starting process; see roster.Roster."""
    return Voter(
        myself,
        voter_clock,
        roster.Roster(
            myself.name,
            voter_clock.monotonic_s(),
            first_start=first_start,
            names=names,
            alone=alone,
            resend_s=resend_s,
        ),
        switches,
    )
