"""Exponential backoff between urgent rounds.

Load pattern: a rack is lost or 40 processes start, and each change triggers
an urgent round at every member that learns of it. Without backoff, members
that answer late under load suspect each other, broadcast the suspicions at
once, and thereby stay overloaded. Pure: time is an argument.
"""

from redwingvalve.membership import bounds as member_bounds


class UrgentBackoff:
    """Pause after an urgent round, doubled while rounds follow closely."""

    def __init__(self, bounds: member_bounds.MembershipBounds) -> None:
        """Start with the shortest pause."""
        self._bounds = bounds
        self._pause_s = bounds.urgent_interval_s
        self._last_s = float('-inf')

    def pause_s(self, now_s: float) -> float:
        """Return the pause after a round that ended at now_s."""
        longest_s = self._bounds.max_urgent_interval_s
        quiet_s = now_s - self._last_s
        self._last_s = now_s
        if quiet_s > 2 * longest_s:
            self._pause_s = self._bounds.urgent_interval_s
        else:
            self._pause_s = min(2 * self._pause_s, longest_s)
        return self._pause_s


def make_urgent_backoff(
    bounds: member_bounds.MembershipBounds,
) -> UrgentBackoff:
    """Return a backoff at its shortest pause."""
    return UrgentBackoff(bounds)
