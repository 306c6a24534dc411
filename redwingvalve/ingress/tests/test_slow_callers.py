"""Streams of slow callers, whose pieces and ends arrive in one turn."""

import anyio
import pytest

from redwingvalve.http1 import stepped_reads
from redwingvalve.ingress.tests import hedged_exchange, wire_exchange

EVENTS = wire_exchange.EVENTS
LARGE = b'a' * (stepped_reads.PIECE_BYTES // 2)
PAUSES_AT = 3


class SlowResponder(hedged_exchange.Responder):
    """Its write buffer is full after some events, once."""

    def __init__(self):
        super().__init__()
        self.count = 0

    def write(self, piece):
        super().write(piece)
        self.count += 1
        self.is_write_paused |= self.count == PAUSES_AT

    def read_on(self):
        self.is_write_paused = False
        self.on_writable()


def make_exchange():
    exchange = wire_exchange.Exchange()
    exchange.responder = SlowResponder()
    return exchange


async def wait_until_paused(exchange):
    with anyio.fail_after(hedged_exchange.HANG_S):
        while not exchange.responder.is_write_paused:
            await anyio.sleep(0.002)
    # Steps that a pause doesn't hold back come in the next turns.
    await anyio.sleep(0.02)


def send_all(exchange, source, *, is_framed, in_one_read):
    """Deliver a whole stream in one turn, with its end."""
    body = b''.join(
        hedged_exchange.event(number, source) for number in range(1, EVENTS + 1)
    )
    stream = wire_exchange.Stream(exchange, 0, is_framed=is_framed)
    stream.start()
    chunk = b'%x\r\n%b\r\n' % (len(body), body) if is_framed else body
    size = len(chunk) if in_one_read else len(source)
    for start in range(0, len(chunk), size):
        exchange.connections[0].transport.deliver(chunk[start : start + size])
    stream.finish()
    return body


@pytest.mark.parametrize('is_framed', [True, False])
@pytest.mark.parametrize('in_one_read', [True, False])
@pytest.mark.parametrize('source', [b'a', LARGE])
@pytest.mark.parametrize('is_moved', [True, False])
def test_a_stream_that_ends_as_its_caller_is_paused_lacks_no_piece(
    is_moved, source, in_one_read, is_framed
):
    """What was read behind the pause, or the end, reached nobody."""
    exchange = make_exchange()
    bodies = []

    async def act(exchange):
        await exchange.wait_for_sends(1)

        def arrive():
            bodies.append(
                send_all(
                    exchange,
                    source,
                    is_framed=is_framed,
                    in_one_read=in_one_read,
                )
            )

        if is_moved:
            exchange.state.reserver.on_move = arrive
            exchange.stall()
            await exchange.wait_for_sends(2)
            exchange.refuse(1)
        else:
            arrive()
        await wait_until_paused(exchange)
        exchange.responder.read_on()
        await exchange.wait_until_done()

    hedged_exchange.play(exchange, act)
    assert exchange.responder.body == bodies[0]
    assert exchange.responder.is_done


@pytest.mark.parametrize('is_framed', [True, False])
@pytest.mark.parametrize('source', [b'a', LARGE])
def test_a_stream_whose_time_ends_while_its_caller_is_paused_is_not_whole(
    source, is_framed, monkeypatch
):
    """Its end was received, but not what the caller hadn't taken."""
    monkeypatch.setattr(hedged_exchange, 'TIMEOUT_S', 0.2)
    exchange = make_exchange()
    bodies = []

    async def act(exchange):
        await exchange.wait_for_sends(1)
        bodies.append(
            send_all(exchange, source, is_framed=is_framed, in_one_read=False)
        )
        await exchange.wait_until_done()

    hedged_exchange.play(exchange, act)
    assert bodies[0].startswith(exchange.responder.body)
    assert exchange.responder.body != bodies[0]
    assert exchange.responder.is_aborted


@pytest.mark.parametrize('source', [b'a', LARGE])
@pytest.mark.parametrize('is_moved', [True, False])
def test_a_stream_whose_connection_is_lost_while_paused_keeps_its_end(
    is_moved, source
):
    """The end passed by what waited, or reached a send that was parked."""
    exchange = make_exchange()
    body = b''.join(
        hedged_exchange.event(number, source) for number in range(1, EVENTS + 1)
    )

    async def act(exchange):
        await exchange.wait_for_sends(1)
        connection = exchange.connections[0]
        wire_exchange.Stream(exchange, 0, is_framed=False).start()
        connection.data_received(body)
        if is_moved:
            exchange.state.reserver.on_move = lambda: (
                connection.connection_lost(None)
            )
            exchange.stall()
            await exchange.wait_for_sends(2)
            exchange.refuse(1)
        else:
            connection.connection_lost(None)
        await wait_until_paused(exchange)
        exchange.responder.read_on()
        await exchange.wait_until_done()

    hedged_exchange.play(exchange, act)
    assert exchange.responder.body == body
    assert exchange.responder.is_done
