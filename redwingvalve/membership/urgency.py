"""How soon one urgent round may follow another.

Load pattern: a rack is lost or 40 processes start, and each change calls for
an urgent round at every member that hears of it. Without a growing pause,
members that are late because they are busy doubt each other, pass the doubts
on at once, and are kept busy by that. Pure: time is an argument.
"""

from redwingvalve.membership import bounds as member_bounds


class UrgentBackoff:
    """A pause after each round, doubled while rounds follow each other."""

    def __init__(self, bounds: member_bounds.MembershipBounds) -> None:
        """Start with the short pause."""
        self._bounds = bounds
        self._pause_s = bounds.urgent_interval_s
        self._last_s = float('-inf')

    def pause_s(self, now_s: float) -> float:
        """Return how long to wait after a round at now_s."""
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
    """Return a pace that has been quiet."""
    return UrgentBackoff(bounds)
