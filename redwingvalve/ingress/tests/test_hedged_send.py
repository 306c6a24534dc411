"""Two sends and one answer, with endpoints that the test plays itself."""

import functools
import random
import time

import anyio
import pytest

from redwingvalve.ingress import reachability, routes
from redwingvalve.ingress.tests import hedged_exchange


def hedged(act):
    """Return act, called once both sends run."""

    @functools.wraps(act)
    async def call(exchange):
        await exchange.wait_for_sends(2)
        await act(exchange, *exchange.connections)

    return call


def assert_served(exchange, body, released):
    assert exchange.responder.status == 200 and exchange.responder.is_done
    assert exchange.responder.body == body
    assert exchange.released == released
    assert not exchange.broken_at


def test_the_answer_of_the_hedge_counts_if_it_comes_first():
    """A slow tail; the loser is no failure of its endpoint."""

    @hedged
    async def act(exchange, first, second):
        second.answer(b'second')
        await anyio.sleep(0.01)
        assert first.is_abandoned and exchange.responder.is_done

    exchange, won = hedged_exchange.Exchange(), hedged_exchange.counted('won')
    hedged_exchange.play(exchange, act)
    assert_served(
        exchange,
        b'second',
        [
            (hedged_exchange.UNCERTAIN, hedged_exchange.UNKNOWN),
            (hedged_exchange.FREE, hedged_exchange.SUCCESS),
        ],
    )
    assert hedged_exchange.counted('won') == won + 1


def test_the_first_send_counts_if_it_is_answered_first():
    @hedged
    async def act(exchange, first, second):
        first.answer(b'first')
        await anyio.sleep(0.01)
        assert second.is_abandoned and exchange.responder.is_done

    exchange, lost = hedged_exchange.Exchange(), hedged_exchange.counted('lost')
    hedged_exchange.play(exchange, act)
    assert_served(
        exchange,
        b'first',
        [
            (hedged_exchange.FREE, hedged_exchange.SUCCESS),
            (hedged_exchange.UNCERTAIN, hedged_exchange.UNKNOWN),
        ],
    )
    assert hedged_exchange.counted('lost') == lost + 1


def test_of_two_answers_at_once_one_is_sent():
    """Both are read before either task goes on."""

    @hedged
    async def act(exchange, first, second):
        first.answer(b'first')
        second.answer(b'second')

    exchange = hedged_exchange.Exchange()
    hedged_exchange.play(exchange, act)
    assert exchange.responder.body in {b'first', b'second'}
    assert exchange.responder.status == 200


@pytest.mark.parametrize('winner', [0, 1])
def test_a_stream_follows_the_send_with_the_first_event(winner):
    """The cancel is lost: the other send delivers events all the same."""

    @hedged
    async def act(exchange, *sends):
        lead, other = sends[winner], sends[1 - winner]
        lead.answer(hedged_exchange.event(1, b'lead'), is_whole=False)
        other.answer(
            hedged_exchange.event(1, b'other')
            + hedged_exchange.event(2, b'other'),
            is_whole=False,
        )
        await anyio.sleep(0.01)
        assert other.is_abandoned and not lead.is_abandoned
        other.handler.broken('reset')
        lead.handler.body_received(hedged_exchange.event(2, b'lead'))
        lead.handler.completed()

    exchange = hedged_exchange.Exchange(hedged_exchange.STREAM)
    hedged_exchange.play(exchange, act)
    released = [
        (hedged_exchange.UNCERTAIN, hedged_exchange.UNKNOWN),
        (hedged_exchange.UNCERTAIN, hedged_exchange.UNKNOWN),
    ]
    released[winner] = (hedged_exchange.FREE, hedged_exchange.SUCCESS)
    assert_served(
        exchange,
        hedged_exchange.event(1, b'lead') + hedged_exchange.event(2, b'lead'),
        released,
    )


def test_a_request_outlasts_a_pause_of_the_process():
    """Its moment has passed before the wait for it begins."""

    @hedged
    async def act(exchange, first, second):
        first.answer(b'first')

    exchange = hedged_exchange.Exchange()
    exchange.state.connections.pause_s = 2 * hedged_exchange.USUAL_S
    hedged_exchange.play(exchange, act)
    assert exchange.responder.body == b'first'


