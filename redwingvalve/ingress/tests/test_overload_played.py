"""Seconds of overload at one node, and what callers get."""

import asyncio
import random

import anyio
import attrs
import pytest

from redwingvalve.ingress import placing, refusals, waiting

PLACES = 9
SERVICE_S = 0.2
CAPACITY_PER_S = PLACES / SERVICE_S
OVERLOAD = 3.0
PLAYED_S = 3.0
GOAL_S = 0.3
# An answer begins so long after its request has a place.
BEGIN_S = 0.15
ON_TIME_S = GOAL_S * refusals.ON_TIME_WAIT_SHARE
PLACE = placing.Target('head', 'h', 1, PLACES, 'dc')


@attrs.define
class Got:
    """What became of the requests."""

    on_time: int = 0
    late: int = 0
    refused_s: list = attrs.field(factory=list)


@attrs.define(eq=False)
class Endpoint:
    """Places that requests hold for as long as they run."""

    room: waiting.WaitingRoom
    got: Got
    free: int = PLACES

    def select(self):
        if not self.free:
            return None
        self.free -= 1
        return PLACE

    async def ask(self, urgency=1):
        began_s = anyio.current_time()
        place = await self.room.take(urgency, self.select, 0.9, ON_TIME_S)
        waited_s = anyio.current_time() - began_s
        if place is None:
            self.got.refused_s.append(waited_s)
            return
        if waited_s + BEGIN_S <= GOAL_S:
            self.got.on_time += 1
        else:
            self.got.late += 1
        await anyio.sleep(SERVICE_S)
        self.free += 1
        self.room.poke()


def play(overload):
    """Return what callers got while more came than could be served."""

    async def main():
        got = Got()
        room = waiting.WaitingRoom(asyncio.get_running_loop().time)
        endpoint = Endpoint(room, got)
        chance = random.Random(1)
        until_s = anyio.current_time() + PLAYED_S
        async with anyio.create_task_group() as group:
            while anyio.current_time() < until_s:
                group.start_soon(endpoint.ask)
                rate_per_s = CAPACITY_PER_S * overload
                await anyio.sleep(chance.expovariate(rate_per_s))
        return got

    return anyio.run(main)


def test_in_a_long_overload_most_that_are_served_are_on_time():
    """Callers of a wave that lasts get answers in time, or know at once.

    Three times as many requests come as the places can serve, for three
    seconds. Served by age, each waits as long as the queue is: of 175 answers
    18 began in time. With those first that can still make it, 142 of 171 did.
    """
    got = play(OVERLOAD)
    served = got.on_time + got.late
    assert served > 0.8 * CAPACITY_PER_S * PLAYED_S
    assert got.on_time > 0.7 * served


def test_without_overload_nobody_is_refused_or_late():
    got = play(0.6)
    assert not got.refused_s
    assert got.late <= 0.05 * got.on_time


@pytest.mark.parametrize(('overload', 'least_s'), [(1.0, 0.4), (4.0, 1.0)])
def test_refused_callers_are_told_to_come_back_when_it_may_help(
    overload, least_s
):
    """The more are refused for each that is served, the later."""
    now_s = [10.0]
    room = waiting.WaitingRoom(lambda: now_s[0])

    async def main():
        async with anyio.create_task_group() as group:
            for _ in range(20):
                await room.take(1, lambda: PLACE, 0)
            for _ in range(int(20 * (overload - 1))):
                group.start_soon(room.take, 1, lambda: None, 0)

    anyio.run(main)
    found_s = room.retry_after_s()
    assert least_s <= found_s <= waiting.RETRY_AFTER_MAX_S
    now_s[0] += waiting.RATE_WINDOW_S + 1
    assert room.retry_after_s() == waiting.RETRY_AFTER_MIN_S


def test_a_late_request_gives_way_to_one_that_can_be_on_time():
    """The newcomer is served in time; the late one is told to come back."""
    now_s = [0.0]
    room = waiting.WaitingRoom(lambda: now_s[0])
    ended = []

    async def ask(name, urgency):
        place = await room.take(urgency, lambda: None, 0.3, ON_TIME_S)
        ended.append((name, place))

    async def main():
        async with anyio.create_task_group() as group:
            for number in range(waiting.MIN_WAITING):
                group.start_soon(ask, number, 1)
            await anyio.sleep(0.01)
            now_s[0] = ON_TIME_S + 0.1
            group.start_soon(ask, 'new', 1)
            await anyio.sleep(0.01)
            # The newest of those that are late.
            assert ended == [(waiting.MIN_WAITING - 1, None)]
            group.start_soon(ask, 'idle', 5)
            await anyio.sleep(0.01)
            assert ended[1:] == [('idle', None)]

    anyio.run(main)
