"""Streams of other nodes, whose bytes arrive as a send is ended."""

import asyncio

import pytest

from redwingvalve.ingress import peer_routes, upstream
from redwingvalve.ingress.tests import (
    hedged_exchange,
    test_moved_streams,
    wire_exchange,
)

EVENTS = wire_exchange.EVENTS
TIMEOUT_S = 0.2
ARRIVALS = [
    test_moved_streams.send_event,
    test_moved_streams.send_burst,
    test_moved_streams.send_rest,
]


class Peers(peer_routes.NoPeers):
    """One node to forward to."""

    def candidates(self, target_pool):
        yield peer_routes.PeerTarget('n1', ('127.0.0.1', 1))


def make_exchange(*, is_lost=True):
    exchange = wire_exchange.Exchange()
    exchange.state.peers = Peers()
    exchange.state.reach = test_moved_streams.LostReach()
    exchange.state.reach.is_lost = is_lost
    return exchange


def call_after_decision(monkeypatch, outcome, action):
    """Call action in the turn after the one that ends a send so."""
    finish = upstream.UpstreamRequest.finish

    def finish_and_call(request, decided):
        finish(request, decided)
        if decided is outcome:
            asyncio.get_running_loop().call_soon(action)

    monkeypatch.setattr(upstream.UpstreamRequest, 'finish', finish_and_call)


@pytest.mark.parametrize('is_framed', [True, False])
@pytest.mark.parametrize('arrives', ARRIVALS)
@pytest.mark.parametrize(
    'outcome', [upstream.Outcome.CALLER_GONE, upstream.Outcome.TIMEOUT]
)
def test_what_arrives_as_a_forwarded_stream_is_ended_reaches_nobody(
    outcome, arrives, is_framed, monkeypatch
):
    """The connection was closed turns later, when others could use it."""
    monkeypatch.setattr(hedged_exchange, 'TIMEOUT_S', TIMEOUT_S)
    exchange = make_exchange()
    was_open = []

    async def act(exchange):
        await exchange.wait_for_sends(1)
        stream = wire_exchange.Stream(exchange, 0, is_framed=is_framed)
        stream.start()
        stream.send(1, 4)

        def go_on():
            was_open.append(exchange.connections[0].is_open)
            arrives(stream)

        call_after_decision(monkeypatch, outcome, go_on)
        if outcome is upstream.Outcome.CALLER_GONE:
            exchange.responder.disconnect()

    hedged_exchange.play(exchange, act)
    assert was_open == [False]
    assert exchange.responder.body == wire_exchange.events(1, 4)
    assert not exchange.responder.is_done
    assert not exchange.state.connections.released


def decline(exchange):
    head = wire_exchange.render_head(
        peer_routes.DECLINED, (b'content-length', b'0')
    )
    exchange.connections[1].transport.deliver(head)


def refuse(exchange):
    exchange.refuse(1)


def break_off(exchange):
    wire_exchange.Stream(exchange, 1, is_framed=True).start()
    exchange.connections[1].transport.end()


def take_over(exchange):
    stream = wire_exchange.Stream(exchange, 1, is_framed=True)
    stream.start()
    stream.send(5, EVENTS)
    stream.finish()


@pytest.mark.parametrize('is_framed', [True, False])
@pytest.mark.parametrize('arrives', ARRIVALS)
@pytest.mark.parametrize('answer', [decline, refuse, break_off, take_over])
def test_a_stream_that_goes_on_as_another_node_answers_lacks_no_piece(
    answer, arrives, is_framed
):
    """What was read of the parked run was dropped, or followed the other's."""
    exchange = make_exchange(is_lost=False)

    async def act(exchange):
        await exchange.wait_for_sends(1)
        stream = wire_exchange.Stream(exchange, 0, is_framed=is_framed)
        stream.start()
        stream.send(1, 4)
        exchange.state.reach.is_lost = True
        exchange.stall()
        await exchange.wait_for_sends(2)
        arrives(stream)
        answer(exchange)
        if arrives is not test_moved_streams.send_rest:
            stream.send(
                6 if arrives is test_moved_streams.send_event else 10, EVENTS
            )
            stream.finish()
        await exchange.wait_until_done()

    hedged_exchange.play(exchange, act)
    wire_exchange.assert_ordered(exchange)
    assert exchange.responder.is_done
