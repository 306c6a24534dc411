"""Who gets a place, who waits and who is refused, without a network."""

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


class FewPlaces(wait_queue.SlotCapacity):
    """Places that are all taken; as many come free a second as told."""

    def __init__(self, freed_per_s=100.0, *, is_spare=False):
        self.is_spare = is_spare
        self._freed_per_s = freed_per_s

    def freed_per_s(self):
        return self._freed_per_s

    def slots(self):
        return 0

    def has_spare_slots(self):
        return self.is_spare


class Taker:
    """Takes places for requests, and notes in which order they got one."""

    def __init__(self, clock=None, places=None):
        self.places = places or FewPlaces()
        self.room = wait_queue.WaitQueue(clock or (lambda: 0.0), self.places)
        self.free = []
        self.served = []
        self.refused = []

    def select(self):
        return self.free.pop() if self.free else None

    async def ask(self, name, urgency=1, on_time_s=1.0, **more):
        ask = wait_queue.SlotRequest(urgency, on_time_s, 1.0, **more)
        got = await self.room.acquire(ask, self.select)
        (self.refused if got is None else self.served).append(name)

    async def free_one(self):
        self.free.append(target('a'))
        self.room.dispatch()
        await settle()


async def settle():
    for _ in range(3):
        await anyio.lowlevel.checkpoint()


def test_the_most_urgent_waits_least():
    async def main():
        taker = Taker()
        async with anyio.create_task_group() as group:
            for urgency in (5, 1, 3):
                group.start_soon(taker.ask, urgency, urgency)
                await settle()
            for _ in range(3):
                await taker.free_one()
        assert taker.served == [1, 3, 5]

    anyio.run(main)


def test_a_stream_that_lost_its_endpoint_goes_first():
    """A caller that reads already waits for the next event, a new one can wait.

    The stream's head dies while all places are taken and a new request waits.
    """

    async def main():
        taker = Taker()
        async with anyio.create_task_group() as group:
            group.start_soon(taker.ask, 'new')
            await settle()
            group.start_soon(
                functools.partial(taker.ask, 'resumed', is_resumed=True)
            )
            await settle()
            await taker.free_one()
            await taker.free_one()
        assert taker.served == ['resumed', 'new']

    anyio.run(main)


def test_late_requests_take_spare_places_and_a_share_of_the_others():
    """New callers are served in time while late ones wait, and yet these go on.

    A late request takes no place that another could use in time, but one after
    every ten that others got, so that a caller that was told to come back
    isn't turned away for good.
    """

    async def main():
        now_s = [10.0]
        taker = Taker(lambda: now_s[0])
        async with anyio.create_task_group() as group:
            group.start_soon(
                functools.partial(taker.ask, 'late', has_returned=True)
            )
            await settle()
            await taker.free_one()
            assert not taker.served
            taker.free.clear()
            for number in range(11):
                group.start_soon(taker.ask, number)
                await settle()
                await taker.free_one()
            assert 'late' in taker.served
            taker.places.is_spare = True
            group.start_soon(
                functools.partial(taker.ask, 'spare', has_returned=True)
            )
            await settle()
            await taker.free_one()
            assert taker.served[-1] == 'spare'
            group.cancel_scope.cancel()

    anyio.run(main)


def test_a_place_that_is_granted_as_the_wait_ends_is_not_lost():
    """Places that leak stay counted and are never used again.

    The wait's time is over in the same turn of the loop in which a place is
    granted; the request must get it.
    """

    async def main():
        taker = Taker()

        async def grant():
            await anyio.sleep(0.02)
            await taker.free_one()

        task = asyncio.create_task(grant())
        ask = wait_queue.SlotRequest(1, 0.02, 0.02)
        got = await taker.room.acquire(ask, taker.select)
        await task
        assert got is not None or taker.free

    for _ in range(20):
        anyio.run(main)


def test_who_would_wait_too_long_is_refused_at_once():
    """Twenty places come free a second; the fourth in line would be late."""

    async def main():
        taker = Taker(places=FewPlaces(freed_per_s=20.0))
        async with anyio.create_task_group() as group:
            for number in range(3):
                group.start_soon(taker.ask, number, 1, 0.3)
            late = wait_queue.MIN_LATE_LIMIT
            for number in range(late):
                group.start_soon(taker.ask, f'late {number}', 1, 0.3)
            await settle()
            assert not taker.refused
            started_s = anyio.current_time()
            await taker.ask('refused', 1, 0.3)
            assert anyio.current_time() - started_s < 0.05
            assert taker.refused == ['refused']
            group.cancel_scope.cancel()

    anyio.run(main)


def test_who_comes_back_takes_the_room_of_one_that_still_can():
    """A caller comes back once; refused again, it is lost."""

    async def main():
        taker = Taker(places=FewPlaces(freed_per_s=0.1))
        async with anyio.create_task_group() as group:
            for number in range(1 + wait_queue.MIN_LATE_LIMIT):
                group.start_soon(taker.ask, number, 1, 0.3)
            await settle()
            group.start_soon(
                functools.partial(taker.ask, 'back', has_returned=True)
            )
            await settle()
            assert taker.refused == [wait_queue.MIN_LATE_LIMIT]
            group.cancel_scope.cancel()

    anyio.run(main)


def test_who_comes_back_is_told_from_first_attempts():
    """First attempts differ by a tenth; one that waited two seconds shows."""
    deadlines = caller_retries.DeadlineHistory()
    rng = random.Random(1)
    key = ('route', 'account')
    for now_s in range(100):
        first_ms = int(6000 * rng.uniform(0.9, 1.0))
        assert not deadlines.is_caller_retry(key, first_ms, now_s)
        assert deadlines.is_caller_retry(key, first_ms - 2000, now_s)
    # An account that never waits for long is no returner for it.
    assert not deadlines.is_caller_retry(('route', 'hasty'), 1000, 100)


def test_habits_that_have_changed_are_forgotten():
    deadlines = caller_retries.DeadlineHistory()
    key = ('route', None)
    deadlines.is_caller_retry(key, 9000, 0)
    assert deadlines.is_caller_retry(key, 3000, 1)
    for now_s in range(2, 60):
        is_caller_retry = deadlines.is_caller_retry(key, 3000, now_s)
    assert not is_caller_retry


def test_nobody_waits_for_most_of_the_time_that_it_has():
    """Who is refused at last can still come back, and who is served is whole.

    Callers leave a silent stream after two seconds, four goals or eight
    pauses; one that has little time left is told sooner.
    """
    route = load_simulation.make_route(0.3)
    assert refusals.wait_s(route, 6.0) == 1.5
    assert refusals.wait_s(route, 1.0) == 0.5
    assert refusals.wait_s(route, -1.0) == 0
