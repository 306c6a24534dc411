"""Moving averages of observed durations, for decisions about later requests.

Decisions never use a single observation, because one odd answer would open or
close a queue. An estimate starts at a conservative value, is smoothed
exponentially and stays between two bounds, so that it follows a change within
some twenty observations and an outlier has little effect.
"""

import attrs

# The estimate covers half of a change after 14 observations.
SMOOTHING_FACTOR = 0.05
# An observation is capped at this multiple of the estimate.
OUTLIER_FACTOR = 4.0
# Estimates before the first observation. Wait times that are derived from them
# are also bounded by the goal of the route.
INITIAL_FIRST_EVENT_S = 0.15
INITIAL_HOLD_S = 0.5
MIN_S = 0.01
MAX_FIRST_EVENT_S = 10.0
MAX_HOLD_S = 60.0


@attrs.define
class DurationEstimate:
    """An estimate of a duration, in seconds."""

    seconds: float
    min_s: float
    max_s: float

    def observe(self, observed_s: float) -> None:
        """Add one observation."""
        max_s = min(self.max_s, OUTLIER_FACTOR * self.seconds)
        bounded_s = min(max(observed_s, self.min_s), max_s)
        self.seconds += SMOOTHING_FACTOR * (bounded_s - self.seconds)


def make_first_event_estimate() -> DurationEstimate:
    """Return the initial estimate of the time to the first event.

    It covers the time from sending a request to the first byte for the caller,
    without the time to read the prompt.
    """
    return DurationEstimate(INITIAL_FIRST_EVENT_S, MIN_S, MAX_FIRST_EVENT_S)


def make_hold_time_estimate() -> DurationEstimate:
    """Return the initial estimate of how long a request holds its slot."""
    return DurationEstimate(INITIAL_HOLD_S, MIN_S, MAX_HOLD_S)
