"""Queue for the slots of a pool for which client accounts compete.

Load pattern: for 2 to 10 seconds one large client account asks for 1.5 to 2.5
times the slots, beside many small ones; prompts and urgencies differ.

It differs from the queue for deployments with one account in these points:

- Requests of equal rank are served in the order of the use of their accounts.
- Groups of requests that are served too seldom (accounts, kinds, sizes of
  prompts) go first until they aren't.
- Late requests get only spare slots, unless their group is served too seldom.
- The expected wait of a request counts the more urgent ones that still come.
- At its limits, the queue refuses a request of the account that has most
  waiting and held beyond its share.
"""

from collections import abc as collections_abc

from redwingvalve.ingress import (
    account_log,
    fair_shares,
    group_precedence,
    load_balancing,
    served_shares,
    wait_queue,
    waiting_lines,
)

# Share of the freed slots that a request expects at least, however many others
# pass it: groups that get too few slots go first.
MIN_RATE_SHARE = 0.1
# Interval at which idle accounts and groups are forgotten.
CLEANUP_INTERVAL_S = 1.0


class FairQueue(wait_queue.WaitQueue):
    """Queue of the requests of competing accounts for one pool."""

    def __init__(
        self,
        clock: collections_abc.Callable[[], float],
        capacity: wait_queue.SlotCapacity,
    ) -> None:
        """Create an empty queue; clock returns seconds."""
        super().__init__(clock, capacity)
        self._uses = fair_shares.AccountUses()
        self._lines: waiting_lines.WaitingLines[wait_queue.Waiter] = (
            waiting_lines.WaitingLines(self._uses)
        )
        self._rates = fair_shares.ServiceRates()
        self._precedence = group_precedence.GroupPrecedence(self._lines)
        self._cleaned_s = clock()
        self._account_log = account_log.AccountLog(clock, self._uses)

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._lines)

    def change_held(self, account: str, by: int) -> None:
        """Count slots that an account starts or stops to hold."""
        self._uses.change_held(account, by, self._clock())

    def try_acquire(
        self,
        ask: wait_queue.SlotRequest,
        acquire_slot: load_balancing.AcquireSlot,
    ) -> load_balancing.Target | None:
        """Return the target of a slot if one is free for the request now."""
        target = super().try_acquire(ask, acquire_slot)
        if target is not None:
            _count_offered(self._precedence, ask, self._clock())
        return target

    async def acquire(
        self,
        ask: wait_queue.SlotRequest,
        acquire_slot: load_balancing.AcquireSlot,
    ) -> load_balancing.Target | None:
        """Wait for a slot; return None if the request gets none in time."""
        _count_offered(self._precedence, ask, self._clock())
        waited = self._account_log.start(ask.account, self._lines)
        target = await super().acquire(ask, acquire_slot)
        self._account_log.end(waited, self._lines, has_slot=target is not None)
        return target

    def expected_wait_s(self, ask: wait_queue.SlotRequest) -> float:
        """Return the expected wait of a request that arrives now."""
        waiter = self._make_waiter(ask, _acquire_nothing)
        self._add(waiter)
        try:
            return self._expected_wait_s(waiter)
        finally:
            self._remove(waiter)

    def dispatch(self) -> None:
        """Grant free slots to waiting requests, in order of service."""
        self._drop_unused()
        while len(self._lines) and self._capacity.has_free_slots():
            if not self._grant_next():
                return

    def _grant_next(self) -> bool:
        """Grant one slot; return whether there may be more to grant."""
        has_spare_slots: bool | None = None
        for waiter, may_take_last in self._in_order():
            # Counted at most once, and only if it matters.
            if not may_take_last and has_spare_slots is None:
                has_spare_slots = self._capacity.has_spare_slots()
            if not (may_take_last or has_spare_slots):
                continue
            target = waiter.acquire_slot()
            if target is not None:
                is_late = waiter.is_late(self._clock())
                self._grant(waiter, target, is_late=is_late)
                return True
        return False

    def _in_order(
        self,
    ) -> collections_abc.Iterator[tuple[wait_queue.Waiter, bool]]:
        """Yield requests, and whether they may take the last free slots."""
        now_s = self._clock()
        for first in self._precedence.first(now_s):
            yield first, True
        for waiter, _ in self._lines.in_order(now_s):
            yield waiter, not self._is_held_back(waiter, now_s)

    def _is_held_back(self, waiter: wait_queue.Waiter, now_s: float) -> bool:
        if waiter.ask.is_resumed:
            return False
        return waiter.is_late(now_s) or self._precedence.is_held_back(
            _groups(waiter.ask), now_s
        )

    def _expected_wait_s(self, waiter: wait_queue.Waiter) -> float:
        """Return the expected wait behind the requests ahead of it."""
        now_s = self._clock()
        if waiter not in self._lines:
            return 0.0
        blocked_s = self._capacity.blocked_s()
        if len(self._lines) == 1:
            return blocked_s
        ahead = self._lines.ahead_of(waiter, now_s)
        wait_s = (ahead + 1) / self._rate_per_s(waiter.ask)
        if self._goes_first(waiter):
            first_s = self._precedence.waiting_first() / self._freed_per_s()
            wait_s = min(wait_s, first_s)
        return max(wait_s, blocked_s)

    def _rate_per_s(self, ask: wait_queue.SlotRequest) -> float:
        """Return the freed slots per second that others don't take first."""
        freed_per_s = self._freed_per_s()
        passing_per_s = self._rates.passing_per_s(
            ask.urgency, ask.account, self._uses, self._clock()
        )
        return max(freed_per_s - passing_per_s, freed_per_s * MIN_RATE_SHARE)

    def _freed_per_s(self) -> float:
        return max(self._capacity.freed_per_s(), wait_queue.MIN_FREED_PER_S)

    def _admit_late(self, waiter: wait_queue.Waiter) -> bool:
        """Return whether a late request may wait for a spare slot.

        At the limit, it may take the place of one whose account has more
        waiting and held, or whose caller can still return.
        """
        self._add(waiter)
        if self._goes_first(waiter):
            return True
        late = [one for one in self._lines.late() if one is not waiter]
        if len(late) < max(self._current_late_limit(), 1):
            return True
        last = max(late, key=lambda one: (*self._refusal_key(one), one.number))
        if self._refusal_key(last) <= self._refusal_key(waiter):
            return False
        last.granted.set_result(None)
        self._remove(last)
        return True

    def _refusal_key(self, waiter: wait_queue.Waiter) -> tuple[float, bool]:
        """Return the sort key of who is refused first; highest is first."""
        account = waiter.ask.account
        used = self._uses.held(account) + self._lines.waiting(account)
        share = self._capacity.slots() / max(len(self._uses), 1)
        return max(0.0, used - share), not waiter.ask.has_returned

    def _goes_first(self, waiter: wait_queue.Waiter) -> bool:
        now_s = self._clock()
        return self._precedence.goes_first(
            _groups(waiter.ask), now_s, is_late=waiter.is_late(now_s)
        )

    def _grant(
        self,
        waiter: wait_queue.Waiter,
        target: load_balancing.Target,
        *,
        is_late: bool,
    ) -> None:
        super()._grant(waiter, target, is_late=is_late)
        groups = _groups(waiter.ask)
        self._uses.record_grant(waiter.ask.account)
        now_s = self._clock()
        self._precedence.record_served(groups, now_s)
        if not is_late:
            ask = waiter.ask
            self._rates.record(ask.urgency, ask.account, now_s)

    def _add(self, waiter: wait_queue.Waiter) -> None:
        ask = waiter.ask
        now_s = self._clock()
        rank = (
            not ask.is_resumed,
            waiter.is_late(now_s),
            ask.urgency,
            not ask.has_returned,
        )
        place = waiting_lines.Place(rank, ask.account, _groups(ask))
        self._lines.add(waiter, place)

    def _remove(self, waiter: wait_queue.Waiter) -> None:
        self._lines.remove(waiter)

    def _drop_unused(self) -> None:
        now_s = self._clock()
        if now_s - self._cleaned_s >= CLEANUP_INTERVAL_S:
            self._cleaned_s = now_s
            self._uses.drop_unused(now_s)
            self._precedence.drop_unused(now_s)
            self._rates.drop_unused(now_s)


def _groups(ask: wait_queue.SlotRequest) -> tuple[served_shares.Group, ...]:
    """Return the groups of requests to which one belongs."""
    return (
        ('account', ask.account),
        ('kind', ask.kind),
        ('size', ask.kind, ask.size_rank),
    )


def _count_offered(
    precedence: group_precedence.GroupPrecedence[wait_queue.Waiter],
    ask: wait_queue.SlotRequest,
    now_s: float,
) -> None:
    """Count a request, but for one that was counted before."""
    if not (ask.has_returned or ask.is_resumed):
        precedence.record_offered(_groups(ask), ask.urgency, now_s)


def _acquire_nothing() -> None:
    """Acquire no slot."""
