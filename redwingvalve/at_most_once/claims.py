"""Claims a request key before a non-idempotent request is sent."""

import collections

import anyio
import attrs
from expression import Error, Ok, Result

from redwingvalve.at_most_once import (
    keys,
    messages,
    peers,
    roster,
    voter,
    voters,
)
from redwingvalve.core import clock, invariants, outcomes
from redwingvalve.membership import members
from redwingvalve.observability import logs

LOGGER = logs.make_logger('at-most-once')
# Voters keep a grant for much longer, so that a claimant that is paused after
# its grant can't send once the voters have dropped it.
GRANT_VALIDITY_S = 30.0
CALL_TIMEOUT_S = 1.0
SYNC_INTERVAL_S = 1.0

NamedVote = tuple[str, messages.Vote]


@attrs.frozen
class Grant:
    """Permission to send one request once, until valid_until_s."""

    claim: messages.Claim
    valid_until_s: float


@attrs.frozen
class ClaimRefused:
    """The request must not be sent; outcome is the known outcome of its key.

    wait_s is the time until enough voters can decide, 0 if unknown.
    """

    outcome: outcomes.Outcome
    reason: str
    duplicate: bool
    wait_s: float = 0.0


@attrs.frozen
class _CopyProgress:
    """The last claim copied from another voter."""

    incarnation: int = 0
    reached: int = 0


class KeyClaims:
    """Claims keys from their voters and keeps the local voter up to date."""

    def __init__(
        self,
        local_voter: voter.Voter,
        key_peers: peers.KeyPeers,
        known_members: members.Members,
        claims_clock: clock.Clock,
    ) -> None:
        """Send requests through key_peers."""
        self.voter = local_voter
        self._peers = key_peers
        self._members = known_members
        self._clock = claims_clock
        self._progress: dict[str, _CopyProgress] = {}

    async def claim(self, claim: messages.Claim) -> Result[Grant, ClaimRefused]:
        """Return a grant, or why the request must not be sent."""
        started_s = self._clock.monotonic_s()
        voter_names = self._voters_of(claim)
        claim = attrs.evolve(claim, voters=voter_names)
        try:
            votes = await self._request_votes(claim, voter_names)
        except BaseException:
            # The caller hung up before anything was sent: its next attempt
            # must not count as a duplicate.
            await self.report(claim, outcomes.Outcome.NOT_RUN)
            raise
        granted = [
            name for name, vote in votes if vote.verdict == messages.Verdict.RUN
        ]
        elapsed_s = self._clock.monotonic_s() - started_s
        if elapsed_s > roster.SETTLE_S:
            # This process was paused while it collected votes: voters that
            # restarted since may have lost their votes.
            granted.clear()
        if len(granted) >= voters.votes_needed(len(voter_names)):
            return Ok(Grant(claim, started_s + GRANT_VALIDITY_S))
        # Releases the votes of this failed claim, so that the next attempt of
        # the caller doesn't count as a duplicate.
        await self.report(claim, outcomes.Outcome.NOT_RUN)
        return Error(_refusal([vote for _, vote in votes], len(voter_names)))

    def check(self, grant: Grant) -> bool:
        """Tell whether a grant is still valid; called right before sending."""
        return self._clock.monotonic_s() < grant.valid_until_s

    async def report(
        self, claim: messages.Claim, outcome: outcomes.Outcome
    ) -> None:
        """Report the outcome of a request to the voters; best effort."""
        with anyio.CancelScope(shield=True):
            async with anyio.create_task_group() as group:
                for name in claim.voters:
                    group.start_soon(self._report_to, name, claim, outcome)

    async def keep_synced(self) -> None:
        """Synchronize with the other voters until cancelled."""
        while True:
            await self.sync_once()
            await self._clock.sleep(SYNC_INTERVAL_S)

    async def sync_once(self) -> None:
        """Observe the members and copy claims that are still missing."""
        now_s = self._clock.monotonic_s()
        known = self._members.known()
        self.voter.roster.observe(known, now_s)
        async with anyio.create_task_group() as group:
            for name in self.voter.roster.names_to_copy(now_s):
                member = self._find(name)
                if member is not None:
                    group.start_soon(self._copy_from, member)

    def _voters_of(self, claim: messages.Claim) -> tuple[str, ...]:
        issued = keys.parse_issued(claim.request_key)
        if issued is not None:
            return (issued.entry,)
        return self.voter.roster.voters(claim.account, claim.request_key)

    async def _request_votes(
        self, claim: messages.Claim, voter_names: tuple[str, ...]
    ) -> list[NamedVote]:
        votes: list[NamedVote] = []
        async with anyio.create_task_group() as group:
            for name in voter_names:
                group.start_soon(self._request_vote, name, claim, votes)
        return votes

    async def _request_vote(
        self, name: str, claim: messages.Claim, votes: list[NamedVote]
    ) -> None:
        if name == self.voter.local_member.name:
            votes.append((name, self.voter.vote(claim)))
            return
        member = self._find(name)
        if member is None:
            return
        with anyio.move_on_after(CALL_TIMEOUT_S):
            asked = await self._peers.claim(member, claim)
            if asked.is_ok():
                votes.append((name, asked.ok))

    async def _report_to(
        self, name: str, claim: messages.Claim, outcome: outcomes.Outcome
    ) -> None:
        if name == self.voter.local_member.name:
            self.voter.report(claim, outcome)
            return
        member = self._find(name)
        if member is not None:
            with anyio.move_on_after(CALL_TIMEOUT_S):
                await self._peers.report(member, claim, outcome)

    async def _copy_from(self, member: members.Member) -> None:
        """Copy pages up to a time limit; the next sync continues from there."""
        more = True
        with anyio.move_on_after(CALL_TIMEOUT_S):
            while more:
                more = await self._copy_page(member)

    async def _copy_page(self, member: members.Member) -> bool:
        names = tuple(sorted(self.voter.roster.names))
        known = self._progress.get(member.name, _CopyProgress())
        copied = await self._peers.copy(member, names, known.reached)
        if copied.is_error():
            return False
        page = copied.ok
        if known.reached and page.incarnation != known.incarnation:
            # The voter has restarted and numbers its claims from one again.
            self._progress.pop(member.name)
            return True
        self._progress[member.name] = _CopyProgress(
            page.incarnation, page.reached
        )
        self.voter.learn(member.name, page)
        return page.more

    def _find(self, name: str) -> members.Member | None:
        for member in self._members.known():
            if member.name == name and member.role in voters.ROLES:
                return member
        return None


