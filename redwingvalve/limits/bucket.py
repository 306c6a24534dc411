"""Token bucket with a variable rate, and a meter of the demand."""

import math

DEMAND_WINDOW_S = 2.0


class TokenBucket:
    """Allows rate_per_s with bursts; corrections may make it negative."""

    def __init__(self, burst_s: float) -> None:
        """Start empty: a new entry must not add another burst."""
        self._burst_s = burst_s
        self._level = 0.0
        self._at_s: float | None = None

    def take(self, amount: float, rate_per_s: float, now_s: float) -> float:
        """Take amount and return 0, or return the seconds to wait.

        An amount above the burst passes when the bucket is full and leaves a
        negative level, so that large jobs are delayed but not blocked.
        """
        self.fill(rate_per_s, now_s)
        required = min(amount, rate_per_s * self._burst_s)
        if rate_per_s > 0 and self._level >= required:
            self._level -= amount
            return 0.0
        missing = required - self._level
        return missing / rate_per_s if rate_per_s > 0 else math.inf

    def correct(self, amount: float) -> None:
        """Charge the difference to the actual use; negative is a refund."""
        self._level -= amount

    def fill(self, rate_per_s: float, now_s: float) -> None:
        """Add the amount for the time since the last call."""
        if self._at_s is None:
            self._at_s = now_s
        earned = (now_s - self._at_s) * rate_per_s
        self._at_s = now_s
        full = rate_per_s * self._burst_s
        self._level = min(self._level + earned, full)


class DemandMeter:
    """Requested rate over about DEMAND_WINDOW_S, refusals included."""

    def __init__(self) -> None:
        """Start without demand."""
        self._amount = 0.0
        self._at_s = 0.0

    def record(self, amount: float, now_s: float) -> None:
        """Record a requested amount."""
        self._amount = self._decayed(now_s) + amount
        self._at_s = now_s

    def rate_per_s(self, now_s: float) -> float:
        """Return the requested rate."""
        return self._decayed(now_s) / DEMAND_WINDOW_S

    def _decayed(self, now_s: float) -> float:
        elapsed_s = max(now_s - self._at_s, 0.0)
        return self._amount * math.exp(-elapsed_s / DEMAND_WINDOW_S)
