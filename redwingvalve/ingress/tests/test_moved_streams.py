"""Streams that go on at the moment at which they are moved."""

import asyncio

import anyio
import pytest

from redwingvalve.ingress.tests import hedged_exchange, wire_exchange

EVENTS = wire_exchange.EVENTS


class LostReach:
    """Calls on_asked when it is asked the first time after the loss."""

    is_lost = False
    on_asked = None

    @property
    def is_cut_off(self):
        if self.is_lost and self.on_asked is not None:
            asyncio.get_running_loop().call_soon(self.on_asked)
            self.on_asked = None
        return self.is_lost

    def answer_overdue(self, sent_s):
        """Record nothing."""

    def record_answer(self, now_s):
        """Record nothing."""


def send_event(stream):
    stream.send(5, 5)


def send_burst(stream):
    stream.send(5, 9)


def send_rest(stream):
    stream.send(5, EVENTS)
    stream.finish()


@pytest.mark.parametrize('is_framed', [True, False])
@pytest.mark.parametrize('arrives', [send_event, send_burst, send_rest])
def test_a_stream_that_goes_on_while_it_is_moved_lacks_no_piece(
    arrives, is_framed
):
    """What was read between the decision and the pause was dropped."""
    exchange = wire_exchange.Exchange()

    async def act(exchange):
        await exchange.wait_for_sends(1)
        stream = wire_exchange.Stream(exchange, 0, is_framed=is_framed)
        stream.start()
        stream.send(1, 4)
        exchange.state.reserver.on_move = lambda: arrives(stream)
        exchange.stall()
        await exchange.wait_for_sends(2)
        exchange.refuse(1)
        if arrives is not send_rest:
            first = 6 if arrives is send_event else 10
            stream.send(first, EVENTS)
            stream.finish()
        await exchange.wait_until_done()

    hedged_exchange.play(exchange, act)
    wire_exchange.assert_ordered(exchange)
    assert exchange.responder.is_done


@pytest.mark.parametrize('is_framed', [True, False])
@pytest.mark.parametrize('arrives', [send_event, send_burst, send_rest])
def test_a_stream_that_goes_on_while_its_node_is_cut_off_lacks_no_piece(
    arrives, is_framed
):
    """The request was given to other nodes, none of which took it."""
    exchange = wire_exchange.Exchange()

    async def act(exchange):
        exchange.state.reach = reach = LostReach()
        await exchange.wait_for_sends(1)
        stream = wire_exchange.Stream(exchange, 0, is_framed=is_framed)
        stream.start()
        stream.send(1, 4)
        reach.on_asked = lambda: arrives(stream)
        reach.is_lost = True
        exchange.stall()
        await anyio.sleep(0.05)
        if arrives is not send_rest:
            first = 6 if arrives is send_event else 10
            stream.send(first, EVENTS)
            stream.finish()
        await exchange.wait_until_done()

    hedged_exchange.play(exchange, act)
    wire_exchange.assert_ordered(exchange)
    assert exchange.responder.is_done
