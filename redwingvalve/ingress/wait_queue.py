"""Queue of requests that wait for a free slot, with admission control.

Load pattern: bursts exceed the free slots for a second or two, and
occasionally offer several times the capacity for many seconds. Requests wait
here rather than at an endpoint, because from here they can go to whichever
head is free first.

Order of service: resumed streams that lost their endpoint; then requests that
can still be on time, the most urgent first and the oldest first among equals;
then late requests. In plain FIFO order every request of a long burst would
wait for the whole queue, and all answers would be late although the slots are
fully used.

A late request takes a slot while there are spare ones, and otherwise one for
every few slots granted to others. A slot given to a late request is lost to
one that could be on time: without a bound, all answers of a long overload
would be late. Without any share, a slight overload would reject for good the
callers that retry after a refusal, because callers retry only once.

A request is refused immediately if its expected wait, from the requests ahead
of it and the rate at which slots become free, exceeds its time, if rate limits
of all endpoints outlast the time that it may wait, and if the limit of waiting
late requests is reached; the limit follows how many of them got a slot lately.
A caller that is refused immediately can retry; one that waits can't.
"""

import abc
import asyncio
import itertools
import math
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.ingress import load_balancing, sliding_window

# Lower bound for the rate while no endpoint is known: all requests but the
# first in the queue then expect too long a wait.
MIN_FREED_PER_S = 1e-3
# Window over which refusals and grants are compared.
RATE_WINDOW_S = 2.0
# Limit of late requests in the queue, as a share of all slots. Each late
# request that times out halves the limit, each that is served adds one.
LATE_LIMIT_SHARE = 0.5
MIN_LATE_LIMIT = 6
# Slots that late requests earn for each slot granted to another request, also
# when there are no spare ones: enough that no caller is rejected for good
# while few are refused, and little once many are. MAX_LATE_CREDIT bounds how
# many slots they can save up.
LATE_SHARE_FEW_REFUSALS = 0.33
LATE_SHARE_MANY_REFUSALS = 0.05
MAX_LATE_CREDIT = 2.0
# Refusals per granted slot above which LATE_SHARE_MANY_REFUSALS applies.
MANY_REFUSALS_RATIO = 0.3
# A request may wait if its expected wait is within this share of the time in
# which it can be on time. Slots become free irregularly: half of the requests
# expected to get one at the last moment would be late.
EXPECTED_WAIT_SHARE = 0.6
# Bounds of Retry-After. Most of a short burst has passed after the lower one.
# Callers honour at most a third of their remaining time, so that callers with
# a deadline of 6 s honour the upper one.
RETRY_AFTER_MIN_S = 0.8
RETRY_AFTER_MAX_S = 2.0


@attrs.frozen
class SlotRequest:
    """A request for a slot, with its priority and time limits."""

    urgency: int
    # Longest wait after which the answer can still be on time.
    on_time_s: float
    # Longest wait before the request is given up.
    wait_s: float
    # The caller retries after a refusal.
    has_returned: bool = False
    # The request was running elsewhere and lost its endpoint.
    is_resumed: bool = False
    # The request can be sent to another endpoint if this one fails.
    may_probe: bool = False
    # Name of the client account, empty if none.
    account: str = ''
    # Kind of request. Empty where no client accounts compete.
    kind: str = ''
    # Size of the prompt within its kind: 2 for the largest tenth, 1 for the
    # fifth below it.
    size_rank: int = 0
    # The request is running elsewhere: it takes only a slot that is spare.
    is_hedge: bool = False

    @property
    def is_competing(self) -> bool:
        """Return whether client accounts compete for the slot."""
        return bool(self.kind)


def deduct_elapsed(ask: SlotRequest, elapsed_s: float) -> SlotRequest:
    """Return the request with its time limits reduced by elapsed_s."""
    return attrs.evolve(
        ask,
        on_time_s=max(0, ask.on_time_s - elapsed_s),
        wait_s=max(0, ask.wait_s - elapsed_s),
    )


