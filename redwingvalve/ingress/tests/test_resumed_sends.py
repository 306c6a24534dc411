"""Parked sends that go on, over the connections' own code."""

import time

import anyio
import pytest

from redwingvalve.ingress import answer_ends, routes
from redwingvalve.ingress.tests import hedged_exchange, wire_exchange

EVENTS = wire_exchange.EVENTS


def play(exchange, act):
    hedged_exchange.play(exchange, act)
    wire_exchange.assert_ordered(exchange)


@pytest.mark.parametrize('is_framed', [True, False])
def test_a_hedge_that_was_parked_goes_on(is_framed):
    """Its connection was closed, or it was superseded by itself."""
    exchange = wire_exchange.Exchange(attempts=3)
    exchange.is_trial = False

    async def act(exchange):
        await exchange.wait_for_sends(2)
        hedge = wire_exchange.Stream(exchange, 1, is_framed=is_framed)
        hedge.start()
        hedge.send(1, 4)
        await anyio.sleep(0.02)
        exchange.stall()
        await exchange.wait_for_sends(3)
        exchange.refuse(2)
        await anyio.sleep(0.02)
        for number in range(5, EVENTS + 1):
            hedge.send(number, number)
        hedge.finish()
        await exchange.wait_until_done()

    play(exchange, act)
    assert exchange.responder.is_done


def test_a_plain_hedge_that_was_parked_is_answered():
    """Its connection was closed, and no other endpoint took the request."""
    exchange = wire_exchange.Exchange(
        attempts=3, kind=routes.RouteKind.IDEMPOTENT
    )
    exchange.is_trial = False

    async def act(exchange):
        await exchange.wait_for_sends(2)
        exchange.refuse(0)
        await exchange.wait_for_sends(3)
        exchange.refuse(2)
        await anyio.sleep(0.02)
        exchange.connections[1].transport.deliver(
            wire_exchange.render_success((b'content-length', b'5')) + b'whole'
        )
        await exchange.wait_until_done()

    hedged_exchange.play(exchange, act)
    assert exchange.responder.body == b'whole'


@pytest.mark.parametrize('reads_again', ['parked', 'resumed'])
def test_a_parked_stream_of_a_slow_caller_goes_on(reads_again):
    """Nobody ended the pause of a caller that read on meanwhile."""
    exchange = wire_exchange.Exchange()

    async def act(exchange):
        responder = exchange.responder
        await exchange.wait_for_sends(1)
        stream = wire_exchange.Stream(exchange, 0, is_framed=True)
        stream.start()
        responder.is_write_paused = True
        stream.send(1, 4)
        exchange.stall()
        await exchange.wait_for_sends(2)
        if reads_again == 'resumed':
            exchange.refuse(1)
            await anyio.sleep(0.02)
        responder.is_write_paused = False
        responder.on_writable()
        if reads_again == 'parked':
            exchange.refuse(1)
        stream.send(5, EVENTS)
        stream.finish()
        await exchange.wait_until_done()

    play(exchange, act)
    assert exchange.responder.is_done


@pytest.mark.parametrize('is_framed', [True, False])
def test_a_run_that_ends_before_the_caller_is_not_the_answer(is_framed):
    """It began anew, and its early end was passed on as that of the stream."""
    exchange = wire_exchange.Exchange()

    async def act(exchange):
        await exchange.wait_for_sends(1)
        first = wire_exchange.Stream(exchange, 0, is_framed=True)
        first.start()
        first.send(1, 4)
        exchange.stall()
        await exchange.wait_for_sends(2)
        second = wire_exchange.Stream(exchange, 1, is_framed=is_framed)
        second.start()
        second.send(1, 2)
        second.finish()
        await anyio.sleep(0.02)
        first.send(5, EVENTS)
        first.finish()
        await exchange.wait_until_done()

    play(exchange, act)
    assert exchange.responder.is_done


