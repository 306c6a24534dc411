"""Durations as they are seen, for decisions about the next request.

Decisions never use a single observation: one odd answer would open or close a
queue. An estimate starts at a cautious value, moves by a small step with each
observation and stays between two bounds, so that some twenty observations
make up for a change and an outlier counts for little.
"""

import attrs

# Half of a change is known after fourteen observations.
STEP = 0.05
# One observation counts for no more than so many times the estimate.
OUTLIER_FACTOR = 4.0
# Before anything was seen; a goal of the callers bounds what follows from it.
BEGIN_START_S = 0.15
HOLD_START_S = 0.5
LEAST_S = 0.01
BEGIN_MOST_S = 10.0
HOLD_MOST_S = 60.0


@attrs.define
class DurationEstimate:
    """An estimate of a duration, in seconds."""

    seconds: float
    lowest_s: float
    highest_s: float

    def observe(self, seen_s: float) -> None:
        """Take one more observation."""
        highest_s = min(self.highest_s, OUTLIER_FACTOR * self.seconds)
        bounded_s = min(max(seen_s, self.lowest_s), highest_s)
        self.seconds += STEP * (bounded_s - self.seconds)


def make_first_event_estimate() -> DurationEstimate:
    """Return how long an answer takes to begin, before any was seen.

    From a send to the first byte for the caller, without reading the prompt.
    """
    return DurationEstimate(BEGIN_START_S, LEAST_S, BEGIN_MOST_S)


def make_hold_time_estimate() -> DurationEstimate:
    """Return for how long a request holds its place, before any was seen."""
    return DurationEstimate(HOLD_START_S, LEAST_S, HOLD_MOST_S)
