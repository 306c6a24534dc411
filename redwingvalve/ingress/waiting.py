"""Requests that wait at this node for a free place, and whom to refuse.

Load pattern: callers come in waves that exceed the free places for a second
or two. Requests wait here rather than at an endpoint, because from here they
can go to whichever head is free first. The most urgent go first, and of equal
ones the oldest. A request is refused at once if those before it already need
longer than MAX_WAIT_S, judged by the places that became free here lately:
a caller that is told so at once can come back, one that waits can't.
"""

import asyncio
import heapq
import itertools
import typing

import attrs

from redwingvalve.ingress import placing

# An answer that began later than this earns little, and callers leave a
# silent stream after two seconds.
MAX_WAIT_S = 1.2
# Places that became free lately are counted over this time.
RATE_WINDOW_S = 2.0
# Requests that may always wait: at the start no place has become free yet.
MIN_WAITING = 6


@attrs.define(eq=False)
class _Waiter:
    select: placing.Selector
    granted: asyncio.Future[placing.Target | None]


class WaitingRoom:
    """Requests of one service and model that wait for a place."""

    def __init__(self, clock: typing.Callable[[], float]) -> None:
        """Judge rates by clock, in seconds."""
        self._clock = clock
        self._numbers = itertools.count()
        self._heap: list[tuple[int, int, _Waiter]] = []
        self._served_s: list[float] = []

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self._heap)

    def is_full(self) -> bool:
        """Return whether one more would wait longer than MAX_WAIT_S."""
        now_s = self._clock()
        since_s = now_s - RATE_WINDOW_S
        self._served_s = [at_s for at_s in self._served_s if at_s > since_s]
        rate_per_s = len(self._served_s) / RATE_WINDOW_S
        return len(self._heap) >= MIN_WAITING + rate_per_s * MAX_WAIT_S

    async def take(
        self, urgency: int, select: placing.Selector, wait_s: float
    ) -> placing.Target | None:
        """Return a place, or None if none is free within wait_s."""
        if not self._heap:
            target = select()
            if target is not None:
                self._served_s.append(self._clock())
                return target
        if self.is_full():
            return None
        return await self._wait(urgency, select, wait_s)

    def poke(self) -> None:
        """Give places that became free to those who wait."""
        if not self._heap:
            return
        left = []
        while self._heap:
            entry = heapq.heappop(self._heap)
            waiter = entry[2]
            if waiter.granted.done():
                continue
            target = waiter.select()
            if target is None:
                left.append(entry)
                continue
            self._served_s.append(self._clock())
            waiter.granted.set_result(target)
        self._heap = left
        heapq.heapify(self._heap)

    async def _wait(
        self, urgency: int, select: placing.Selector, wait_s: float
    ) -> placing.Target | None:
        granted = asyncio.get_running_loop().create_future()
        waiter = _Waiter(select, granted)
        heapq.heappush(self._heap, (urgency, next(self._numbers), waiter))
        try:
            async with asyncio.timeout(wait_s):
                return await granted
        except TimeoutError:
            # A place that was granted in the same moment isn't lost.
            if granted.done() and not granted.cancelled():
                return granted.result()
            return None
        finally:
            granted.cancel()
            self._heap = [left for left in self._heap if left[2] is not waiter]
            heapq.heapify(self._heap)