class SlotCapacity(abc.ABC):
    """Capacity of the endpoints whose slots a queue hands out."""

    @abc.abstractmethod
    def freed_per_s(self) -> float:
        """Return the rate at which slots become free while all are taken."""

    @abc.abstractmethod
    def slots(self) -> int:
        """Return the number of slots, taken or free."""

    @abc.abstractmethod
    def blocked_s(self) -> float:
        """Return how long no request can start, whatever becomes free."""

    @abc.abstractmethod
    def has_spare_slots(self) -> bool:
        """Return whether late requests may take a slot now."""

    def has_free_slots(self) -> bool:
        """Return False if no request can get a slot now.

        Spares the queue a search of the endpoints for each waiting request.
        """
        return True


_Rank: typing.TypeAlias = tuple[bool, bool, int, bool, int]


@attrs.define(eq=False)
class Waiter:
    """A waiting request."""

    ask: SlotRequest
    number: int
    # From this moment on its answer can't start in time.
    late_at_s: float
    acquire_slot: load_balancing.AcquireSlot
    granted: asyncio.Future[load_balancing.Target | None]

    def is_late(self, now_s: float) -> bool:
        """Return whether its answer can't start in time any more."""
        if self.ask.is_resumed:
            return False
        return self.ask.has_returned or now_s >= self.late_at_s

    def rank(self, now_s: float, *, late_first: bool = False) -> _Rank:
        """Return the sort key of the order of service; lowest is first."""
        ask = self.ask
        return (
            not ask.is_resumed,
            self.is_late(now_s) != late_first,
            ask.urgency,
            not ask.has_returned,
            self.number,
        )


