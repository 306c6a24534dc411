"""Tests of the wait queue, caller retries and wait limits."""

import asyncio
import functools
import random

import anyio
import anyio.lowlevel

from redwingvalve.ingress import (
    caller_retries,
    load_balancing,
    refusals,
    wait_queue,
)
from redwingvalve.ingress.tests import load_simulation


def target(name):
    return load_balancing.Target(name, 'h', 1, 4, 'dc')


class FullCapacity(wait_queue.SlotCapacity):
    """Slots that are all taken and become free at a given rate."""

    def __init__(self, freed_per_s=100.0, *, has_spare=False):
        self.has_spare = has_spare
        self._freed_per_s = freed_per_s

    def freed_per_s(self):
        return self._freed_per_s

    def slots(self):
        return 0

    def blocked_s(self):
        return 0.0

    def has_spare_slots(self):
        return self.has_spare


class Requester:
    """Requests slots and records the order of grants and refusals."""

    def __init__(self, clock=None, capacity=None):
        self.capacity = capacity or FullCapacity()
        self.queue = wait_queue.WaitQueue(clock or (lambda: 0.0), self.capacity)
        self.free_targets = []
        self.granted = []
        self.refused = []

    def acquire_slot(self):
        return self.free_targets.pop() if self.free_targets else None

    async def ask(self, name, urgency=1, on_time_s=1.0, **more):
        ask = wait_queue.SlotRequest(urgency, on_time_s, 1.0, **more)
        target_or_none = await self.queue.acquire(ask, self.acquire_slot)
        (self.refused if target_or_none is None else self.granted).append(name)

    async def free_slot(self):
        self.free_targets.append(target('a'))
        self.queue.dispatch()
        await settle()


async def settle():
    for _ in range(3):
        await anyio.lowlevel.checkpoint()


def test_the_most_urgent_request_is_granted_first():
    async def main():
        requester = Requester()
        async with anyio.create_task_group() as group:
            for urgency in (5, 1, 3):
                group.start_soon(requester.ask, urgency, urgency)
                await settle()
            for _ in range(3):
                await requester.free_slot()
        assert requester.granted == [1, 3, 5]

    anyio.run(main)


def test_a_resumed_stream_is_granted_first():
    """A resumed stream goes first, because its caller expects the next event.

    Its head crashes while all slots are taken and a new request waits.
    """

    async def main():
        requester = Requester()
        async with anyio.create_task_group() as group:
            group.start_soon(requester.ask, 'new')
            await settle()
            group.start_soon(
                functools.partial(requester.ask, 'resumed', is_resumed=True)
            )
            await settle()
            await requester.free_slot()
            await requester.free_slot()
        assert requester.granted == ['resumed', 'new']

    anyio.run(main)


def test_late_requests_get_spare_slots_and_a_share_of_the_others():
    """New requests are served in time and late ones aren't starved.

    A late request takes no slot that another request could use in time, except
    one within ten or so granted to others, so that a caller that retries after
    a refusal isn't rejected for good.
    """

    async def main():
        now_s = [10.0]
        requester = Requester(lambda: now_s[0])
        async with anyio.create_task_group() as group:
            group.start_soon(
                functools.partial(requester.ask, 'late', has_returned=True)
            )
            await settle()
            await requester.free_slot()
            assert not requester.granted
            requester.free_targets.clear()
            for number in range(11):
                group.start_soon(requester.ask, number)
                await settle()
                await requester.free_slot()
            assert 'late' in requester.granted
            requester.capacity.has_spare = True
            group.start_soon(
                functools.partial(requester.ask, 'spare', has_returned=True)
            )
            await settle()
            await requester.free_slot()
            assert requester.granted[-1] == 'spare'
            group.cancel_scope.cancel()

    anyio.run(main)


def test_a_slot_granted_as_the_wait_ends_is_not_leaked():
    """A leaked slot stays counted and is never used again.

    The wait times out in the same iteration of the event loop in which a slot
    is granted; the request must get the slot.
    """

    async def main():
        requester = Requester()

        async def grant():
            await anyio.sleep(0.02)
            await requester.free_slot()

        task = asyncio.create_task(grant())
        ask = wait_queue.SlotRequest(1, 0.02, 0.02)
        target_or_none = await requester.queue.acquire(
            ask, requester.acquire_slot
        )
        await task
        assert target_or_none is not None or requester.free_targets

    for _ in range(20):
        anyio.run(main)


def test_a_request_with_too_long_a_wait_is_refused_immediately():
    """With 20 slots freed per second the fourth in the queue would be late."""

    async def main():
        requester = Requester(capacity=FullCapacity(freed_per_s=20.0))
        async with anyio.create_task_group() as group:
            for number in range(3):
                group.start_soon(requester.ask, number, 1, 0.3)
            late = wait_queue.MIN_LATE_LIMIT
            for number in range(late):
                group.start_soon(requester.ask, f'late {number}', 1, 0.3)
            await settle()
            assert not requester.refused
            started_s = anyio.current_time()
            await requester.ask('refused', 1, 0.3)
            assert anyio.current_time() - started_s < 0.05
            assert requester.refused == ['refused']
            group.cancel_scope.cancel()

    anyio.run(main)


def test_a_caller_retry_evicts_a_late_first_attempt():
    """A caller retries only once; if refused again, its request is lost."""

    async def main():
        requester = Requester(capacity=FullCapacity(freed_per_s=0.1))
        async with anyio.create_task_group() as group:
            for number in range(1 + wait_queue.MIN_LATE_LIMIT):
                group.start_soon(requester.ask, number, 1, 0.3)
            await settle()
            group.start_soon(
                functools.partial(requester.ask, 'back', has_returned=True)
            )
            await settle()
            assert requester.refused == [wait_queue.MIN_LATE_LIMIT]
            group.cancel_scope.cancel()

    anyio.run(main)


def test_caller_retries_are_distinguished_from_first_attempts():
    """Deadlines of first attempts vary by 10 %; a retry's is 2 s shorter."""
    history = caller_retries.DeadlineHistory()
    rng = random.Random(1)
    key = ('route', 'account')
    for now_s in range(100):
        deadline_ms = int(6000 * rng.uniform(0.9, 1.0))
        assert not history.is_caller_retry(key, deadline_ms, now_s)
        assert history.is_caller_retry(key, deadline_ms - 2000, now_s)
    # Short deadlines alone don't make the requests of an account retries.
    assert not history.is_caller_retry(('route', 'hasty'), 1000, 100)


def test_old_deadlines_are_forgotten():
    history = caller_retries.DeadlineHistory()
    key = ('route', None)
    history.is_caller_retry(key, 9000, 0)
    assert history.is_caller_retry(key, 3000, 1)
    for now_s in range(2, 60):
        is_caller_retry = history.is_caller_retry(key, 3000, now_s)
    assert not is_caller_retry


def test_wait_is_bounded_by_patience_and_time_left():
    """After the wait there is time to retry, or to complete the answer.

    Callers abandon a silent stream after the longest of two seconds, four
    first-event goals and eight gap goals; a caller with little time left is
    refused sooner.
    """
    route = load_simulation.make_route(0.3)
    assert refusals.wait_s(route, 6.0) == 1.5
    assert refusals.wait_s(route, 1.0) == 0.5
    assert refusals.wait_s(route, -1.0) == 0
