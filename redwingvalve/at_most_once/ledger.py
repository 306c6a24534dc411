"""The claims that one entry has granted, kept in memory for a fixed time.

Load pattern: some requests a second, each with a key of its own, and now and
then the same key again within seconds or minutes. Without the ledger a resend
runs a second time: a quote is billed twice. A claim is kept for an hour after
the last word on it, so that 22,000 requests a second on 360 entries, one in
ten with a key and each known to five of them, need about 110,000 claims of some
400 bytes on each. Beyond MAX_CLAIMS new claims are refused; forgetting
an old one would let it run again.
"""

import collections

import attrs

from redwingvalve.at_most_once import messages
from redwingvalve.core import invariants, outcomes

MEMORY_S = 3600.0
MAX_CLAIMS = 150_000

LedgerKey = tuple[str, str]


@attrs.define
class _Granted:
    """A granted claim and what became of it."""

    claim: messages.Claim
    granted_s: float
    outcome: outcomes.Outcome = outcomes.Outcome.UNKNOWN


class Ledger:
    """Grants each key to one claim."""

    def __init__(self, memory_s: float = MEMORY_S) -> None:
        """Start empty; claims are kept for memory_s."""
        self._memory_s = memory_s
        self._granted: collections.OrderedDict[LedgerKey, _Granted] = (
            collections.OrderedDict()
        )

    def vote(self, claim: messages.Claim, now_s: float) -> messages.Vote:
        """Grant the claim if its key is free, and remember it."""
        self._forget_old(now_s)
        key = (claim.account, claim.request_key)
        earlier = self._granted.get(key)
        if earlier is None:
            return self._grant(key, claim, now_s)
        if earlier.claim.send_id == claim.send_id:
            # The same claim asked again after a lost answer.
            return messages.Vote(messages.Verdict.RUN)
        reason = 'the key was used before'
        if earlier.claim.digest != claim.digest:
            reason = 'the key was used for another request'
        return messages.Vote(
            messages.Verdict.DUPLICATE, earlier.outcome, reason
        )

    def report(
        self, claim: messages.Claim, outcome: outcomes.Outcome, now_s: float
    ) -> None:
        """Take the claimant's word on the end; NOT_RUN frees the key."""
        key = (claim.account, claim.request_key)
        granted = self._granted.get(key)
        if granted is None or granted.claim.send_id != claim.send_id:
            return
        if outcome == outcomes.Outcome.NOT_RUN:
            invariants.require(
                granted.outcome != outcomes.Outcome.RAN,
                'a request that ran is never freed to run again',
                f'{claim}',
            )
            self._granted.pop(key)
            return
        granted.outcome = outcome
        granted.granted_s = now_s
        self._granted.move_to_end(key)

    def copy(
        self, now_s: float
    ) -> tuple[tuple[messages.Claim, outcomes.Outcome], ...]:
        """Return every claim that is remembered."""
        self._forget_old(now_s)
        return tuple(
            (granted.claim, granted.outcome)
            for granted in self._granted.values()
        )

    def learn(
        self,
        copied: tuple[tuple[messages.Claim, outcomes.Outcome], ...],
        now_s: float,
    ) -> None:
        """Remember claims that another voter granted."""
        for claim, outcome in copied:
            key = (claim.account, claim.request_key)
            if key not in self._granted:
                self._granted[key] = _Granted(claim, now_s, outcome)

    def __len__(self) -> int:
        """Return how many claims are remembered."""
        return len(self._granted)

    def _grant(
        self, key: LedgerKey, claim: messages.Claim, now_s: float
    ) -> messages.Vote:
        if len(self._granted) >= MAX_CLAIMS:
            return messages.Vote(
                messages.Verdict.UNKNOWN, reason='too many keys are remembered'
            )
        self._granted[key] = _Granted(claim, now_s)
        return messages.Vote(messages.Verdict.RUN)

    def _forget_old(self, now_s: float) -> None:
        while self._granted:
            oldest = next(iter(self._granted.values()))
            if now_s - oldest.granted_s <= self._memory_s:
                return
            self._granted.popitem(last=False)
