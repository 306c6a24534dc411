"""What the queue learns from finished work: costs, delays, recent use."""

import math

# One job changes the learned ratio by a tenth; about twenty jobs forget an
# old habit of an account, and one odd job cannot halve its claim.
CORRECTION_STEP = 0.1
MIN_CORRECTION = 0.1
MAX_CORRECTION = 10.0

# The in-flight limit falls by a tenth while answers are late, and then waits
# until first tokens can show the effect: falling on each late answer halves
# the limit before the first one can be in time. It rises by a five hundredth
# for each answer in time while work waits, to most_over_declared times what
# is declared.
PRESSURE_PAUSE_S = 0.3
PRESSURE_PAUSE_DELAYS = 2.0
PRESSURE_FALL = 0.97
PRESSURE_RISE = 0.002
PRESSURE_MIN_FACTOR = 0.2
LATE_SHARE = 0.2
LATE_STEP = 0.05
MANY_LATE = 0.2
FEW_LATE = 0.05
FIRST_TOKEN_STEP = 0.05
GAP_STEP = 0.05
GAP_LATE_SHARE = 0.75
GAP_EARLY_SHARE = 0.6

PEAK_HALF_LIFE_S = 5.0


class CostCorrection:
    """The ratio of used to estimated tokens of one account and kind."""

    def __init__(self) -> None:
        """Trust estimates until something is known."""
        self._ratio = 1.0

    def corrected(self, estimated_tokens: float) -> float:
        """Return the cost to count for an estimate."""
        return max(estimated_tokens * self._ratio, 1.0)

    def learn(self, estimated_tokens: float, actual_tokens: float) -> None:
        """Move the ratio towards what a job used."""
        if estimated_tokens <= 0 or actual_tokens <= 0:
            return
        seen = actual_tokens / estimated_tokens
        ratio = self._ratio + CORRECTION_STEP * (seen - self._ratio)
        self._ratio = min(max(ratio, MIN_CORRECTION), MAX_CORRECTION)


class Pressure:
    """Follows first-token delays and token gaps, and moves the bound.

    When the declared in-flight bound is too high for what the endpoints really
    do (stragglers, dead replicas not yet noticed), work queues inside them,
    where it can't be refused any more, and tokens come slowly. When it is too
    low, accelerators idle while callers are refused. factor multiplies the
    bound.
    """

    def __init__(
        self, first_token_s: float, token_gap_s: float, max_factor: float
    ) -> None:
        """Start with an expected delay, a gap target and the whole bound."""
        self._max_factor = max_factor
        self.first_token_s = first_token_s
        self.factor = 1.0
        self._gap_target_s = token_gap_s
        self._gap_s = 0.0
        self._late = 0.0
        self._next_fall_s = 0.0

    def observed(
        self, *, delay_s: float, allowed_s: float, now_s: float
    ) -> None:
        """Count one first token."""
        bounded = min(delay_s, max(allowed_s, 0.0))
        self.first_token_s += FIRST_TOKEN_STEP * (bounded - self.first_token_s)
        # A few late ones are stragglers, which routing eases off; many mean
        # that work queues inside the endpoints.
        late = float(delay_s > LATE_SHARE * allowed_s)
        self._late += LATE_STEP * (late - self._late)
        if self._late > MANY_LATE:
            self._fall(now_s)

    def finished(
        self, mean_gap_s: float, now_s: float, *, waiting: bool
    ) -> None:
        """Count one answer; waiting tells whether a higher bound is of use."""
        if mean_gap_s > 0:
            self._gap_s += GAP_STEP * (mean_gap_s - self._gap_s)
        if self._gap_s > GAP_LATE_SHARE * self._gap_target_s:
            self._fall(now_s)
            return
        if self._late > FEW_LATE or now_s < self._next_fall_s:
            return
        early = self._gap_s < GAP_EARLY_SHARE * self._gap_target_s
        if self.factor < 1 or (waiting and early):
            risen = self.factor + PRESSURE_RISE
            self.factor = min(risen, self._max_factor)

    def _fall(self, now_s: float) -> None:
        if now_s >= self._next_fall_s:
            pause_s = PRESSURE_PAUSE_DELAYS * self.first_token_s
            self._next_fall_s = now_s + max(pause_s, PRESSURE_PAUSE_S)
            lowered = self.factor * PRESSURE_FALL
            self.factor = max(lowered, PRESSURE_MIN_FACTOR)


class DecayingPeak:
    """The highest recent value, halved every PEAK_HALF_LIFE_S."""

    def __init__(self) -> None:
        """Start at nought."""
        self.level = 0.0
        self._at_s = 0.0

    def observed(self, value: float, now_s: float) -> None:
        """Take a value in."""
        elapsed_s = max(now_s - self._at_s, 0.0)
        decayed = self.level * math.exp2(-elapsed_s / PEAK_HALF_LIFE_S)
        self.level = max(value, decayed)
        self._at_s = now_s
