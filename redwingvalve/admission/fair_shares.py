"""What each account's share of the speed is, among the recent accounts.

Shares among the accounts that wait at the moment would be larger: moderate
accounts seldom wait, and a greedy one would then look entitled to their part.

The rate to expect is not the share: half of the speed goes by penalty, so that
an account with a low one gets half its share when all ask for too much, and
one with a high one twice its share. A queue that promises everybody the share
refuses the former late, after more than a second of waiting.
"""

import itertools
import math

import attrs

from redwingvalve.admission import account_queue, messages

# Accounts that asked within this time count.
RECENT_S = 10.0
# The sum is added up again at most this often.
RECOUNT_S = 0.25
# Replicas that die change the speed at once, and callers must hear of it.
CHANGED = 0.1


class SpeedShares:
    """Divides a speed by weight among recent accounts."""

    def __init__(self, settings: messages.AdmissionSettings) -> None:
        """Start without accounts and without speed."""
        self._settings = settings
        self._expected: dict[int, float] = {}
        self._expected_of = 0.0
        self.speed = 0.0
        self.weight = 1.0
        self._lines: list[account_queue.AccountQueue] = []
        self._recent: list[account_queue.AccountQueue] = []
        self._again_at_s = 0.0
        self._expect_again_at_s = 0.0

    def know(self, line: account_queue.AccountQueue) -> None:
        """Take in a new account."""
        self._lines.append(line)
        self._again_at_s = 0.0
        self._expect_again_at_s = 0.0

    def of(self, line: account_queue.AccountQueue, now_s: float) -> float:
        """Return an account's share in tokens per second."""
        if now_s >= self._again_at_s:
            self._recount(now_s)
        return self.speed * line.weight / self.weight

    def expected(
        self, line: account_queue.AccountQueue, speed: float, now_s: float
    ) -> float:
        """Return the rate at which an account gets its part of a speed."""
        stale = abs(speed - self._expected_of) > CHANGED * self._expected_of
        if stale or now_s >= self._expect_again_at_s:
            self._expect_again_at_s = now_s + RECOUNT_S
            self._expected_of = speed
            self._expected = self._expect(speed, now_s)
        known = self._expected.get(line.number)
        if known is None:
            return speed * line.weight / self.weight
        return known

    def moderate(self, line: account_queue.AccountQueue, now_s: float) -> bool:
        """Tell whether an account asks at most its share.

        Fair sharing serves it soon, whatever the others ask, so that its
        expected wait may use more of the time that is left.
        """
        return line.asked_tokens_per_s() <= self.of(line, now_s)

    def _recount(self, now_s: float) -> None:
        self._again_at_s = now_s + RECOUNT_S
        recent = [
            line for line in self._lines if now_s - line.asked_at_s <= RECENT_S
        ]
        self.weight = math.fsum(line.weight for line in recent) or 1.0
        self._recent = recent

    def _expect(self, speed: float, now_s: float) -> dict[int, float]:
        """Divide a speed as the lane does: half fairly, half by penalty."""
        self._recount(now_s)
        claims = [self._claim(line, speed) for line in self._recent]
        left = speed - math.fsum(claim.rate for claim in claims)
        claims.sort(key=_Claim.negative_penalty)
        for _, equals in itertools.groupby(claims, _Claim.negative_penalty):
            left = _divide(tuple(equals), left)
        return {claim.number: claim.expected() for claim in claims}

    def _claim(
        self, line: account_queue.AccountQueue, speed: float
    ) -> '_Claim':
        share = speed * line.weight / self.weight
        asked = line.asked_tokens_per_s()
        guaranteed = share * (1.0 - self._settings.preferred_share)
        most = share * self._settings.preference_bound
        return _Claim(
            number=line.number,
            penalty=line.penalty,
            share=share,
            asked=asked,
            most=min(asked, most),
            rate=min(asked, guaranteed),
        )


@attrs.define(eq=False)
class _Claim:
    """What an account asks of a speed, and what it gets so far."""

    number: int
    penalty: float
    share: float
    asked: float
    most: float
    rate: float

    def negative_penalty(self) -> float:
        """Return the rank, the dearest first."""
        return -self.penalty

    def expected(self) -> float:
        """Return the rate of an account that asks on.

        One that gets all that it asks for would get its share if need be.
        """
        if self.rate < self.asked:
            return self.rate
        return max(self.rate, self.share)


def _divide(equals: tuple[_Claim, ...], left: float) -> float:
    """Give what is left to accounts of one rank; return what remains."""
    wanted = math.fsum(max(one.most - one.rate, 0.0) for one in equals)
    if wanted <= 0 or left <= 0:
        return left
    part = min(left / wanted, 1.0)
    for one in equals:
        one.rate += part * max(one.most - one.rate, 0.0)
    return left - part * wanted