def test_events_without_numbers_are_not_delivered_twice():
    """No run can go on behind them, and the next one began anew."""
    exchange = wire_exchange.Exchange()
    piece = b'data: x\n\n'

    def send(number):
        transport = exchange.connections[number].transport
        transport.deliver(wire_exchange.render_success() + piece)
        return transport

    async def act(exchange):
        await exchange.wait_for_sends(1)
        send(0)
        exchange.stall()
        await exchange.wait_for_sends(2)
        send(1).end()
        await exchange.wait_until_done()

    hedged_exchange.play(exchange, act)
    assert exchange.responder.body == piece
    assert not exchange.responder.is_done


def test_half_an_answer_that_waited_unread_is_not_whole():
    """Its times were those of the resumption, long after its endpoint's end."""
    exchange = wire_exchange.Exchange(kind=routes.RouteKind.IDEMPOTENT)
    exchange.state.end_checker = StoppedEndpoint()

    async def act(exchange):
        await exchange.wait_for_sends(2)
        transport = exchange.connections[0].transport
        transport.deliver(wire_exchange.render_success() + b'half')
        transport.end()
        exchange.state.end_checker.stopped_s = time.monotonic()
        await anyio.sleep(2 * answer_ends.MIN_STOPPED_S)
        exchange.refuse(1)
        await exchange.wait_until_done()

    hedged_exchange.play(exchange, act)
    assert exchange.responder.body != b'half'


class StoppedEndpoint(answer_ends.AnswerEndChecker):
    """An endpoint that was leaving, and was ended amid its answer."""

    stopped_s = 0

    async def check(self, answer):
        evidence = answer_ends.Evidence(
            answer_ends.Life.NOT_LISTENING,
            is_leaving=True,
            stopped_s=self.stopped_s,
        )
        return answer_ends.judge(answer, evidence)

    async def run(self):
        """Gather nothing."""


class CutOffReplica(answer_ends.AnswerEndChecker):
    """Takes the first ends for cut off, further ones for whole."""

    doubted = 1

    async def check(self, answer):
        self.doubted -= 1
        if self.doubted >= 0:
            return answer_ends.AnswerEnd.UNKNOWN
        return answer_ends.AnswerEnd.OPEN

    async def run(self):
        """Gather nothing."""


@pytest.mark.parametrize('first_ends', [True, False])
def test_nothing_follows_where_two_runs_have_ended(first_ends):
    """A whole stream whose end was in doubt was broken off by the second."""
    exchange = wire_exchange.Exchange()
    exchange.state.end_checker = CutOffReplica()
    exchange.state.end_checker.doubted = int(first_ends)

    async def act(exchange):
        await exchange.wait_for_sends(1)
        first = wire_exchange.Stream(exchange, 0, is_framed=False)
        first.start()
        first.send(1, EVENTS)
        await anyio.sleep(0.02)
        if first_ends:
            first.finish()
        else:
            # The endpoint has fallen silent, and may have more to send.
            exchange.stall()
        await exchange.wait_for_sends(2)
        second = wire_exchange.Stream(exchange, 1, is_framed=False)
        second.start()
        second.finish()
        await anyio.sleep(0.05)
        assert exchange.responder.is_done is first_ends
        if not first_ends:
            first.finish()
        await exchange.wait_until_done()

    play(exchange, act)
    assert exchange.responder.is_done


@pytest.mark.parametrize('repeated', [3, 4])
def test_a_run_that_repeats_what_the_caller_has_ends_no_parked_send(repeated):
    """The last event that the caller had was taken for a new one."""
    exchange = wire_exchange.Exchange()

    async def act(exchange):
        await exchange.wait_for_sends(1)
        first = wire_exchange.Stream(exchange, 0, is_framed=True)
        first.start()
        first.send(1, 4)
        exchange.stall()
        await exchange.wait_for_sends(2)
        second = wire_exchange.Stream(exchange, 1, is_framed=True)
        second.start()
        second.send(1, repeated)
        await anyio.sleep(0.02)
        exchange.connections[1].transport.abort()
        await anyio.sleep(0.02)
        first.send(5, EVENTS)
        first.finish()
        await exchange.wait_until_done()

    play(exchange, act)
    assert exchange.responder.is_done
