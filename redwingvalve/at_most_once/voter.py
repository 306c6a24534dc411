"""The local voter for request keys."""

import itertools
from collections import abc as collections_abc

from redwingvalve.at_most_once import claim_table, keys, messages, roster
from redwingvalve.core import clock, invariants, outcomes
from redwingvalve.membership import members

MS_PER_S = 1000


class Voter:
    """Decides alone about keys it issued, and with others about other keys.

    An issued key needs no agreement, even during partitions or an outage of the
    store: only this incarnation decides, and after its end nobody does.
    """

    def __init__(
        self,
        local_member: members.Member,
        voter_clock: clock.Clock,
        local_roster: roster.Roster,
        switches: invariants.SafeguardSwitches,
    ) -> None:
        """Start without claims."""
        self.local_member = local_member
        self.roster = local_roster
        self._clock = voter_clock
        self._switches = switches
        self._issued_claims = claim_table.ClaimTable(
            2 * claim_table.RETENTION_S
        )
        self._caller_claims = claim_table.ClaimTable()
        self._numbers = itertools.count(1)

    def issue(self) -> keys.IssuedKey:
        """Return a key that only this incarnation decides about."""
        return keys.IssuedKey(
            entry=self.local_member.name,
            incarnation=self.local_member.incarnation,
            issued_ms=int(self._clock.monotonic_s() * MS_PER_S),
            number=next(self._numbers),
        )

    def vote(self, claim: messages.Claim) -> messages.Vote:
        """Return the local vote on a claim."""
        if not self._switches.enabled(invariants.Safeguard.RUN_AT_MOST_ONCE):
            return messages.Vote(messages.Verdict.RUN)
        now_s = self._clock.monotonic_s()
        issued = keys.parse_issued(claim.request_key)
        if issued is not None:
            return self._vote_on_issued(issued, claim, now_s)
        refusal_reason = self.roster.refusal_reason(
            claim.account, claim.request_key, now_s, self._clock.wall_s()
        )
        if not refusal_reason and claim.voters != self.roster.voters(
            claim.account, claim.request_key
        ):
            refusal_reason = 'the voters of the key are changing'
        if refusal_reason:
            return messages.Vote(
                messages.Verdict.UNKNOWN,
                reason=refusal_reason,
                wait_s=self.roster.wait_s(now_s),
            )
        return self._caller_claims.vote(claim, now_s)

    def report(self, claim: messages.Claim, outcome: outcomes.Outcome) -> None:
        """Record the outcome that a claimant reports."""
        remembered = self._caller_claims
        if keys.parse_issued(claim.request_key) is not None:
            remembered = self._issued_claims
        remembered.report(claim, outcome, self._clock.monotonic_s())

    def copy(self, names: tuple[str, ...], after: int) -> messages.ClaimPage:
        """Return claims numbered above after; add names to the roster."""
        now_s = self._clock.monotonic_s()
        self.roster.add_names(names, now_s)
        page = self._caller_claims.page(after, now_s)
        return messages.ClaimPage(
            claims=tuple((granted.claim, granted.outcome) for granted in page),
            names=tuple(sorted(self.roster.names)),
            whole=self.roster.is_whole(now_s),
            complete=self.roster.is_complete(now_s),
            incarnation=self.local_member.incarnation,
            reached=page[-1].number if page else after,
            more=len(page) == claim_table.PAGE_CLAIMS,
        )

    def learn(self, name: str, copied: messages.ClaimPage) -> None:
        """Store a page of the claims of another voter."""
        now_s = self._clock.monotonic_s()
        self._caller_claims.learn(copied.claims, now_s)
        if not copied.more:
            self.roster.record_copy(name, copied, now_s)

    def remembered(self) -> int:
        """Return the number of claims kept."""
        return len(self._issued_claims) + len(self._caller_claims)

    def _vote_on_issued(
        self, issued: keys.IssuedKey, claim: messages.Claim, now_s: float
    ) -> messages.Vote:
        if (issued.entry, issued.incarnation) != (
            self.local_member.name,
            self.local_member.incarnation,
        ):
            return messages.Vote(
                messages.Verdict.UNKNOWN,
                reason='the entry that issued the key has ended',
            )
        age_s = now_s - issued.issued_ms / MS_PER_S
        if not -1 / MS_PER_S <= age_s <= claim_table.RETENTION_S:
            return messages.Vote(
                messages.Verdict.UNKNOWN, reason='the key has expired'
            )
        return self._issued_claims.vote(claim, now_s)


def make_voter(
    local_member: members.Member,
    voter_clock: clock.Clock,
    switches: invariants.SafeguardSwitches,
    *,
    first_start: bool,
    names: collections_abc.Iterable[str] = (),
    alone: bool = False,
    resend_s: float = claim_table.RETENTION_S,
) -> Voter:
    """Return the voter of a starting process; see roster.Roster."""
    return Voter(
        local_member,
        voter_clock,
        roster.Roster(
            local_member.name,
            voter_clock.monotonic_s(),
            first_start=first_start,
            names=names,
            alone=alone,
            resend_s=resend_s,
        ),
        switches,
    )
