"""Places of one pool go to whom they serve best, and to nobody twice."""

import random

import anyio
import anyio.lowlevel
import pytest

from redwingvalve.allocation import allocator, messages
from redwingvalve.ingress import load_balancing, reservations, wait_queue

POOL = messages.Pool('engine', 'small', 'zone-1')
NEED = wait_queue.SlotRequest(1, 0.2, 1.0)
NODES = [messages.Sender(f'vm-{number}', 1) for number in range(6)]
GRANTED = messages.Outcome.GRANTED
QUEUED = messages.Outcome.QUEUED
FULL = messages.Outcome.FULL


def make(heads=1, slots=9, now_s=lambda: 1.0):
    targets = tuple(
        load_balancing.Target(f'e{number}', 'h', 1, slots, 'zone-1')
        for number in range(heads)
    )
    return allocator.Allocator(lambda pool: targets, now_s, random.Random(1))


def ask(granter, sender, number, **more):
    """Return the replies to an ask, those that come later too."""
    replies = []
    found = messages.Ask(
        number, POOL, more.pop('may_wait', False), NEED, **more
    )
    granter.ask(sender, found, replies.append)
    return replies


def run(test):
    """Run a coroutine function on a loop."""
    anyio.run(test)


def test_a_new_head_is_not_filled_by_every_node_alone():
    """Nine wait at each of six nodes when a head of nine places opens."""

    async def test():
        granter = make()
        outcomes = [
            ask(granter, sender, number)[-1].outcome
            for sender in NODES
            for number in range(9)
        ]
        assert outcomes.count(GRANTED) == 9
        assert outcomes.count(FULL) == 45

    run(test)


def test_one_node_may_have_all_places():
    async def test():
        granter = make()
        replies = [ask(granter, NODES[0], number)[-1] for number in range(9)]
        assert {reply.outcome for reply in replies} == {GRANTED}

    run(test)


def test_the_least_filled_endpoint_of_all_nodes_is_granted():
    async def test():
        granter = make(heads=2, slots=4)
        for number, sender in enumerate(NODES):
            ask(granter, sender, number)
        holds = granter.pool(POOL).holds
        assert (holds.count('e0'), holds.count('e1')) == (3, 3)

    run(test)


@pytest.mark.parametrize('named', ['avoid', 'slow'])
def test_endpoints_that_were_tried_or_are_slow_come_last(named):
    async def test():
        granter = make(heads=2)
        replies = [
            ask(granter, NODES[0], number, **{named: ('e0',)})[-1]
            for number in range(9)
        ]
        assert {reply.endpoint_id for reply in replies} == {'e1'}

    run(test)


def test_a_repeated_ask_takes_no_second_place():
    """The reply was lost on the way; the same place is granted again."""

    async def test():
        granter = make()
        first = ask(granter, NODES[0], 1)[-1]
        assert ask(granter, NODES[0], 1)[-1] == first
        assert len(granter.pool(POOL).holds) == 1

    run(test)


def test_who_waits_gets_the_place_that_is_released():
    async def test():
        granter = make(slots=1)
        ask(granter, NODES[0], 1)
        replies = ask(granter, NODES[1], 7, may_wait=True)
        await anyio.lowlevel.checkpoint()
        assert [reply.outcome for reply in replies] == [QUEUED]
        granter.release(NODES[0], messages.Release(1))
        await anyio.sleep(0.01)
        assert replies[-1].outcome is GRANTED

    run(test)


def test_who_waits_no_more_gets_no_place():
    """The caller has left; its place would be held by nobody."""

    async def test():
        granter = make(slots=1)
        ask(granter, NODES[0], 1)
        ask(granter, NODES[1], 7, may_wait=True)
        await anyio.lowlevel.checkpoint()
        granter.release(NODES[1], messages.Release(7))
        granter.release(NODES[0], messages.Release(1))
        await anyio.sleep(0.01)
        assert not len(granter.pool(POOL).holds)

    run(test)


def test_an_endpoint_that_refused_is_left_alone_for_a_moment():
    """Requests that nobody holds any more still run there."""

    async def test():
        moment = [1.0]
        granter = make(now_s=lambda: moment[0])
        ask(granter, NODES[0], 1)
        granter.release(
            NODES[0], messages.Release(1, reservations.ReleaseState.REFUSED)
        )
        assert ask(granter, NODES[0], 2)[-1].outcome is FULL
        moment[0] += 0.3
        assert ask(granter, NODES[0], 3)[-1].outcome is GRANTED

    run(test)


def test_one_lost_answer_costs_one_place_for_a_moment():
    """Answers are also lost on the way, at times four in ten of all."""

    async def test():
        moment = [1.0]
        granter = make(now_s=lambda: moment[0])
        ask(granter, NODES[0], 1)
        granter.release(
            NODES[0], messages.Release(1, reservations.ReleaseState.UNCERTAIN)
        )
        assert granter.pool(POOL).free_slots() == 8
        moment[0] += 0.3
        assert granter.pool(POOL).free_slots() == 9

    run(test)


def test_a_node_without_endpoints_says_so():
    """A node that has just started is asked before it knows the fleet."""

    async def test():
        granter = make(heads=0)
        assert ask(granter, NODES[0], 1)[-1].outcome is messages.Outcome.UNABLE

    run(test)


def test_late_requests_leave_places_for_those_that_come():
    """With a hundred places some five are kept."""

    async def test():
        granter = make(heads=2, slots=50)
        for number in range(93):
            ask(granter, NODES[0], number)
        assert granter.pool(POOL).has_spare_slots()
        for number in range(93, 96):
            ask(granter, NODES[0], number)
        assert not granter.pool(POOL).has_spare_slots()

    run(test)
