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
# A grant is good for this long. Voters remember it far longer, so a claimant
# that was paused after its grant can't send when the voters have forgotten.
GRANT_VALID_S = 30.0
ASK_TIMEOUT_S = 1.0
LOOK_INTERVAL_S = 1.0

AskedVote = tuple[str, messages.Vote]


@attrs.frozen
class Grant:
    """Leave to send one request once, until valid_until_s."""

    claim: messages.Claim
    valid_until_s: float


@attrs.frozen
class ClaimRefused:
    """The request must not be sent; outcome is what is known of the key.

    wait_s is when enough voters may decide, 0 if nobody knows.
    """

    outcome: outcomes.Outcome
    reason: str
    duplicate: bool
    wait_s: float = 0.0


@attrs.frozen
class _Copied:
    """Up to which of its claims another voter has been copied."""

    incarnation: int = 0
    reached: int = 0


class KeyClaims:
    """Asks a key's voters, and keeps this entry's own vote up to date."""

    def __init__(
        self,
        own_voter: voter.Voter,
        key_peers: peers.KeyPeers,
        known_members: members.Members,
        claims_clock: clock.Clock,
    ) -> None:
        """Ask through key_peers."""
        self.voter = own_voter
        self._peers = key_peers
        self._members = known_members
        self._clock = claims_clock
        self._copied: dict[str, _Copied] = {}

    async def claim(self, claim: messages.Claim) -> Result[Grant, ClaimRefused]:
        """Return leave to send, or why the request must not be sent."""
        began_s = self._clock.monotonic_s()
        named = self._voters_of(claim)
        claim = attrs.evolve(claim, voters=named)
        try:
            votes = await self._ask(claim, named)
        except BaseException:
            # The caller hung up while voters were asked: nothing was sent, and
            # its next attempt must not be taken for a duplicate.
            await self.report(claim, outcomes.Outcome.NOT_RUN)
            raise
        granted = [
            name for name, vote in votes if vote.verdict == messages.Verdict.RUN
        ]
        asked_s = self._clock.monotonic_s() - began_s
        if asked_s > roster.SETTLE_S:
            # A claimant that was paused while it asked: voters that have
            # restarted since may know nothing of their votes.
            granted.clear()
        if len(granted) >= voters.votes_needed(len(named)):
            return Ok(Grant(claim, began_s + GRANT_VALID_S))
        # What was granted in vain is given back, so that the caller's next
        # attempt is not taken for a duplicate of this one.
        await self.report(claim, outcomes.Outcome.NOT_RUN)
        return Error(_refusal([vote for _, vote in votes], len(named)))

    def check(self, grant: Grant) -> bool:
        """Tell whether a grant is still good, right before the send."""
        return self._clock.monotonic_s() < grant.valid_until_s

    async def report(
        self, claim: messages.Claim, outcome: outcomes.Outcome
    ) -> None:
        """Tell the voters what became of the request; best effort."""
        with anyio.CancelScope(shield=True):
            async with anyio.create_task_group() as group:
                for name in claim.voters:
                    group.start_soon(self._report_to, name, claim, outcome)

    async def keep_synced(self) -> None:
        """Follow membership and copy what a new voter must know, for ever."""
        while True:
            await self.sync_once()
            await self._clock.sleep(LOOK_INTERVAL_S)

    async def sync_once(self) -> None:
        """Look at the members and copy claims that are still missing."""
        now_s = self._clock.monotonic_s()
        known = self._members.known()
        self.voter.roster.observe(known, now_s)
        async with anyio.create_task_group() as group:
            for name in self.voter.roster.to_copy(now_s):
                member = self._find(name)
                if member is not None:
                    group.start_soon(self._copy_from, member)

    def _voters_of(self, claim: messages.Claim) -> tuple[str, ...]:
        issued = keys.parse_issued(claim.request_key)
        if issued is not None:
            return (issued.entry,)
        return self.voter.roster.voters(claim.account, claim.request_key)

    async def _ask(
        self, claim: messages.Claim, named: tuple[str, ...]
    ) -> list[AskedVote]:
        votes: list[AskedVote] = []
        async with anyio.create_task_group() as group:
            for name in named:
                group.start_soon(self._ask_one, name, claim, votes)
        return votes

    async def _ask_one(
        self, name: str, claim: messages.Claim, votes: list[AskedVote]
    ) -> None:
        if name == self.voter.myself.name:
            votes.append((name, self.voter.vote(claim)))
            return
        member = self._find(name)
        if member is None:
            return
        with anyio.move_on_after(ASK_TIMEOUT_S):
            asked = await self._peers.claim(member, claim)
            if asked.is_ok():
                votes.append((name, asked.ok))

    async def _report_to(
        self, name: str, claim: messages.Claim, outcome: outcomes.Outcome
    ) -> None:
        if name == self.voter.myself.name:
            self.voter.report(claim, outcome)
            return
        member = self._find(name)
        if member is not None:
            with anyio.move_on_after(ASK_TIMEOUT_S):
                await self._peers.report(member, claim, outcome)

    async def _copy_from(self, member: members.Member) -> None:
        """Copy pages for a while; the next look goes on from there."""
        more = True
        with anyio.move_on_after(ASK_TIMEOUT_S):
            while more:
                more = await self._copy_page(member)

    async def _copy_page(self, member: members.Member) -> bool:
        names = tuple(sorted(self.voter.roster.names))
        known = self._copied.get(member.name, _Copied())
        copied = await self._peers.copy(member, names, known.reached)
        if copied.is_error():
            return False
        page = copied.ok
        if known.reached and page.incarnation != known.incarnation:
            # It has restarted and numbers its claims from one again.
            self._copied.pop(member.name)
            return True
        self._copied[member.name] = _Copied(page.incarnation, page.reached)
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
    silent = asked - len(votes)
    if silent:
        reasons['no answer came'] += silent
    said = '; '.join(sorted(reasons)) or 'the votes were split'
    lacking = voters.votes_needed(asked) - len(votes) + len(undecided)
    waits_s = sorted(vote.wait_s for vote in undecided)
    wait_s = waits_s[lacking - 1] if 0 < lacking <= len(waits_s) else 0.0
    return ClaimRefused(outcome, said, duplicate=False, wait_s=wait_s)


def make_claims(
    own_voter: voter.Voter,
    key_peers: peers.KeyPeers,
    known_members: members.Members,
    claims_clock: clock.Clock,
) -> KeyClaims:
    """Return the claims of one entry."""
    invariants.require(
        own_voter.myself.name == known_members.local_member().name,
        'an entry votes under its own name',
        own_voter.myself.name,
    )
    return KeyClaims(own_voter, key_peers, known_members, claims_clock)
