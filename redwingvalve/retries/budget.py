"""Retry budget as a share of successful requests.

Load pattern: many requests fail at once, because replicas failed or all are
overloaded. Without a budget, every failure is retried: the loss of a third of
the fleet becomes half again as much work for the rest, which fails too.

Each success earns a tenth of a retry, so that over any period at most a tenth
of the successful work is sent twice. The small reserve lets an entry that has
just started retry the streams of two failed replicas (2 times 60 streams over
seven entries); it refills too slowly to sustain a retry storm.
"""

import attrs


@attrs.frozen
class BudgetSettings:
    """Settings for operators; see docs/operating/who-is-served.md."""

    success_share: float = 0.1
    reserve: float = 20.0
    reserve_per_s: float = 0.2
    max_saved: float = 200.0


class RetryBudget:
    """Earned by successes; spent by retries, resumptions and hedges."""

    def __init__(self, settings: BudgetSettings | None = None) -> None:
        """Start with the reserve."""
        self._settings = settings or BudgetSettings()
        self._balance = self._settings.reserve
        self._refilled_at_s: float | None = None

    def succeeded(self) -> None:
        """Record a success, which earns a share of a retry."""
        self._balance = min(
            self._balance + self._settings.success_share,
            self._settings.max_saved,
        )

    def try_spend(self, now_s: float) -> bool:
        """Spend one retry; False if none is available."""
        self._refill(now_s)
        if self._balance < 1:
            return False
        self._balance -= 1
        return True

    def available(self, now_s: float) -> float:
        """Return the number of retries available now."""
        self._refill(now_s)
        return self._balance

    def _refill(self, now_s: float) -> None:
        if self._refilled_at_s is None:
            self._refilled_at_s = now_s
        earned = (now_s - self._refilled_at_s) * self._settings.reserve_per_s
        self._refilled_at_s = now_s
        if self._balance < self._settings.reserve:
            self._balance = min(self._balance + earned, self._settings.reserve)


class UnboundedBudget(RetryBudget):
    """Unlimited retries, as a baseline for benchmarks."""

    def try_spend(self, now_s: float) -> bool:
        """Allow every retry."""
        return True


def make_retry_budget(settings: BudgetSettings | None = None) -> RetryBudget:
    """Return a budget; an entry has one for each deployment."""
    return RetryBudget(settings)
