"""Endpoints that asked one node for rest, in virtual time."""

import anyio
import attrs
import looptime
import pytest

from redwingvalve.allocation import endpoint_rests, messages
from redwingvalve.ingress import refusals, reservations, wait_queue
from redwingvalve.ingress.tests import load_simulation, simulated_node
from redwingvalve.platform import endpoint_statements

NEED = wait_queue.SlotRequest(1, 0.3, 2.0)
REST_S = 3.0
REFUSED = reservations.ReleaseState.REFUSED
FREE = reservations.ReleaseState.FREE


class Fleet:
    """Nodes that ask each other for the slots of a few heads."""

    def __init__(self, heads, slots=1, nodes=3):
        deployment = load_simulation.Deployment(
            nodes=nodes, heads=heads, slots=slots
        )
        simulation = load_simulation.Simulation(deployment, [], 1)
        simulation.nodes = [
            simulated_node.Node(f'vm-{number}', simulation)
            for number in range(nodes)
        ]
        self.nodes = simulation.nodes

    async def reserve(self, node=0, need=NEED, avoid=()):
        return await self.nodes[node].reserver.reserve(
            's', 'model', need, avoid, ()
        )

    async def turn_away(self, node=0, avoid=()):
        """Let an endpoint turn a request away and ask for rest."""
        found = await self.reserve(node, avoid=avoid)
        statement = endpoint_statements.Statement(rest_s=REST_S)
        found.record_statement(statement)
        found.release(REFUSED)
        return found.target.endpoint_id


def run(test):
    anyio.run(test, backend_options={'loop_factory': looptime.new_event_loop})


def endpoint_of(found):
    return found.target.endpoint_id


def test_a_rest_holds_for_the_node_that_was_asked_for_it():
    async def test():
        fleet = Fleet(heads=2)
        resting = await fleet.turn_away()
        await anyio.sleep(0.5)
        own = await fleet.reserve()
        other = await fleet.reserve(node=1)
        assert endpoint_of(own) != resting == endpoint_of(other)

    run(test)


def test_an_endpoint_is_used_again_after_its_rest():
    async def test():
        fleet = Fleet(heads=1)
        await fleet.turn_away()
        await anyio.sleep(REST_S)
        assert isinstance(await fleet.reserve(), reservations.Reservation)

    run(test)


def test_a_slot_granted_while_its_endpoint_asks_for_rest_is_given_back():
    """The request was waiting when the endpoint turned another one away."""

    async def test():
        fleet = Fleet(heads=2)
        first = await fleet.reserve()
        second = await fleet.reserve()
        results = []

        async def wait():
            results.append(await fleet.reserve())

        async with anyio.create_task_group() as group:
            group.start_soon(wait)
            await anyio.sleep(0.1)
            rest = endpoint_statements.Statement(rest_s=REST_S)
            first.record_statement(rest)
            first.release(FREE)
            await anyio.sleep(0.1)
            assert not results
            second.release(FREE)
        assert endpoint_of(results[0]) == endpoint_of(second)

    run(test)


def test_a_caller_learns_when_the_first_endpoint_has_rested():
    """Its retry must not come too early, whatever the jitter."""

    async def test():
        fleet = Fleet(heads=2)
        await fleet.turn_away()
        await anyio.sleep(1.0)
        await fleet.turn_away()
        asked_s = anyio.current_time()
        found = await fleet.reserve()
        assert isinstance(found, reservations.NoSlot)
        assert anyio.current_time() == asked_s
        earliest_s = found.retry_after_s * (1 - refusals.RETRY_AFTER_JITTER)
        assert earliest_s == pytest.approx(REST_S - 1.0, abs=0.01)

    run(test)


@pytest.mark.parametrize(('rested_s', 'is_served'), [(0.5, False), (2.0, True)])
def test_a_resumed_request_waits_for_rests_that_end_in_time(
    rested_s, is_served
):
    """A stream that has begun can't be refused any more, only broken off."""

    async def test():
        fleet = Fleet(heads=2)
        resting = await fleet.turn_away()
        (tried,) = {'head-0', 'head-1'} - {resting}
        await anyio.sleep(rested_s)
        resumed = attrs.evolve(NEED, is_resumed=True)
        found = await fleet.reserve(need=resumed, avoid=[tried])
        assert isinstance(found, reservations.Reservation) is is_served

    run(test)


def test_no_resting_endpoint_is_used_though_an_ask_cannot_name_them_all():
    async def test():
        fleet = Fleet(heads=messages.MAX_RESTING_ENDPOINTS + 12)
        resting = set()
        for _ in range(messages.MAX_RESTING_ENDPOINTS + 8):
            resting.add(await fleet.turn_away())
        await anyio.sleep(0.3)
        for _ in range(30):
            found = await fleet.reserve()
            if isinstance(found, reservations.Reservation):
                assert endpoint_of(found) not in resting

    run(test)


def test_a_shorter_rest_does_not_end_a_longer_one():
    rests = endpoint_rests.EndpointRests(lambda: 10.0)
    rests.start('e', 3.0)
    rests.start('e', 0.5)
    assert rests.left_s('e') == 3.0
    assert rests.resting() == ['e']
