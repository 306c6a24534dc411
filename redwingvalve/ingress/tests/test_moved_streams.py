"""Streams that go on at the moment at which they are moved."""

import asyncio
import time

import anyio
import pytest

from redwingvalve.ingress import (
    hedge_race,
    stream_forwarding,
    timing,
    upstream,
)
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


@pytest.mark.parametrize('is_framed', [True, False])
def test_a_run_that_another_one_has_overtaken_reaches_nobody(is_framed):
    """Its pieces followed those of the other run, which had gone further."""

    async def main():
        exchange = wire_exchange.Exchange()
        forwarder = stream_forwarding.StreamForwarder(
            exchange.state.stall_detector,
            exchange.responder,
            None,
            timing.RequestTiming(),
        )
        runs = [await start_run(exchange, forwarder, is_framed) for _ in 'ab']
        (first, first_run), (second, second_run) = runs
        first.send(1, 3)
        second.send(1, 5)
        assert second_run.ended.result() is upstream.Outcome.GAP
        first.send(4, EVENTS)
        first.finish()
        assert await first_run.ended is upstream.Outcome.COMPLETE
        assert exchange.responder.body == wire_exchange.events(1, EVENTS)

    anyio.run(main)


async def start_run(exchange, forwarder, is_framed):
    connection = await exchange.state.connections.take(None, 0)
    run = upstream.UpstreamStream(
        hedged_exchange.ATTEMPT, lambda statement: None, forwarder
    )
    run.exchange = connection.send(b'', run, lambda idle: None)
    number = len(exchange.connections) - 1
    stream = wire_exchange.Stream(exchange, number, is_framed=is_framed)
    stream.start()
    return stream, run


def test_a_run_with_a_lost_piece_is_not_the_answer():
    """Its end was passed on as that of a whole stream."""

    async def main():
        exchange = wire_exchange.Exchange()
        race = hedge_race.Race(
            stream_forwarding.StreamForwarder(
                exchange.state.stall_detector,
                exchange.responder,
                None,
                timing.RequestTiming(),
            ),
            exchange.state.stall_detector,
        )
        other, _ = await start_run(exchange, hedge_race.Lane(race), True)
        loser, loser_run = await start_run(exchange, race.first, True)
        other.send(1, 1)
        loser.send(1, EVENTS)
        loser.finish()
        assert loser_run.ended.result() is upstream.Outcome.GAP

    anyio.run(main)


def test_a_time_out_beside_the_answer_leaves_its_connection_alone():
    """It closed the connection that another request used by then."""

    async def main():
        exchange = wire_exchange.Exchange()
        connection = await exchange.state.connections.take(None, 0)
        request = upstream.UpstreamRequest(
            hedged_exchange.ATTEMPT, lambda statement: None
        )
        request.exchange = connection.send(b'', request, lambda idle: None)
        until_s = time.monotonic()
        asyncio.get_running_loop().call_soon(exchange.refuse, 0)
        outcome = await upstream.wait_until(request, until_s)
        assert outcome is upstream.Outcome.NOT_RUN
        assert not connection.transport.is_ended

    anyio.run(main)
