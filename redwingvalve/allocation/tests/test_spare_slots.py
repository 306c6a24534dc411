"""Hedges take only slots that no other request needs."""

import anyio
import pytest

from redwingvalve.allocation import messages, rate_limits
from redwingvalve.allocation.tests import test_pool
from redwingvalve.ingress import reservations, wait_queue

HEDGE = wait_queue.SlotRequest(9, 0, 0, is_hedge=True)
NODE = test_pool.NODES[0]
FAILED = reservations.EndpointResult.FAILURE
OTHERS = ('e0', 'e2', 'e3')
FREE = reservations.ReleaseState.FREE


def ask_spare(owner, number=99, **more):
    replies = []
    request = messages.Ask(number, test_pool.POOL, False, HEDGE, **more)
    owner.ask(NODE, request, replies.append)
    return replies[-1]


def run(test):
    anyio.run(test)


def test_a_hedge_is_granted_another_endpoint_at_once():
    async def test():
        owner = test_pool.make_owner(heads=2)
        reply = ask_spare(owner, avoid=('e0',))
        assert reply.outcome is test_pool.GRANTED
        assert reply.endpoint_id == 'e1'

    run(test)


def test_a_hedge_takes_no_slot_while_a_request_waits():
    """The waiting one avoids the free endpoint, and may take it soon."""

    async def test():
        owner = test_pool.make_owner(heads=2, slots=1)
        test_pool.ask(owner, NODE, 1, avoid=('e1',))
        test_pool.ask(owner, NODE, 2, may_wait=True, avoid=('e1',))
        await anyio.sleep(0.01)
        reply = ask_spare(owner)
        assert reply.outcome is test_pool.FULL
        owner.release(NODE, messages.Release(2))
        await anyio.sleep(0.01)
        assert ask_spare(owner).outcome is test_pool.GRANTED

    run(test)


def test_a_hedge_leaves_the_reserve_of_timely_requests():
    """Another request arrives a moment later and needs the last slot."""

    async def test():
        owner = test_pool.make_owner(slots=4)
        for number in range(3):
            test_pool.ask(owner, NODE, number)
        assert ask_spare(owner).outcome is test_pool.FULL

    run(test)


def limit(owner):
    owner.limits.record(rate_limits.LimitStatement('e1', 5.0, 1.0, 1.0))


def slow_down(owner):
    owner.pool(test_pool.POOL).endpoint_slots.mark_slow(['e1'])


def eject(owner):
    owner.tick()
    for number in range(20):
        test_pool.ask(owner, NODE, number, avoid=OTHERS)
        owner.release(NODE, messages.Release(number, FREE, FAILED))


@pytest.mark.parametrize('spoil', [limit, slow_down, eject])
def test_a_hedge_avoids_limited_slow_and_ejected_endpoints(spoil):
    """Such an endpoint would answer later than the first one, or not."""

    async def test():
        owner = test_pool.make_owner(heads=4)
        assert ask_spare(owner, 98, avoid=OTHERS).endpoint_id == 'e1'
        spoil(owner)
        reply = ask_spare(owner, avoid=OTHERS)
        assert reply.outcome is test_pool.FULL

    run(test)


def test_a_hedge_avoids_endpoints_that_rest_at_the_asking_node():
    async def test():
        owner = test_pool.make_owner(heads=2)
        reply = ask_spare(owner, avoid=('e0',), resting=('e1',))
        assert reply.outcome is test_pool.FULL

    run(test)
