"""Which accounts go by penalty, and how far.

An account is preferred while it has an allowance, which grows at
preference_bound times its share among all recent accounts and is spent by all
its service. Beyond that a greedy account with a high penalty would push the
moderate ones out.
"""

import heapq
from collections import abc as collections_abc

from redwingvalve.admission import account_queue, messages

# After this an account without allowance is looked at again, at the earliest.
MIN_PARKED_S = 0.001

Rates = collections_abc.Callable[[account_queue.AccountQueue, float], float]


# Penalty and priority, both negative, then virtual time: equals take turns.
Listed = tuple[float, int, float, int]


class Preference:
    """Lines by penalty, then priority; every step is O(log accounts)."""

    def __init__(self, settings: messages.AdmissionSettings) -> None:
        """Start without lines."""
        self._settings = settings
        self._lines: list[account_queue.AccountQueue] = []
        self._listed: list[Listed] = []
        self._parked: list[tuple[float, Listed]] = []

    def know(self, line: account_queue.AccountQueue) -> None:
        """Take in a new line; its number is its place."""
        self._lines.append(line)

    def enter(self, line: account_queue.AccountQueue, priority: int) -> None:
        """List a line that has something waiting."""
        if line.listed:
            return
        line.listed = True
        heapq.heappush(
            self._listed,
            (-line.penalty, -priority, line.virtual_time, line.number),
        )

    def first(
        self, now_s: float, rate: Rates
    ) -> account_queue.AccountQueue | None:
        """Return the dearest line with an allowance; rate gives its growth."""
        while self._parked and self._parked[0][0] <= now_s:
            heapq.heappush(self._listed, heapq.heappop(self._parked)[1])
        while self._listed:
            listed = self._listed[0]
            line = self._lines[listed[3]]
            if not line.waiting:
                heapq.heappop(self._listed)
                line.listed = False
            elif listed[2] < line.virtual_time:
                moved = (listed[0], listed[1], line.virtual_time, listed[3])
                heapq.heapreplace(self._listed, moved)
            elif self._allowed(line, now_s, rate):
                return line
            else:
                heapq.heappop(self._listed)
                again_at_s = now_s + line.allowance.wait_s() + MIN_PARKED_S
                heapq.heappush(self._parked, (again_at_s, listed))
        return None

    def _allowed(
        self, line: account_queue.AccountQueue, now_s: float, rate: Rates
    ) -> bool:
        line.allowance.refill(
            rate(line, now_s), self._settings.preference_burst_s, now_s
        )
        return line.allowance.level > 0

    def clear(self) -> None:
        """Forget all that is listed, when nothing waits any more."""
        self._listed.clear()
        self._parked.clear()
        for line in self._lines:
            line.listed = False
