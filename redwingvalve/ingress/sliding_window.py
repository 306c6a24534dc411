"""Counts events within a sliding time window."""

import collections

import attrs


@attrs.define
class SlidingWindowCounter:
    """Timestamps of the events within the window, in seconds of one clock."""

    window_s: float
    _timestamps_s: collections.deque[float] = attrs.field(
        factory=collections.deque
    )

    def record(self, now_s: float) -> None:
        """Record an event."""
        self._timestamps_s.append(now_s)
        self._drop_expired(now_s)

    def count(self, now_s: float) -> int:
        """Return the number of events within the window."""
        self._drop_expired(now_s)
        return len(self._timestamps_s)

    def _drop_expired(self, now_s: float) -> None:
        oldest_s = now_s - self.window_s
        while self._timestamps_s and self._timestamps_s[0] < oldest_s:
            self._timestamps_s.popleft()
