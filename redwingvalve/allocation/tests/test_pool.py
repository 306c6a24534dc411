"""Allocator and slot pool: each slot is granted once, to the right request."""

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


def make_owner(heads=1, slots=9, now_s=lambda: 1.0):
    targets = tuple(
        load_balancing.Target(f'e{number}', 'h', 1, slots, 'zone-1')
        for number in range(heads)
    )
    return allocator.Allocator(lambda pool: targets, now_s, random.Random(1))


def ask(owner, sender, number, **more):
    """Return the list of replies to an ask, which later replies extend."""
    replies = []
    request = messages.Ask(
        number, POOL, more.pop('may_wait', False), NEED, **more
    )
    owner.ask(sender, request, replies.append)
    return replies


def run(test):
    """Run a coroutine function on a loop."""
    anyio.run(test)


def test_slots_of_a_new_head_are_granted_once():
    """Six nodes with nine requests each ask when a head of nine slots opens."""

    async def test():
        owner = make_owner()
        outcomes = [
            ask(owner, sender, number)[-1].outcome
            for sender in NODES
            for number in range(9)
        ]
        assert outcomes.count(GRANTED) == 9
        assert outcomes.count(FULL) == 45

    run(test)


def test_one_node_may_hold_all_slots():
    async def test():
        owner = make_owner()
        replies = [ask(owner, NODES[0], number)[-1] for number in range(9)]
        assert {reply.outcome for reply in replies} == {GRANTED}

    run(test)


def test_the_least_loaded_endpoint_is_granted():
    async def test():
        owner = make_owner(heads=2, slots=4)
        for number, sender in enumerate(NODES):
            ask(owner, sender, number)
        holds = owner.pool(POOL).holds
        assert (holds.count('e0'), holds.count('e1')) == (3, 3)

    run(test)


@pytest.mark.parametrize('named', ['avoid', 'slow'])
def test_endpoints_to_avoid_or_slow_ones_are_chosen_last(named):
    async def test():
        owner = make_owner(heads=2)
        replies = [
            ask(owner, NODES[0], number, **{named: ('e0',)})[-1]
            for number in range(9)
        ]
        assert {reply.endpoint_id for reply in replies} == {'e1'}

    run(test)


def test_a_repeated_ask_takes_no_second_slot():
    """The reply was lost; the repeated ask is granted the same slot."""

    async def test():
        owner = make_owner()
        first = ask(owner, NODES[0], 1)[-1]
        assert ask(owner, NODES[0], 1)[-1] == first
        assert len(owner.pool(POOL).holds) == 1

    run(test)


def test_a_released_slot_goes_to_a_waiting_ask():
    async def test():
        owner = make_owner(slots=1)
        ask(owner, NODES[0], 1)
        replies = ask(owner, NODES[1], 7, may_wait=True)
        await anyio.lowlevel.checkpoint()
        assert [reply.outcome for reply in replies] == [QUEUED]
        owner.release(NODES[0], messages.Release(1))
        await anyio.sleep(0.01)
        assert replies[-1].outcome is GRANTED

    run(test)


def test_a_cancelled_ask_gets_no_slot():
    """The caller has left; a slot granted to it would never be released."""

    async def test():
        owner = make_owner(slots=1)
        ask(owner, NODES[0], 1)
        ask(owner, NODES[1], 7, may_wait=True)
        await anyio.lowlevel.checkpoint()
        owner.release(NODES[1], messages.Release(7))
        owner.release(NODES[0], messages.Release(1))
        await anyio.sleep(0.01)
        assert not len(owner.pool(POOL).holds)

    run(test)


def test_an_endpoint_that_refused_is_not_granted_during_its_cooldown():
    """Requests whose holds are gone still run there."""

    async def test():
        clock_s = [1.0]
        owner = make_owner(now_s=lambda: clock_s[0])
        ask(owner, NODES[0], 1)
        owner.release(
            NODES[0], messages.Release(1, reservations.ReleaseState.REFUSED)
        )
        assert ask(owner, NODES[0], 2)[-1].outcome is FULL
        clock_s[0] += 0.3
        assert ask(owner, NODES[0], 3)[-1].outcome is GRANTED

    run(test)


def test_a_lost_answer_withholds_one_slot_for_a_short_time():
    """Answers may be lost on the network, at times four in ten of all."""

    async def test():
        clock_s = [1.0]
        owner = make_owner(now_s=lambda: clock_s[0])
        ask(owner, NODES[0], 1)
        owner.release(
            NODES[0], messages.Release(1, reservations.ReleaseState.UNCERTAIN)
        )
        assert owner.pool(POOL).free_slots() == 8
        clock_s[0] += 0.3
        assert owner.pool(POOL).free_slots() == 9

    run(test)


def test_an_owner_without_endpoints_replies_no_endpoints():
    """A node that has just started is asked before it knows any endpoints."""

    async def test():
        owner = make_owner(heads=0)
        assert (
            ask(owner, NODES[0], 1)[-1].outcome is messages.Outcome.NO_ENDPOINTS
        )

    run(test)


def test_late_requests_leave_slots_for_new_ones():
    """With a hundred slots, about five are reserved."""

    async def test():
        owner = make_owner(heads=2, slots=50)
        for number in range(93):
            ask(owner, NODES[0], number)
        assert owner.pool(POOL).has_spare_slots()
        for number in range(93, 96):
            ask(owner, NODES[0], number)
        assert not owner.pool(POOL).has_spare_slots()

    run(test)


def test_a_resumed_stream_is_granted_a_slot_in_another_domain():
    """A domain fails as a whole, and all its heads stall at the same time."""

    async def test():
        targets = tuple(
            load_balancing.Target(
                f'e{number}', 'h', 1, 9, 'zone-1', domain=f'd{number % 2}'
            )
            for number in range(6)
        )
        owner = allocator.Allocator(
            lambda pool: targets, lambda: 1.0, random.Random(1)
        )
        owner.pool(POOL).tick()
        granted = {
            ask(owner, NODES[0], number, avoid=('e0',))[-1].endpoint_id
            for number in range(27)
        }
        assert granted == {'e1', 'e3', 'e5'}
        # The domain is chosen once the others are full.
        last = ask(owner, NODES[0], 27, avoid=('e0',))[-1].endpoint_id
        assert last in {'e2', 'e4'}

    run(test)
