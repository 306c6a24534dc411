"""What each account's share of the speed is, among the recent accounts.

Shares among the accounts that wait at the moment would be larger: moderate
accounts seldom wait, and a greedy one would then look entitled to their part.
"""

import math

from redwingvalve.admission import account_line

# Accounts that asked within this time count.
RECENT_S = 10.0
# The sum is added up again at most this often.
RECOUNT_S = 1.0


class SpeedShares:
    """Divides a speed by weight among recent accounts."""

    def __init__(self) -> None:
        """Start without accounts and without speed."""
        self.speed = 0.0
        self.weight = 1.0
        self._lines: list[account_line.AccountLine] = []
        self._again_at_s = 0.0

    def know(self, line: account_line.AccountLine) -> None:
        """Take in a new account."""
        self._lines.append(line)
        self._again_at_s = 0.0

    def of(self, line: account_line.AccountLine, now_s: float) -> float:
        """Return an account's share in tokens per second."""
        if now_s >= self._again_at_s:
            self._recount(now_s)
        return self.speed * line.weight / self.weight

    def moderate(self, line: account_line.AccountLine, now_s: float) -> bool:
        """Tell whether an account asks at most its share.

        Fair sharing serves it soon, whatever the others ask, so that its
        expected wait may use more of the time that is left.
        """
        return line.asked_tokens_per_s() <= self.of(line, now_s)

    def _recount(self, now_s: float) -> None:
        self._again_at_s = now_s + RECOUNT_S
        recent = math.fsum(
            line.weight
            for line in self._lines
            if now_s - line.asked_at_s <= RECENT_S
        )
        self.weight = recent or 1.0
