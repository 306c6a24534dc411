"""Requests whose caller leaves, or whose time passes, while they wait."""

import anyio
import attrs
import pytest

from redwingvalve.allocation import messages
from redwingvalve.platform.tests import fleet_harness

TIMEOUT_MS = 300
# Longer than the time limit; a wait of this length must not be awaited.
DELAY_S = 0.6
# All work for a caller ends within this time after it has stopped waiting.
END_S = 0.5


@attrs.define
class DelayedNode:
    """Delays a node's slots and connections."""

    slot_s: float = 0.0
    connect_s: float = 0.0

    def install(self, node):
        reserver, connections = node.state.reserver, node.state.connections
        reserve, take = reserver.reserve, connections.take

        async def delayed_reserve(*arguments):
            await anyio.sleep(self.slot_s)
            return await reserve(*arguments)

        async def delayed_take(*arguments):
            await anyio.sleep(self.connect_s)
            return await take(*arguments)

        reserver.reserve, connections.take = delayed_reserve, delayed_take


def short_configuration():
    document = fleet_harness.configuration()
    for route in document['routes']:
        route['timeout_ms'] = TIMEOUT_MS
    return document


async def start(fleet, path):
    caller = fleet.caller()
    model = (b'X-Model', fleet_harness.SMALL_MODEL.encode())
    headers = [model] if path.startswith('/draft') else []
    return caller, await caller.start_request(path, b'prompt', headers=headers)


def runs(fleet):
    return [run for one in fleet.endpoints.values() for run in one.runs]


@pytest.mark.parametrize('path', ['/draft/1', '/card/1', '/quote/1'])
@pytest.mark.parametrize('delay', [{'slot_s': DELAY_S}, {'connect_s': DELAY_S}])
def test_no_request_is_sent_after_its_time_limit(path, delay):
    """A slot or a connection that comes too late isn't used any more."""

    async def test(fleet):
        DelayedNode(**delay).install(fleet.nodes[0])
        _, reader = await start(fleet, path)
        await fleet.wait_until(reader.done.done, TIMEOUT_MS / 1000 + 0.2)
        assert reader.head.status == 503
        await anyio.sleep(DELAY_S)
        assert not runs(fleet)
        assert not fleet.nodes[0].state.loads.by_endpoint

    fleet_harness.run(test, version=short_configuration)


@pytest.mark.parametrize('path', ['/draft/1', '/card/1', '/quote/1'])
@pytest.mark.parametrize('delay', [{'slot_s': DELAY_S}, {'connect_s': DELAY_S}])
def test_no_request_is_sent_after_its_caller_left(path, delay):
    """A caller that disconnects while its request waits ends the wait."""

    async def test(fleet):
        DelayedNode(**delay).install(fleet.nodes[0])
        caller, _ = await start(fleet, path)
        await anyio.sleep(0.1)
        caller.disconnect()
        await fleet.wait_until(
            lambda: not fleet.nodes[0].front.running, END_S - 0.1
        )
        await anyio.sleep(DELAY_S)
        assert not runs(fleet)
        assert not fleet.nodes[0].state.loads.by_endpoint

    fleet_harness.run(test)


def test_a_stream_is_not_resumed_after_its_time_limit():
    """The stream breaks just before its limit; another slot comes after it."""

    async def test(fleet):
        for target in fleet.targets():
            head = fleet.endpoints[target.endpoint_id]
            head.faults.is_stalled = True
        _, reader = await start(fleet, '/draft/1')
        await fleet.wait_until(lambda: bool(runs(fleet)))
        DelayedNode(slot_s=DELAY_S).install(fleet.nodes[0])
        await anyio.sleep(TIMEOUT_MS / 1000 - 0.1)
        for request in _requests_in_flight(fleet.nodes[0]):
            request.head_stalled()
        await fleet.wait_until(reader.done.done, 0.4)
        await anyio.sleep(DELAY_S)
        assert len(runs(fleet)) == 1

    fleet_harness.run(test, version=short_configuration)


def test_a_slot_granted_to_a_request_that_has_ended_is_free_again():
    """The grant and the disconnect cross: the owner must not count it."""

    async def test(fleet):
        node = fleet.nodes[0]
        transport = node.allocation
        deliver = transport.reserver.handle_reply

        def disconnect_at_grant(vm, reply):
            caller.disconnect()
            deliver(vm, reply)

        transport.reserver.handle_reply = disconnect_at_grant
        caller, _ = await start(fleet, '/card/1')
        await fleet.wait_until(lambda: node.front.has_served)
        await fleet.wait_until(lambda: not node.front.running, END_S)
        pool = messages.Pool(fleet_harness.PLAIN_SERVICE, '', '')
        assert not len(transport.allocator.pool(pool).holds)

    fleet_harness.run(test, engines=0)


def _requests_in_flight(node):
    return [
        request
        for requests in node.state.in_flight_requests.values()
        for request in requests
    ]
