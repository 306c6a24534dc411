"""Requests that wait for a free place, and whom to refuse.

Load pattern: callers come in waves that exceed the free places for a second
or two, and now and then at several times what the endpoints can do for many
seconds. Requests wait here rather than at an endpoint, because from here they
can go to whichever head is free first.

Streams that lost their endpoint go first, then requests that can still be on
time, the most urgent and then the oldest of them before the others, then those
that are late. Served by age alone, each request of a long wave waits as long
as the queue is, and all answers are late though the places are as busy as ever.

A late request takes a place while some are to spare, and else one for every
few places that others got. A place that a late request takes is missing for one
that could be on time: with no bound, a long overload would be answered late as
a whole. With no share at all, a slight one would turn those away for good who
come back after a refusal, as callers do only once.

A request is refused at once if those before it need longer than it has, judged
by the places that become free, and if as many late ones wait as lately got a
place. A caller that is told so at once can come back, one that waits can't.
"""

import abc
import asyncio
import itertools
import math
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.ingress import load_balancing, sliding_window

# While no endpoint is known; whoever isn't first then waits too long.
MIN_FREED_PER_S = 1e-3
# Refusals and grants are compared over this time.
RATE_WINDOW_S = 2.0
# Late requests that may wait at once, by the places of all endpoints. Each that
# waits in vain halves the number, each that is served adds one.
LATE_LIMIT_SHARE = 0.5
MIN_LATE_LIMIT = 6
# Late requests get so many places for each that others got, also when none is
# to spare: enough that nobody is turned away for good while few are refused,
# and little once many are. So many places at once at most.
LATE_SHARE_FEW_REFUSALS = 0.33
LATE_SHARE_MANY_REFUSALS = 0.05
MAX_LATE_CREDIT = 2.0
# Refusals for each place given, from which on many are refused.
MANY_REFUSALS_RATIO = 0.3
# A request waits if it is expected to get its place within this share of the
# time in which it can be on time. Places come free unevenly: of those that are
# expected to get one at the last moment, half would be late.
EXPECTED_WAIT_SHARE = 0.6
# When those that are refused may come back: most of a short wave has passed
# after the first. Callers with six seconds heed the second: they heed a third
# of what they have left.
RETRY_AFTER_MIN_S = 0.8
RETRY_AFTER_MAX_S = 2.0


@attrs.frozen
class SlotRequest:
    """What a request needs of a place."""

    urgency: int
    # After this wait its answer will be late.
    on_time_s: float
    # After this wait it is given up.
    wait_s: float
    # It was refused before and has come back.
    has_returned: bool = False
    # It ran elsewhere already and lost its endpoint.
    is_resumed: bool = False


class SlotCapacity(abc.ABC):
    """What a room knows of the places that it waits for."""

    @abc.abstractmethod
    def freed_per_s(self) -> float:
        """Return the places that come free in a second while all are taken."""

    @abc.abstractmethod
    def slots(self) -> int:
        """Return all places, taken or free."""

    @abc.abstractmethod
    def has_spare_slots(self) -> bool:
        """Return whether late requests may take a place now."""


_Rank: typing.TypeAlias = tuple[bool, bool, int, bool, int]


@attrs.define(eq=False)
class _Waiter:
    ask: SlotRequest
    number: int
    # From then on its answer can't begin in time.
    late_at_s: float
    acquire_slot: load_balancing.AcquireSlot
    granted: asyncio.Future[load_balancing.Target | None]

    def is_late(self, now_s: float) -> bool:
        if self.ask.is_resumed:
            return False
        return self.ask.has_returned or now_s >= self.late_at_s

    def rank(self, now_s: float, *, late_first: bool = False) -> _Rank:
        """Return its place in the order of service, the first one lowest."""
        ask = self.ask
        return (
            not ask.is_resumed,
            self.is_late(now_s) != late_first,
            ask.urgency,
            not ask.has_returned,
            self.number,
        )


