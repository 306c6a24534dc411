"""Fair shares and expected rates of the recently active accounts.

Shares among only those accounts with queued requests would be too large:
accounts with moderate demand rarely queue, and one with excessive demand would
get their shares too.

The expected rate differs from the share: half of the speed goes by penalty.
When all accounts ask for too much, one with a low penalty gets half of its
share, and one with a high penalty twice its share. If the queue expected the
full share for all, the former would be refused late, after more than a second
of waiting.
"""

import itertools
import math

import attrs

from redwingvalve.admission import account_queue, messages

# Accounts with a request within this time are counted.
RECENT_WINDOW_S = 10.0
# Minimum interval between two computations of the total weight.
RECOUNT_INTERVAL_S = 0.25
# A greater change of the speed, as after the loss of replicas, is taken into
# account at once, so that callers are refused without delay.
SPEED_CHANGE_RATIO = 0.1


class FairShares:
    """Divides a speed by weight among the recently active accounts."""

    def __init__(self, settings: messages.AdmissionSettings) -> None:
        """Start without accounts and without speed."""
        self._settings = settings
        self._expected: dict[int, float] = {}
        self._expected_for_speed = 0.0
        self.speed = 0.0
        self.weight = 1.0
        self._accounts: list[account_queue.AccountQueue] = []
        self._recent: list[account_queue.AccountQueue] = []
        self._next_recount_s = 0.0
        self._next_expected_s = 0.0

    def add_account(self, account: account_queue.AccountQueue) -> None:
        """Add an account."""
        self._accounts.append(account)
        self._next_recount_s = 0.0
        self._next_expected_s = 0.0

    def share_of(
        self, account: account_queue.AccountQueue, now_s: float
    ) -> float:
        """Return an account's share in tokens per second."""
        if now_s >= self._next_recount_s:
            self._recount(now_s)
        return self.speed * account.weight / self.weight

    def expected_rate(
        self, account: account_queue.AccountQueue, speed: float, now_s: float
    ) -> float:
        """Return the rate to expect for an account at a speed."""
        stale = (
            abs(speed - self._expected_for_speed)
            > SPEED_CHANGE_RATIO * self._expected_for_speed
        )
        if stale or now_s >= self._next_expected_s:
            self._next_expected_s = now_s + RECOUNT_INTERVAL_S
            self._expected_for_speed = speed
            self._expected = self._compute_expected(speed, now_s)
        rate = self._expected.get(account.number)
        if rate is None:
            return speed * account.weight / self.weight
        return rate

    def is_within_share(
        self, account: account_queue.AccountQueue, now_s: float
    ) -> bool:
        """Tell whether the demand of an account is at most its share.

        Fair sharing serves such an account soon, whatever the demand of the
        others, so that its expected wait may use more of the remaining time.
        """
        return account.demand_tokens_per_s() <= self.share_of(account, now_s)

    def _recount(self, now_s: float) -> None:
        self._next_recount_s = now_s + RECOUNT_INTERVAL_S
        recent = [
            account
            for account in self._accounts
            if now_s - account.last_request_s <= RECENT_WINDOW_S
        ]
        self.weight = math.fsum(account.weight for account in recent) or 1.0
        self._recent = recent

    def _compute_expected(self, speed: float, now_s: float) -> dict[int, float]:
        """Divide a speed as the lane does: half by share, half by penalty."""
        self._recount(now_s)
        claims = [self._claim(account, speed) for account in self._recent]
        remaining = speed - math.fsum(claim.rate for claim in claims)
        claims.sort(key=_RateClaim.negative_penalty)
        for _, tied in itertools.groupby(claims, _RateClaim.negative_penalty):
            remaining = _distribute(tuple(tied), remaining)
        return {claim.number: claim.expected_rate() for claim in claims}

    def _claim(
        self, account: account_queue.AccountQueue, speed: float
    ) -> '_RateClaim':
        share = speed * account.weight / self.weight
        demand = account.demand_tokens_per_s()
        guaranteed = share * (1.0 - self._settings.preferred_share)
        max_rate = share * self._settings.preference_bound
        return _RateClaim(
            number=account.number,
            penalty=account.penalty,
            share=share,
            demand=demand,
            max_rate=min(demand, max_rate),
            rate=min(demand, guaranteed),
        )


@attrs.define(eq=False)
class _RateClaim:
    """The demand of an account, and the rate assigned so far."""

    number: int
    penalty: float
    share: float
    demand: float
    max_rate: float
    rate: float

    def negative_penalty(self) -> float:
        """Return the sort key: the highest penalty first."""
        return -self.penalty

    def expected_rate(self) -> float:
        """Return the rate to expect if the account sends more.

        An account whose demand is met would get at least its share.
        """
        if self.rate < self.demand:
            return self.rate
        return max(self.rate, self.share)


def _distribute(tied: tuple[_RateClaim, ...], remaining: float) -> float:
    """Distribute a rate among accounts of one rank; return the rest."""
    unmet = math.fsum(max(claim.max_rate - claim.rate, 0.0) for claim in tied)
    if unmet <= 0 or remaining <= 0:
        return remaining
    fraction = min(remaining / unmet, 1.0)
    for claim in tied:
        claim.rate += fraction * max(claim.max_rate - claim.rate, 0.0)
    return remaining - fraction * unmet
