"""Estimates from finished requests: costs, delays and recent use."""

import math

# One job moves the ratio by a tenth, so that about twenty jobs replace an
# outdated ratio and a single unusual job can't halve the cost of an account.
CORRECTION_STEP = 0.1
MIN_CORRECTION = 0.1
MAX_CORRECTION = 10.0

# While responses are late, the in-flight limit decreases by DECREASE_FACTOR and
# then pauses until first tokens can show the effect: a decrease on each late
# response would halve the limit before the first one can be in time. While
# requests are queued and responses are in time, it increases by a twentieth of
# the declared limit a second, up to most_over_declared times that limit; below
# the declared limit it recovers four times as fast.
# Entries share the replicas. An increase for each response lets the entry with
# more responses grow faster, until one of three entries keeps two thirds of its
# share and its callers are refused (bench, case 2, seed 2). An increase by time
# with a proportional decrease makes the limits of the entries converge.
DECREASE_PAUSE_S = 0.3
DECREASE_PAUSE_DELAYS = 2.0
DECREASE_FACTOR = 0.97
INCREASE_PER_S = 0.05
RECOVERY_PER_S = 0.2
# Longer times without a response count as this, since they show nothing.
MAX_INCREASE_PERIOD_S = 0.1
MIN_FACTOR = 0.2
LATE_DELAY_SHARE = 0.2
LATE_STEP = 0.05
HIGH_LATE_SHARE = 0.2
LOW_LATE_SHARE = 0.05
FIRST_TOKEN_STEP = 0.05
GAP_STEP = 0.05
HIGH_GAP_SHARE = 0.75
LOW_GAP_SHARE = 0.6

PEAK_HALF_LIFE_S = 5.0


class CostCorrection:
    """Ratio of used to estimated tokens of one account and kind of job."""

    def __init__(self) -> None:
        """Start with a ratio of 1."""
        self._ratio = 1.0

    def corrected(self, estimated_tokens: float) -> float:
        """Return the corrected cost of an estimate."""
        return max(estimated_tokens * self._ratio, 1.0)

    def learn(self, estimated_tokens: float, actual_tokens: float) -> None:
        """Move the ratio towards that of one job."""
        if estimated_tokens <= 0 or actual_tokens <= 0:
            return
        observed_ratio = actual_tokens / estimated_tokens
        ratio = self._ratio + CORRECTION_STEP * (observed_ratio - self._ratio)
        self._ratio = min(max(ratio, MIN_CORRECTION), MAX_CORRECTION)


class LimitController:
    """Adapts the in-flight limit to first-token delays and token gaps.

    If the declared limit is too high for the endpoints (stragglers, dead
    replicas not yet detected), requests queue inside them, where they can't be
    refused any more, and tokens come slowly. If it is too low, accelerators
    idle while callers are refused. The declared limit is multiplied by factor.
    """

    def __init__(
        self, first_token_s: float, token_gap_s: float, max_factor: float
    ) -> None:
        """Start with an expected delay, a gap target and factor 1."""
        self._max_factor = max_factor
        self.first_token_s = first_token_s
        self.factor = 1.0
        self._gap_target_s = token_gap_s
        self._gap_s = 0.0
        self._late_share = 0.0
        self._next_decrease_s = 0.0
        self._finished_at_s = 0.0

    def observed(
        self, *, delay_s: float, allowed_s: float, now_s: float
    ) -> None:
        """Record the delay of one first token."""
        bounded = min(delay_s, max(allowed_s, 0.0))
        self.first_token_s += FIRST_TOKEN_STEP * (bounded - self.first_token_s)
        # A few late responses are stragglers, which routing gives less work;
        # many mean that requests queue inside the endpoints.
        late = float(delay_s > LATE_DELAY_SHARE * allowed_s)
        self._late_share += LATE_STEP * (late - self._late_share)
        if self._late_share > HIGH_LATE_SHARE:
            self._decrease(now_s)

    def finished(
        self, mean_gap_s: float, now_s: float, *, waiting: bool
    ) -> None:
        """Record one response; waiting says whether requests are queued."""
        elapsed_s = min(now_s - self._finished_at_s, MAX_INCREASE_PERIOD_S)
        self._finished_at_s = now_s
        if mean_gap_s > 0:
            self._gap_s += GAP_STEP * (mean_gap_s - self._gap_s)
        if self._gap_s > HIGH_GAP_SHARE * self._gap_target_s:
            self._decrease(now_s)
            return
        if self._late_share > LOW_LATE_SHARE or now_s < self._next_decrease_s:
            return
        is_fast = self._gap_s < LOW_GAP_SHARE * self._gap_target_s
        if self.factor < 1:
            increased = self.factor + RECOVERY_PER_S * elapsed_s
            self.factor = min(increased, 1.0)
        elif waiting and is_fast:
            increased = self.factor + INCREASE_PER_S * elapsed_s
            self.factor = min(increased, self._max_factor)

    def _decrease(self, now_s: float) -> None:
        if now_s >= self._next_decrease_s:
            pause_s = DECREASE_PAUSE_DELAYS * self.first_token_s
            self._next_decrease_s = now_s + max(pause_s, DECREASE_PAUSE_S)
            decreased = self.factor * DECREASE_FACTOR
            self.factor = max(decreased, MIN_FACTOR)


class DecayingPeak:
    """Highest recent value; decays with PEAK_HALF_LIFE_S."""

    def __init__(self) -> None:
        """Start at 0."""
        self.level = 0.0
        self._at_s = 0.0

    def observed(self, value: float, now_s: float) -> None:
        """Record a value."""
        elapsed_s = max(now_s - self._at_s, 0.0)
        decayed = self.level * math.exp2(-elapsed_s / PEAK_HALF_LIFE_S)
        self.level = max(value, decayed)
        self._at_s = now_s