class WaitQueue:
    """Requests of one service and model that wait for a place."""

    def __init__(
        self, clock: collections_abc.Callable[[], float], capacity: SlotCapacity
    ) -> None:
        """Judge by clock, in seconds."""
        self._clock = clock
        self._capacity = capacity
        self._numbers = itertools.count()
        self._waiters: list[_Waiter] = []
        self._grants = sliding_window.SlidingWindowCounter(RATE_WINDOW_S)
        self._refusals = sliding_window.SlidingWindowCounter(RATE_WINDOW_S)
        self._late_limit = math.inf
        # Places that late requests may take though none is to spare.
        self._late_credit = 0.0

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self._waiters)

    def retry_after_s(self) -> float:
        """Return when a refused caller may come back, in seconds.

        The more are refused for each that is served, the later: those that
        come back too soon are refused once more, and most try only once more.
        """
        retry_after_s = RETRY_AFTER_MIN_S * (1 + self._refusals_per_grant())
        return min(retry_after_s, RETRY_AFTER_MAX_S)

    def expected_wait_s(self, ask: SlotRequest) -> float:
        """Return how long a request that comes now will wait."""
        return self._expected_wait_s(self._make_waiter(ask, _acquire_nothing))

    def try_acquire(
        self, ask: SlotRequest, acquire_slot: load_balancing.AcquireSlot
    ) -> load_balancing.Target | None:
        """Return a place if one is free for this request now."""
        waiter = self._make_waiter(ask, acquire_slot)
        self._waiters.append(waiter)
        self.dispatch()
        self._remove(waiter)
        return _granted_target(waiter)

    async def acquire(
        self, ask: SlotRequest, acquire_slot: load_balancing.AcquireSlot
    ) -> load_balancing.Target | None:
        """Return a place, or None if the request won't get one in time."""
        waiter = self._make_waiter(ask, acquire_slot)
        self._waiters.append(waiter)
        try:
            target = await self._wait_for_slot(waiter)
        finally:
            self._remove(waiter)
        if target is None:
            self._refusals.record(self._clock())
        return target

    def dispatch(self) -> None:
        """Give places that became free to those who wait."""
        if not self._waiters:
            return
        has_spare_slots = self._capacity.has_spare_slots()
        for waiter in self._sorted_waiters():
            is_late = waiter.is_late(self._clock())
            if is_late and not (has_spare_slots or self._late_credit >= 1):
                continue
            target = waiter.acquire_slot()
            if target is not None:
                self._grant(waiter, target, is_late=is_late)

    def _make_waiter(
        self, ask: SlotRequest, acquire_slot: load_balancing.AcquireSlot
    ) -> _Waiter:
        return _Waiter(
            ask,
            next(self._numbers),
            self._clock() + ask.on_time_s,
            acquire_slot,
            asyncio.get_running_loop().create_future(),
        )

    async def _wait_for_slot(
        self, waiter: _Waiter
    ) -> load_balancing.Target | None:
        self.dispatch()
        if waiter.granted.done():
            return waiter.granted.result()
        if not self._may_wait(waiter):
            return None
        now_s = self._clock()
        give_up_at_s = now_s + waiter.ask.wait_s
        if not waiter.is_late(now_s):
            await self._wait_until(waiter, min(waiter.late_at_s, give_up_at_s))
            if waiter.granted.done() or not self._admit_late(waiter):
                return _granted_target(waiter)
        await self._wait_until(waiter, give_up_at_s)
        if not waiter.granted.done():
            self._late_limit = self._current_late_limit() / 2
        return _granted_target(waiter)

    async def _wait_until(self, waiter: _Waiter, moment_s: float) -> None:
        """Wait for a place until a moment of the room's clock."""
        left_s = max(moment_s - self._clock(), 0)
        await asyncio.wait((waiter.granted,), timeout=left_s)

    def _may_wait(self, waiter: _Waiter) -> bool:
        if waiter.ask.is_resumed:
            return True
        now_s = self._clock()
        if not waiter.is_late(now_s):
            on_time_s = waiter.ask.on_time_s * EXPECTED_WAIT_SHARE
            if self._expected_wait_s(waiter) <= on_time_s:
                return True
            waiter.late_at_s = now_s
        return self._admit_late(waiter)

    def _expected_wait_s(self, waiter: _Waiter) -> float:
        """Return how long it will wait behind those that go before it."""
        now_s = self._clock()
        rank = waiter.rank(now_s)
        ahead = sum(1 for one in self._waiters if one.rank(now_s) < rank)
        if not ahead:
            return 0
        freed_per_s = max(self._capacity.freed_per_s(), MIN_FREED_PER_S)
        return (ahead + 1) / freed_per_s

    def _admit_late(self, waiter: _Waiter) -> bool:
        """Return whether a late request may wait for a place to spare.

        Who was told to come back has no other chance: it takes the room of
        another, which can still come back.
        """
        now_s = self._clock()
        late = [
            one
            for one in self._sorted_waiters()
            if one is not waiter and one.is_late(now_s)
        ]
        if len(late) < max(self._current_late_limit(), 1):
            return True
        last = late[-1]
        if last.ask.has_returned or not waiter.ask.has_returned:
            return False
        last.granted.set_result(None)
        self._remove(last)
        return True

    def _grant(
        self, waiter: _Waiter, target: load_balancing.Target, *, is_late: bool
    ) -> None:
        self._grants.record(self._clock())
        self._remove(waiter)
        waiter.granted.set_result(target)
        if is_late:
            self._late_limit += 1
            self._late_credit = max(self._late_credit - 1, 0)
        else:
            credit = self._late_credit + self._late_credit_per_grant()
            self._late_credit = min(credit, MAX_LATE_CREDIT)

    def _current_late_limit(self) -> float:
        max_late = LATE_LIMIT_SHARE * self._capacity.slots()
        return min(self._late_limit, max(max_late, MIN_LATE_LIMIT))

    def _late_credit_per_grant(self) -> float:
        """Return the places for late requests, for each that others get."""
        has_many_refusals = self._refusals_per_grant() > MANY_REFUSALS_RATIO
        return (
            LATE_SHARE_MANY_REFUSALS
            if has_many_refusals
            else LATE_SHARE_FEW_REFUSALS
        )

    def _refusals_per_grant(self) -> float:
        """Return the refusals for each place that was given lately."""
        now_s = self._clock()
        return self._refusals.count(now_s) / max(self._grants.count(now_s), 1)

    def _remove(self, waiter: _Waiter) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def _sorted_waiters(self) -> list[_Waiter]:
        now_s = self._clock()
        late_first = self._late_credit >= 1

        def rank(waiter: _Waiter) -> _Rank:
            return waiter.rank(now_s, late_first=late_first)

        return sorted(self._waiters, key=rank)


def _acquire_nothing() -> None:
    """Select no place."""


def _granted_target(waiter: _Waiter) -> load_balancing.Target | None:
    return waiter.granted.result() if waiter.granted.done() else None