class WaitQueue:
    """Queue of one service and model."""

    def __init__(
        self, clock: collections_abc.Callable[[], float], capacity: SlotCapacity
    ) -> None:
        """Create an empty queue; clock returns seconds."""
        self._clock = clock
        self._capacity = capacity
        self._numbers = itertools.count()
        self._waiters: list[Waiter] = []
        self._grants = sliding_window.SlidingWindowCounter(RATE_WINDOW_S)
        self._refusals = sliding_window.SlidingWindowCounter(RATE_WINDOW_S)
        self._late_limit = math.inf
        # Slots that late requests may take although none is spare.
        self._late_credit = 0.0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiters)

    def retry_after_s(self) -> float:
        """Return after how many seconds a refused caller should retry.

        Grows with the ratio of refusals to grants: a caller that retries too
        soon is refused again, and most callers retry only once.
        """
        retry_after_s = RETRY_AFTER_MIN_S * (1 + self._refusals_per_grant())
        return min(retry_after_s, RETRY_AFTER_MAX_S)

    def expected_wait_s(self, ask: SlotRequest) -> float:
        """Return the expected wait of a request that arrives now."""
        return self._expected_wait_s(self._make_waiter(ask, _acquire_nothing))

    def try_acquire(
        self, ask: SlotRequest, acquire_slot: load_balancing.AcquireSlot
    ) -> load_balancing.Target | None:
        """Return the target of a slot if one is free for the request now."""
        waiter = self._make_waiter(ask, acquire_slot)
        self._add(waiter)
        self.dispatch()
        self._remove(waiter)
        return _granted_target(waiter)

    async def acquire(
        self, ask: SlotRequest, acquire_slot: load_balancing.AcquireSlot
    ) -> load_balancing.Target | None:
        """Wait for a slot; return None if the request gets none in time."""
        waiter = self._make_waiter(ask, acquire_slot)
        self._add(waiter)
        try:
            target = await self._wait_for_slot(waiter)
        finally:
            self._remove(waiter)
        if target is None:
            self._refusals.record(self._clock())
        return target

    def dispatch(self) -> None:
        """Grant free slots to waiting requests, in order of service."""
        if not (self._waiters and self._capacity.has_free_slots()):
            return
        has_spare_slots = self._capacity.has_spare_slots()
        for waiter in _while_slots_are_free(
            self._sorted_waiters(), self._capacity
        ):
            is_late = waiter.is_late(self._clock())
            if is_late and not (has_spare_slots or self._late_credit >= 1):
                continue
            target = waiter.acquire_slot()
            if target is not None:
                self._grant(waiter, target, is_late=is_late)

    def _make_waiter(
        self, ask: SlotRequest, acquire_slot: load_balancing.AcquireSlot
    ) -> Waiter:
        return Waiter(
            ask,
            next(self._numbers),
            self._clock() + ask.on_time_s,
            acquire_slot,
            asyncio.get_running_loop().create_future(),
        )

    async def _wait_for_slot(
        self, waiter: Waiter
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

    async def _wait_until(self, waiter: Waiter, moment_s: float) -> None:
        """Wait for a grant until a moment of the queue's clock."""
        left_s = max(moment_s - self._clock(), 0)
        await asyncio.wait((waiter.granted,), timeout=left_s)

    def _may_wait(self, waiter: Waiter) -> bool:
        if self._capacity.blocked_s() > waiter.ask.wait_s:
            return False
        if waiter.ask.is_resumed:
            return True
        now_s = self._clock()
        if not waiter.is_late(now_s):
            on_time_s = waiter.ask.on_time_s * EXPECTED_WAIT_SHARE
            if self._expected_wait_s(waiter) <= on_time_s:
                return True
            waiter.late_at_s = now_s
        return self._admit_late(waiter)

    def _expected_wait_s(self, waiter: Waiter) -> float:
        """Return the expected wait behind the requests ahead of it."""
        now_s = self._clock()
        rank = waiter.rank(now_s)
        ahead = sum(1 for one in self._waiters if one.rank(now_s) < rank)
        blocked_s = self._capacity.blocked_s()
        if not ahead:
            return blocked_s
        freed_per_s = max(self._capacity.freed_per_s(), MIN_FREED_PER_S)
        return max((ahead + 1) / freed_per_s, blocked_s)

    def _admit_late(self, waiter: Waiter) -> bool:
        """Return whether a late request may wait for a spare slot.

        A caller that already retried has no other chance: at the limit, its
        request evicts one whose caller can still retry.
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
        self, waiter: Waiter, target: load_balancing.Target, *, is_late: bool
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
        """Return the credit of late requests for each slot of the others."""
        has_many_refusals = self._refusals_per_grant() > MANY_REFUSALS_RATIO
        return (
            LATE_SHARE_MANY_REFUSALS
            if has_many_refusals
            else LATE_SHARE_FEW_REFUSALS
        )

    def _refusals_per_grant(self) -> float:
        """Return the refusals per granted slot within the window."""
        now_s = self._clock()
        return self._refusals.count(now_s) / max(self._grants.count(now_s), 1)

    def _add(self, waiter: Waiter) -> None:
        self._waiters.append(waiter)

    def _remove(self, waiter: Waiter) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def _sorted_waiters(self) -> list[Waiter]:
        now_s = self._clock()
        late_first = self._late_credit >= 1

        def rank(waiter: Waiter) -> _Rank:
            return waiter.rank(now_s, late_first=late_first)

        return sorted(self._waiters, key=rank)


def _while_slots_are_free(
    waiters: list[Waiter], capacity: SlotCapacity
) -> collections_abc.Iterator[Waiter]:
    """Yield requests until all slots are taken."""
    for waiter in waiters:
        if not capacity.has_free_slots():
            return
        yield waiter


def _acquire_nothing() -> None:
    """Acquire no slot."""


def _granted_target(waiter: Waiter) -> load_balancing.Target | None:
    return waiter.granted.result() if waiter.granted.done() else None