@pytest.mark.parametrize(
    'kind', [hedged_exchange.STREAM, routes.RouteKind.IDEMPOTENT]
)
def test_a_request_outlasts_a_fault_of_its_hedge(kind):
    async def act(exchange):
        await exchange.wait_for_sends(1)
        await anyio.sleep(3 * hedged_exchange.USUAL_S)
        exchange.connections[0].answer(hedged_exchange.event(1, b'first'))

    exchange = hedged_exchange.Exchange(kind)
    exchange.state.reserver.is_faulty = True
    hedged_exchange.play(exchange, act)
    assert exchange.responder.body == hedged_exchange.event(1, b'first')


def test_a_stream_is_not_hedged_after_its_first_event():
    async def act(exchange):
        await exchange.wait_for_sends(1)
        (first,) = exchange.connections
        first.answer(hedged_exchange.event(1, b'lead'), is_whole=False)
        await anyio.sleep(3 * hedged_exchange.USUAL_S)
        first.handler.completed()

    exchange = hedged_exchange.Exchange(hedged_exchange.STREAM)
    hedged_exchange.play(exchange, act)
    assert len(exchange.given) == 1


def test_a_stream_that_the_hedge_lost_is_resumed_elsewhere():
    """The winner breaks in the middle; a third send goes on after it."""

    @hedged
    async def act(exchange, first, second):
        second.answer(hedged_exchange.event(1, b'second'), is_whole=False)
        second.handler.broken('reset')
        await exchange.wait_for_sends(3)
        exchange.connections[2].answer(
            hedged_exchange.event(1, b'x') + hedged_exchange.event(2, b'third')
        )

    exchange = hedged_exchange.Exchange(hedged_exchange.STREAM, attempts=3)
    hedged_exchange.play(exchange, act)
    body = hedged_exchange.event(1, b'second') + hedged_exchange.event(
        2, b'third'
    )
    assert exchange.responder.body == body and exchange.responder.is_done
    # The broken send is evidence, the one that lost is none.
    assert exchange.broken_at == ['e1']


@pytest.mark.parametrize('failing', [0, 1])
def test_one_send_fails_and_the_other_is_answered(failing):
    @hedged
    async def act(exchange, *sends):
        sends[failing].handler.broken('reset')
        await anyio.sleep(0.01)
        assert not exchange.responder.is_done
        sends[1 - failing].answer(b'whole')

    exchange = hedged_exchange.Exchange()
    hedged_exchange.play(exchange, act)
    assert exchange.responder.body == b'whole'
    released = [
        (hedged_exchange.FREE, hedged_exchange.SUCCESS),
        (hedged_exchange.FREE, hedged_exchange.SUCCESS),
    ]
    released[failing] = (hedged_exchange.UNCERTAIN, hedged_exchange.FAILED)
    assert exchange.released == released
    assert exchange.broken_at == [f'e{failing}']


class LostReach(reachability.AssumedReach):
    """A node whose links turn out to be cut once they are checked."""

    is_cut_off = False

    async def confirm(self):
        self.is_cut_off = True
        return False


@pytest.mark.parametrize('failing', [0, 1])
def test_a_send_that_the_nodes_own_cut_breaks_off_is_no_evidence(failing):
    """The loser's request was blamed without a check of the links."""

    @hedged
    async def act(exchange, *sends):
        sends[failing].handler.broken('reset')
        await anyio.sleep(0.01)
        sends[1 - failing].answer(b'whole')

    exchange = hedged_exchange.Exchange()
    exchange.state.reach = LostReach()
    hedged_exchange.play(exchange, act)
    assert exchange.responder.body == b'whole'
    assert exchange.broken_at == []


@pytest.mark.parametrize('order', [(0, 1), (1, 0)])
@pytest.mark.parametrize('attempts', [2, 3])
def test_both_fail_and_the_request_goes_on_as_after_one_failure(
    attempts, order
):
    """A hedge is one of the route's attempts; one retry follows at most."""

    @hedged
    async def act(exchange, *sends):
        for number in order:
            sends[number].answer(b'failed', status=500)
        if attempts == 3:
            await exchange.wait_for_sends(3)
            exchange.connections[2].answer(b'third')

    exchange = hedged_exchange.Exchange(attempts=attempts)
    hedged_exchange.play(exchange, act)
    assert len(exchange.given) == attempts
    assert exchange.responder.status == (200 if attempts == 3 else 500)
    retries = exchange.state.retry_budget('s').use(time.monotonic()).retries
    assert retries == attempts - 1


