"""Requests that wait at this node for a free place, and whom to refuse.

Load pattern: callers come in waves that exceed the free places for a second
or two, and now and then at three times what the endpoints can do for many
seconds. Requests wait here rather than at an endpoint, because from here they
can go to whichever head is free first.

The most urgent go first. Of equal ones those go first that can still begin in
time, the oldest of them before the others, and then those that are late
already. Served by age alone, each request of a long wave waits as long as the
queue is, and all answers are late though the places are as busy as ever; late
answers are worth a quarter to their callers.

A request is refused at once if those before it need longer than MAX_WAIT_S,
judged by the places that became free here lately: a caller that is told so at
once can come back, one that waits can't. If one has to go, it is the least
urgent, of equal ones a late one, and of those the newest.
"""

import asyncio
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
# When those that are refused may come back: most of a short wave has passed
# after the first. With the second and its spread callers who have six seconds
# still wait: they heed a third of what they have left.
RETRY_AFTER_MIN_S = 0.4
RETRY_AFTER_MAX_S = 1.6


@attrs.define(eq=False)
class _Waiter:
    urgency: int
    number: int
    # From then on its answer can't begin in time.
    late_at_s: float
    select: placing.Selector
    granted: asyncio.Future[placing.Target | None]

    def rank(self, now_s: float) -> tuple[int, bool, int]:
        """Return its place in the order of service, the first one lowest."""
        return self.urgency, now_s >= self.late_at_s, self.number


class WaitingRoom:
    """Requests of one service and model that wait for a place."""

    def __init__(self, clock: typing.Callable[[], float]) -> None:
        """Judge rates by clock, in seconds."""
        self._clock = clock
        self._numbers = itertools.count()
        self._waiters: list[_Waiter] = []
        self._served_s: list[float] = []
        self._refused_s: list[float] = []

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self._waiters)

    def is_full(self) -> bool:
        """Return whether one more would wait longer than MAX_WAIT_S."""
        return len(self._waiters) + 1 > self._limit()

    def retry_after_s(self) -> float:
        """Return when a refused caller may come back, in seconds.

        The more are refused for each that is served, the later: those that
        come back too soon are refused once more, and most try only once more.
        """
        self._served_s = self._recent(self._served_s)
        self._refused_s = self._recent(self._refused_s)
        for_each = len(self._refused_s) / max(len(self._served_s), 1)
        return min(RETRY_AFTER_MIN_S * (1 + for_each), RETRY_AFTER_MAX_S)

    async def take(
        self,
        urgency: int,
        select: placing.Selector,
        wait_s: float,
        on_time_s: float = MAX_WAIT_S,
    ) -> placing.Target | None:
        """Return a place, or None if none is free within wait_s.

        After on_time_s of waiting the answer will be late.
        """
        if not self._waiters:
            target = select()
            if target is not None:
                self._served_s.append(self._clock())
                return target
        target = await self._wait(urgency, select, wait_s, on_time_s)
        if target is None:
            self._refused_s.append(self._clock())
        return target

    def poke(self) -> None:
        """Give places that became free to those who wait."""
        for waiter in self._in_order():
            if waiter.granted.done():
                continue
            target = waiter.select()
            if target is None:
                continue
            self._served_s.append(self._clock())
            self._waiters.remove(waiter)
            waiter.granted.set_result(target)

    async def _wait(
        self,
        urgency: int,
        select: placing.Selector,
        wait_s: float,
        on_time_s: float,
    ) -> placing.Target | None:
        granted = asyncio.get_running_loop().create_future()
        late_at_s = self._clock() + on_time_s
        waiter = _Waiter(
            urgency, next(self._numbers), late_at_s, select, granted
        )
        is_full = self.is_full()
        self._waiters.append(waiter)
        if is_full:
            self._refuse_last()
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
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def _refuse_last(self) -> None:
        last = self._in_order()[-1]
        self._waiters.remove(last)
        if not last.granted.done():
            last.granted.set_result(None)

    def _in_order(self) -> list[_Waiter]:
        now_s = self._clock()
        return sorted(self._waiters, key=lambda waiter: waiter.rank(now_s))

    def _limit(self) -> float:
        self._served_s = self._recent(self._served_s)
        rate_per_s = len(self._served_s) / RATE_WINDOW_S
        return MIN_WAITING + rate_per_s * MAX_WAIT_S

    def _recent(self, moments_s: list[float]) -> list[float]:
        since_s = self._clock() - RATE_WINDOW_S
        return [at_s for at_s in moments_s if at_s > since_s]
