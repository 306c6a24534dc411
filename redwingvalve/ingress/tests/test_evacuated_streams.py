"""Streams that go on while the slots they would move to are evacuated."""

import anyio
import pytest

from redwingvalve.ingress import reservations
from redwingvalve.ingress.tests import (
    hedged_exchange,
    test_moved_streams,
    wire_exchange,
)

EVENTS = wire_exchange.EVENTS


class Reserver(wire_exchange.Reserver):
    """Has no slot behind the one whose endpoint is evacuated."""

    has_more = True

    async def reserve(self, *about):
        if len(self.given) > 1 and not self.has_more:
            return reservations.NoSlot(1.0)
        return await super().reserve(*about)


@pytest.mark.parametrize('is_framed', [True, False])
@pytest.mark.parametrize('has_more', [True, False])
@pytest.mark.parametrize(
    'arrives',
    [
        test_moved_streams.send_event,
        test_moved_streams.send_burst,
        test_moved_streams.send_rest,
    ],
)
def test_a_stream_that_goes_on_as_its_next_slot_is_evacuated_lacks_no_piece(
    arrives, has_more, is_framed
):
    """Nothing was sent at that slot, and what was read meanwhile was lost."""
    exchange = wire_exchange.Exchange()
    exchange.state.reserver = Reserver()
    exchange.state.reserver.has_more = has_more
    exchange.state.targets.is_evacuated = lambda target: (
        target.endpoint_id == 'e1'
    )

    async def act(exchange):
        await exchange.wait_for_sends(1)
        stream = wire_exchange.Stream(exchange, 0, is_framed=is_framed)
        stream.start()
        stream.send(1, 4)
        has_arrived = anyio.Event()

        def go_on():
            arrives(stream)
            has_arrived.set()

        exchange.state.reserver.on_move = go_on
        exchange.stall()
        await has_arrived.wait()
        if has_more:
            await exchange.wait_for_sends(3)
            exchange.refuse(2)
        if arrives is not test_moved_streams.send_rest:
            stream.send(
                6 if arrives is test_moved_streams.send_event else 10, EVENTS
            )
            stream.finish()
        await exchange.wait_until_done()

    hedged_exchange.play(exchange, act)
    wire_exchange.assert_ordered(exchange)
    assert exchange.responder.is_done
    assert not exchange.connections[1].transport.sent