def test_a_caller_that_leaves_ends_both_sends():
    @hedged
    async def act(exchange, first, second):
        exchange.responder.disconnect()
        await anyio.sleep(0.01)
        assert first.is_abandoned and second.is_abandoned

    exchange = hedged_exchange.Exchange()
    hedged_exchange.play(exchange, act)
    assert exchange.released[0] == (
        hedged_exchange.FREE,
        hedged_exchange.UNKNOWN,
    )
    assert exchange.released[1][1] is hedged_exchange.UNKNOWN


def test_no_answer_in_time_ends_both_sends():
    @hedged
    async def act(exchange, first, second):
        with anyio.fail_after(hedged_exchange.HANG_S):
            while not exchange.responder.is_done:
                await anyio.sleep(0.01)
        assert first.is_abandoned and second.is_abandoned

    exchange = hedged_exchange.Exchange()
    hedged_exchange.play(exchange, act)
    assert exchange.responder.status == 504


def test_a_request_moves_if_the_hedge_is_overdue_too():
    """As without hedges, the first send is parked for one elsewhere."""

    @hedged
    async def act(exchange, first, second):
        await exchange.wait_for_sends(3)
        assert first.is_paused and second.is_abandoned
        exchange.connections[2].answer(b'third')
        await anyio.sleep(0.01)
        assert first.is_abandoned and exchange.responder.is_done

    exchange = hedged_exchange.Exchange(attempts=3)
    hedged_exchange.play(exchange, act)
    assert exchange.responder.body == b'third'
    assert exchange.released[2] == (
        hedged_exchange.FREE,
        hedged_exchange.SUCCESS,
    )


def test_a_slot_that_arrives_after_the_answer_is_released():
    async def act(exchange):
        await exchange.wait_for_sends(1)
        await anyio.sleep(2 * hedged_exchange.USUAL_S)
        exchange.connections[0].answer(b'first')

    exchange = hedged_exchange.Exchange()
    exchange.state.reserver.delay_s = 2 * hedged_exchange.USUAL_S
    hedged_exchange.play(exchange, act)
    assert exchange.state.reserver.hedges == 1
    assert len(exchange.connections) == 1


class Drawn:
    """An exchange whose endpoints answer, fail or stay silent as drawn."""

    def __init__(self, rng):
        self.rng = rng
        kind = rng.choice([hedged_exchange.STREAM, routes.RouteKind.IDEMPOTENT])
        self.exchange = hedged_exchange.Exchange(kind, rng.choice([2, 3]))

    async def run(self):
        async with anyio.create_task_group() as group:
            group.start_soon(self._play_endpoints, group)
            await self.exchange.run()
            group.cancel_scope.cancel()

    async def _play_endpoints(self, group):
        played = 0
        while True:
            for connection in self.exchange.connections[played:]:
                played += 1
                group.start_soon(self._play, connection)
            await anyio.sleep(0.005)

    async def _play(self, connection):
        act = self.rng.choice(['silent', 'event', 'whole', 'break', 'fail'])
        delays_s = [
            0,
            hedged_exchange.USUAL_S,
            2 * hedged_exchange.USUAL_S,
            hedged_exchange.GOAL_S,
            hedged_exchange.TIMEOUT_S,
        ]
        await anyio.sleep(self.rng.choice(delays_s))
        if act == 'silent' or connection.is_abandoned:
            return
        if act == 'break':
            connection.handler.broken('reset')
        elif act == 'fail':
            connection.answer(b'failed', status=500)
        else:
            connection.answer(
                hedged_exchange.event(1, b'x'), is_whole=act == 'whole'
            )


@pytest.mark.parametrize('seed', range(3))
def test_drawn_answers_leave_no_request_open_and_no_slot_held(seed):
    rng = random.Random(seed)
    all_drawn = []

    async def main():
        with anyio.fail_after(hedged_exchange.HANG_S):
            async with anyio.create_task_group() as group:
                for _ in range(40):
                    all_drawn.append(Drawn(rng))
                    group.start_soon(all_drawn[-1].run)

    anyio.run(main)
    for drawn in all_drawn:
        responder = drawn.exchange.responder
        assert responder.is_done or responder.is_aborted
        assert None not in drawn.exchange.released