def _refusal(votes: list[messages.Vote], asked: int) -> ClaimRefused:
    duplicates = [
        vote for vote in votes if vote.verdict == messages.Verdict.DUPLICATE
    ]
    outcome = outcomes.Outcome.UNKNOWN
    if any(vote.outcome == outcomes.Outcome.RAN for vote in duplicates):
        outcome = outcomes.Outcome.RAN
    if duplicates:
        return ClaimRefused(outcome, duplicates[0].reason, duplicate=True)
    reasons = collections.Counter(vote.reason for vote in votes if vote.reason)
    undecided = [
        vote for vote in votes if vote.verdict == messages.Verdict.UNKNOWN
    ]
    unanswered = asked - len(votes)
    if unanswered:
        reasons['no answer came'] += unanswered
    reason_text = (
        '; '.join(sorted(reasons)) or 'no claim got a majority of the votes'
    )
    missing_votes = voters.votes_needed(asked) - len(votes) + len(undecided)
    waits_s = sorted(vote.wait_s for vote in undecided)
    wait_s = (
        waits_s[missing_votes - 1] if 0 < missing_votes <= len(waits_s) else 0.0
    )
    return ClaimRefused(outcome, reason_text, duplicate=False, wait_s=wait_s)


def make_claims(
    local_voter: voter.Voter,
    key_peers: peers.KeyPeers,
    known_members: members.Members,
    claims_clock: clock.Clock,
) -> KeyClaims:
    """Return the claims of one entry."""
    invariants.require(
        local_voter.local_member.name == known_members.local_member().name,
        'an entry votes under its own name',
        local_voter.local_member.name,
    )
    return KeyClaims(local_voter, key_peers, known_members, claims_clock)
