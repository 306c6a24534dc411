"""How often something happened lately."""

import collections

import attrs


@attrs.define
class Moments:
    """Moments of one clock within a window, both in seconds."""

    window_s: float
    _moments_s: collections.deque[float] = attrs.field(
        factory=collections.deque
    )

    def note(self, now_s: float) -> None:
        """Count what happens now."""
        self._moments_s.append(now_s)
        self._drop_old(now_s)

    def count(self, now_s: float) -> int:
        """Return how often it happened within the window."""
        self._drop_old(now_s)
        return len(self._moments_s)

    def _drop_old(self, now_s: float) -> None:
        since_s = now_s - self.window_s
        while self._moments_s and self._moments_s[0] < since_s:
            self._moments_s.popleft()
