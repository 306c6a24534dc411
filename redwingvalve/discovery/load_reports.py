"""Load reports of entries, by which callers are balanced.

Load pattern: load changes with every request, so publishing each change would
cost a message per request. Load is published in steps of a sixteenth, when
the step changes and a few seconds after the last report, within the region
only.
"""

import math

from redwingvalve.core import clock
from redwingvalve.news import bus

LOAD_CHANNEL = bus.Channel(
    name='entry-load',
    scope=bus.Scope.REGION,
    max_age_s=15.0,
    max_item_bytes=4,
)
LOAD_KEY = 'load'
STEPS = 16
REPEAT_INTERVAL_S = 5.0
# Hysteresis: the step changes only when the load is beyond its boundary by
# this share of a step; otherwise a load that oscillates around a boundary
# would be published all the time.
HYSTERESIS_SHARE = 0.25


class LoadReporter:
    """Publishes this entry's load in steps."""

    def __init__(self, news: bus.NewsBus, timers: clock.Clock) -> None:
        """Publish nothing until report is called."""
        self._news = news
        self._clock = timers
        self._published_step = -1
        self._published_s = float('-inf')

    def report(self, share: float) -> None:
        """Report the used share of this entry's capacity, 0 to 1."""
        scaled = min(max(share, 0.0), 1.0) * STEPS
        moved = (
            abs(scaled - self._published_step - 0.5) > 0.5 + HYSTERESIS_SHARE
        )
        now_s = self._clock.monotonic_s()
        if not moved and now_s - self._published_s < REPEAT_INTERVAL_S:
            return
        if moved:
            self._published_step = math.floor(scaled)
        self._published_s = now_s
        self._news.publish(
            LOAD_CHANNEL, LOAD_KEY, bytes([self._published_step])
        )


def read_loads(news: bus.NewsBus) -> dict[str, float]:
    """Return the load of each entry with an unexpired report."""
    return {
        item.owner: item.body[0] / STEPS
        for item in news.read(LOAD_CHANNEL)
        if item.body
    }


def make_load_reporter(news: bus.NewsBus, timers: clock.Clock) -> LoadReporter:
    """Return a reporter that has published nothing yet."""
    return LoadReporter(news, timers)
