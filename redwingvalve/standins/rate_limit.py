"""A token bucket for rate-limited fakes."""

import time


class TokenBucket:
    """Allows rate_per_s calls per second; a rate of 0 means no limit."""

    def __init__(self, rate_per_s: float, burst: float | None = None) -> None:
        """Start full; burst defaults to the calls of one second."""
        self.rate_per_s = rate_per_s
        self._burst = max(1.0, rate_per_s if burst is None else burst)
        self._tokens = self._burst
        self._filled_at_s = time.monotonic()

    def take(self) -> float:
        """Take a token; return 0.0, or the seconds until one is available."""
        if self.rate_per_s <= 0:
            return 0.0
        now_s = time.monotonic()
        gained = (now_s - self._filled_at_s) * self.rate_per_s
        self._tokens = min(self._burst, self._tokens + gained)
        self._filled_at_s = now_s
        missing = 1 - self._tokens
        if missing > 0:
            return missing / self.rate_per_s
        self._tokens -= 1
        return 0.0
