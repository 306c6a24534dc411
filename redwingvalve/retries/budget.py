"""A retry budget as a share of successes.

Load pattern: many requests fail at once, because replicas died or all are
overloaded. Without a budget each failure is sent again, a third of the fleet
lost becomes half again as much work for the rest, and that fails too.

Each success earns a tenth of a retry, so that over any time at most a tenth of
the answered work is sent twice. The small reserve lets an entry that has just
started retry what two replicas take along when they die (2 times 60 streams
over seven entries); it refills slowly, so that it can't carry a storm.
"""

import attrs


@attrs.frozen
class BudgetSettings:
    """Figures an operator may set; docs/operating/who-is-served.md."""

    success_share: float = 0.1
    reserve: float = 20.0
    reserve_per_s: float = 0.2
    max_saved: float = 200.0


class RetryBudget:
    """Earned by successes, spent by retries, resumptions and hedges."""

    def __init__(self, settings: BudgetSettings | None = None) -> None:
        """Start with the reserve."""
        self._settings = settings or BudgetSettings()
        self._saved = self._settings.reserve
        self._refilled_at_s: float | None = None

    def succeeded(self) -> None:
        """Earn a share of a retry."""
        self._saved = min(
            self._saved + self._settings.success_share,
            self._settings.max_saved,
        )

    def try_spend(self, now_s: float) -> bool:
        """Take one retry if there is one."""
        self._refill(now_s)
        if self._saved < 1:
            return False
        self._saved -= 1
        return True

    def available(self, now_s: float) -> float:
        """Return how many retries could be spent now."""
        self._refill(now_s)
        return self._saved

    def _refill(self, now_s: float) -> None:
        if self._refilled_at_s is None:
            self._refilled_at_s = now_s
        earned = (now_s - self._refilled_at_s) * self._settings.reserve_per_s
        self._refilled_at_s = now_s
        if self._saved < self._settings.reserve:
            self._saved = min(self._saved + earned, self._settings.reserve)


class UnboundedBudget(RetryBudget):
    """Retries without a bound, to compare with."""

    def try_spend(self, now_s: float) -> bool:
        """Allow every retry."""
        return True


def make_retry_budget(settings: BudgetSettings | None = None) -> RetryBudget:
    """Return a budget; one is kept for each deployment at an entry."""
    return RetryBudget(settings)
