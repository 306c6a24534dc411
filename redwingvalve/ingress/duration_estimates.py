"""Durations as they are seen, for decisions about the next request.

Decisions never use a single observation: one odd answer would open or close a
queue. An estimate starts at a cautious value, moves by a small step with each
observation and stays between two bounds, so that some twenty observations
make up for a change and an outlier counts for little.
"""

import attrs

# Half of a change is known after fourteen observations.
SMOOTHING_FACTOR = 0.05
# One observation counts for no more than so many times the estimate.
OUTLIER_FACTOR = 4.0
# Before anything was seen; a goal of the callers bounds what follows from it.
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
        """Take one more observation."""
        max_s = min(self.max_s, OUTLIER_FACTOR * self.seconds)
        bounded_s = min(max(observed_s, self.min_s), max_s)
        self.seconds += SMOOTHING_FACTOR * (bounded_s - self.seconds)


def make_first_event_estimate() -> DurationEstimate:
    """Return how long an answer takes to begin, before any was seen.

    From a send to the first byte for the caller, without reading the prompt.
    """
    return DurationEstimate(INITIAL_FIRST_EVENT_S, MIN_S, MAX_FIRST_EVENT_S)


def make_hold_time_estimate() -> DurationEstimate:
    """Return for how long a request holds its place, before any was seen."""
    return DurationEstimate(INITIAL_HOLD_S, MIN_S, MAX_HOLD_S)
