"""The queue of a pool, for requests with and without competing accounts.

A configuration that adds or removes client accounts reaches the nodes at
different moments: for some milliseconds a pool gets requests of both sorts.
"""

from collections import abc as collections_abc

from redwingvalve.ingress import fair_queue, load_balancing, wait_queue


class PoolQueue:
    """Queue of one pool."""

    def __init__(
        self,
        clock: collections_abc.Callable[[], float],
        capacity: wait_queue.SlotCapacity,
    ) -> None:
        """Create an empty queue; clock returns seconds."""
        self._plain = wait_queue.WaitQueue(clock, capacity)
        self._fair = fair_queue.FairQueue(clock, capacity)
        # The queue of the latest request.
        self._latest = self._plain

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._plain) + len(self._fair)

    def change_held(self, account: str, by: int) -> None:
        """Count slots that an account starts or stops to hold."""
        self._fair.change_held(account, by)

    def retry_after_s(self) -> float:
        """Return after how many seconds a refused caller should retry."""
        return self._latest.retry_after_s()

    def expected_wait_s(self, ask: wait_queue.SlotRequest) -> float:
        """Return the expected wait of a request that arrives now."""
        return self._choose(ask).expected_wait_s(ask)

    def try_acquire(
        self,
        ask: wait_queue.SlotRequest,
        acquire_slot: load_balancing.AcquireSlot,
    ) -> load_balancing.Target | None:
        """Return the target of a slot if one is free for the request now."""
        self._latest = self._choose(ask)
        return self._latest.try_acquire(ask, acquire_slot)

    async def acquire(
        self,
        ask: wait_queue.SlotRequest,
        acquire_slot: load_balancing.AcquireSlot,
    ) -> load_balancing.Target | None:
        """Wait for a slot; return None if the request gets none in time."""
        return await self._choose(ask).acquire(ask, acquire_slot)

    def dispatch(self) -> None:
        """Grant free slots to waiting requests, in order of service."""
        self._plain.dispatch()
        self._fair.dispatch()

    def _choose(self, ask: wait_queue.SlotRequest) -> wait_queue.WaitQueue:
        return self._fair if ask.is_competing else self._plain
