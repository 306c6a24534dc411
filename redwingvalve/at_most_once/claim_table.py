"""The claims that one voter has granted, kept in memory for a fixed time.

Load pattern: some requests a second, each with its own key, and occasionally a
key again within seconds or minutes. Without the table a retry runs a second
time: a quote is billed twice. A claim is kept for an hour after its last
update. With 22,000 requests a second on 360 entries, one in ten with a key and
each known to five voters, each voter keeps about 110,000 claims of some 400
bytes. Beyond MAX_CLAIMS new claims are refused, since dropping an old one would
let it run again.

Claims are copied in pages: encoding 100,000 claims in one response would block
the requests of the voter for seconds, and the response would always time out.
"""

import collections
import itertools

import attrs

from redwingvalve.at_most_once import messages
from redwingvalve.core import invariants, outcomes

RETENTION_S = 3600.0
MAX_CLAIMS = 150_000
PAGE_CLAIMS = 200

ClaimKey = tuple[str, str]


@attrs.define
class GrantedClaim:
    """A granted claim and its outcome."""

    claim: messages.Claim
    updated_s: float
    number: int
    outcome: outcomes.Outcome = outcomes.Outcome.UNKNOWN


class ClaimTable:
    """Grants each key to one claim."""

    def __init__(self, retention_s: float = RETENTION_S) -> None:
        """Start empty; claims are kept for memory_s."""
        self._retention_s = retention_s
        self._granted: collections.OrderedDict[ClaimKey, GrantedClaim] = (
            collections.OrderedDict()
        )
        self._numbers = itertools.count(1)
        self._by_number: dict[int, GrantedClaim] = {}

    def vote(self, claim: messages.Claim, now_s: float) -> messages.Vote:
        """Grant and store the claim if its key is free."""
        self._drop_expired(now_s)
        key = (claim.account, claim.request_key)
        earlier = self._granted.get(key)
        if earlier is None:
            return self._grant(key, claim, now_s)
        if earlier.claim.claim_id == claim.claim_id:
            # The same claim was sent again after a lost response.
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
        """Record the reported outcome; NOT_RUN frees the key."""
        key = (claim.account, claim.request_key)
        granted = self._granted.get(key)
        if granted is None or granted.claim.claim_id != claim.claim_id:
            return
        if outcome == outcomes.Outcome.NOT_RUN:
            invariants.require(
                granted.outcome != outcomes.Outcome.RAN,
                'a request that ran is never freed to run again',
                f'{claim}',
            )
            self._drop(key)
            return
        granted.outcome = outcome
        granted.updated_s = now_s
        self._granted.move_to_end(key)

    def page(self, after: int, now_s: float) -> tuple[GrantedClaim, ...]:
        """Return the next claims by number, at most PAGE_CLAIMS."""
        self._drop_expired(now_s)
        later = (
            granted
            for number, granted in self._by_number.items()
            if number > after
        )
        return tuple(itertools.islice(later, PAGE_CLAIMS))

    def learn(
        self,
        copied: tuple[tuple[messages.Claim, outcomes.Outcome], ...],
        now_s: float,
    ) -> None:
        """Store claims that another voter granted."""
        for claim, outcome in copied:
            key = (claim.account, claim.request_key)
            if key not in self._granted:
                self._store(key, claim, now_s, outcome)

    def __len__(self) -> int:
        """Return the number of claims."""
        return len(self._granted)

    def _grant(
        self, key: ClaimKey, claim: messages.Claim, now_s: float
    ) -> messages.Vote:
        if len(self._granted) >= MAX_CLAIMS:
            return messages.Vote(
                messages.Verdict.UNKNOWN, reason='too many keys are remembered'
            )
        self._store(key, claim, now_s, outcomes.Outcome.UNKNOWN)
        return messages.Vote(messages.Verdict.RUN)

    def _store(
        self,
        key: ClaimKey,
        claim: messages.Claim,
        now_s: float,
        outcome: outcomes.Outcome,
    ) -> None:
        number = next(self._numbers)
        granted = GrantedClaim(claim, now_s, number, outcome)
        self._granted[key] = granted
        self._by_number[number] = granted

    def _drop(self, key: ClaimKey) -> None:
        granted = self._granted.pop(key)
        self._by_number.pop(granted.number)

    def _drop_expired(self, now_s: float) -> None:
        while self._granted:
            key, oldest = next(iter(self._granted.items()))
            if now_s - oldest.updated_s <= self._retention_s:
                return
            self._drop(key)
