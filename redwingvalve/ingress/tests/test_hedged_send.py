"""Two sends and one answer, with endpoints that the test plays itself."""

import functools
import math
import time
import types

import anyio
import attrs
import pytest

from redwingvalve.http1 import messages
from redwingvalve.ingress import (
    admission_control,
    admitted_request,
    crash_keys,
    hedge_limit,
    hedge_policy,
    load_balancing,
    reservations,
    retry_budget,
    routes,
    timing,
)
from redwingvalve.ingress import state as state_module
from redwingvalve.ingress.tests import test_routing_and_stalls
from redwingvalve.observability import node_metrics
from redwingvalve.platform import caller_requests

USUAL_S = 0.03
GOAL_S = 0.3
TIMEOUT_S = 1.0
BUDGET = retry_budget.RetryBudgetConfig(ratio=1.0, extra=0, window_s=10)
ATTEMPT = b'a-1'
KEYS = crash_keys.RequestKeys(7, (9,))
STREAM = routes.RouteKind.STREAM
FREE = reservations.ReleaseState.FREE
UNCERTAIN = reservations.ReleaseState.UNCERTAIN
UNKNOWN = reservations.EndpointResult.UNKNOWN
SUCCESS = reservations.EndpointResult.SUCCESS
FAILED = reservations.EndpointResult.FAILURE


class Connection:
    is_abandoned = False
    handler = None

    def send(self, request, exchange, on_idle):
        self.handler = exchange

    def abandon(self):
        self.is_abandoned = True

    def answer(self, body=b'', *, status=200, is_whole=True):
        """Deliver what arrives, also after the connection was closed."""
        headers = [(b'x-attempt-id', ATTEMPT), (b'x-server-seal', b's')]
        headers.append((b'content-length', b'9'))
        self.handler.head_received(messages.ResponseHead(status, headers, True))
        self.handler.body_received(body)
        if is_whole:
            self.handler.completed()


class Connections:
    """A pool of connections, one for each send, by endpoint."""

    pause_s = 0.0

    def __init__(self):
        self.taken = []

    async def take(self, address, max_idle_s):
        self._pause()
        self.taken.append(Connection())
        return self.taken[-1]

    def _pause(self):
        """Block the whole process."""
        time.sleep(self.pause_s)

    def release_callback(self, address):
        return None


class Reservation(reservations.Reservation):
    def __init__(self, name):
        self.target = load_balancing.Target(name, name, 1, 4, 'zone-1')
        self.released = None

    def record_statement(self, statement):
        """Ignore the statement."""

    def release(self, leaving, result=UNKNOWN):
        assert self.released is None
        self.released = (leaving, result)


@attrs.define(eq=False)
class Reserver(reservations.Reserver):
    has_spare: bool = True
    is_faulty: bool = False
    delay_s: float = 0.0
    given: list = attrs.field(factory=list)
    hedges: int = 0

    async def reserve(self, service, model, need, avoid, slow):
        self.hedges += need.is_hedge
        if need.is_hedge:
            await anyio.sleep(self.delay_s)
            if self.is_faulty:
                raise ValueError('no slots')
            if not self.has_spare:
                return reservations.NoSlot(1.0)
        number = len(self.given)
        assert f'e{number}' not in avoid
        self.given.append(Reservation(f'e{number}'))
        return self.given[-1]


class Responder:
    is_started = False
    is_disconnected = False
    is_write_paused = False
    on_disconnect = None

    def __init__(self):
        self.status = 0
        self.body = b''
        self.is_done = False
        self.is_aborted = False

    def send_response(self, status, headers, body):
        assert not self.is_started
        self.start(status, headers)
        self.body = body
        self.finish()

    def start(self, status, headers):
        self.is_started = True
        self.status = status

    def write(self, piece):
        assert not self.is_done
        self.body += piece

    def finish(self):
        assert not self.is_done
        self.is_done = True

    def abort(self):
        self.is_aborted = True

    def disconnect(self):
        self.is_disconnected = True
        self.on_disconnect()


class Exchange:
    """One request, whose endpoints answer as the test says."""

    def __init__(self, kind=routes.RouteKind.IDEMPOTENT, attempts=2):
        self.state = state_module.IngressState(
            types.SimpleNamespace(
                check_endpoint=lambda name, reason: None,
                find_targets=lambda service, model: (),
            ),
            BUDGET,
            started_s=-math.inf,
        )
        self.state.connections = Connections()
        self.state.reserver = Reserver()
        self.state.hedge_shares = hedge_limit.HedgeShares(1.0)
        self.responder = Responder()
        self.route = attrs.evolve(
            test_routing_and_stalls.make_route('/'),
            kind=kind,
            max_attempts=attempts,
            goal_ms=int(GOAL_S * 1000),
            resumable=True,
        )
        self.is_trial = False
        # Endpoints whose runs count as possible crashes.
        self.broken_at = []
        self.observe(hedge_policy.MIN_SAMPLES)

    def observe(self, count, took_s=USUAL_S):
        now_s = time.monotonic()
        for _ in range(count):
            latencies = self.state.hedge_latencies.latencies(('/', 's', ''))
            latencies.observe(took_s, now_s, is_overdue=False)
            self.state.hedge_limit('s').record_request(now_s)
            self.state.retry_budget('s').record_request(now_s)

    @property
    def connections(self):
        return self.state.connections.taken

    @property
    def given(self):
        return self.state.reserver.given

    @property
    def released(self):
        return [one.released for one in self.given]

    def note_broken_run(self, fingerprint, incarnation, *more):
        self.broken_at.append(incarnation[0])

    async def wait_for_sends(self, count):
        with anyio.fail_after(TIMEOUT_S):
            while len(self.connections) < count:
                await anyio.sleep(0.002)
            while self.connections[-1].handler is None:
                await anyio.sleep(0.002)

    async def run(self):
        request = messages.Request(
            b'POST', b'/x', [(b'x-attempt-id', ATTEMPT)], b'', True
        )
        until_s = time.monotonic() + TIMEOUT_S
        admitted = admitted_request.make_admitted_request(
            self.state,
            request,
            caller_requests.read_request(request),
            self.responder,
            admission_control.Admission(
                self.route, 's', '', None, 1, until_s, until_s, 0, 0
            ),
            timing.RequestTiming(),
            KEYS,
            is_trial=self.is_trial,
        )
        await admitted.run()


def counted(outcome):
    return node_metrics.METRICS.value('redwingvalve_hedges', outcome=outcome)


def held_back(reason):
    return node_metrics.METRICS.value(
        'redwingvalve_hedges_held_back', reason=reason
    )


def play(exchange, act):
    """Run the request while act(exchange) plays its endpoints."""

    async def main():
        exchange.state.poison.record_broken_run = exchange.note_broken_run
        async with anyio.create_task_group() as group:
            group.start_soon(exchange.run)
            await act(exchange)

    anyio.run(main)
    assert None not in exchange.released


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

    exchange, won = Exchange(), counted('won')
    play(exchange, act)
    assert_served(exchange, b'second', [(UNCERTAIN, UNKNOWN), (FREE, SUCCESS)])
    assert counted('won') == won + 1


def test_the_first_send_counts_if_it_is_answered_first():
    @hedged
    async def act(exchange, first, second):
        first.answer(b'first')
        await anyio.sleep(0.01)
        assert second.is_abandoned and exchange.responder.is_done

    exchange, lost = Exchange(), counted('lost')
    play(exchange, act)
    assert_served(exchange, b'first', [(FREE, SUCCESS), (UNCERTAIN, UNKNOWN)])
    assert counted('lost') == lost + 1


def test_of_two_answers_at_once_one_is_sent():
    """Both are read before either task goes on."""

    @hedged
    async def act(exchange, first, second):
        first.answer(b'first')
        second.answer(b'second')

    exchange = Exchange()
    play(exchange, act)
    assert exchange.responder.body in {b'first', b'second'}
    assert exchange.responder.status == 200


def event(number, source):
    return b'id: %d\ndata: %b\n\n' % (number, source)


@pytest.mark.parametrize('winner', [0, 1])
def test_a_stream_follows_the_send_with_the_first_event(winner):
    """The cancel is lost: the other send delivers events all the same."""

    @hedged
    async def act(exchange, *sends):
        lead, other = sends[winner], sends[1 - winner]
        lead.answer(event(1, b'lead'), is_whole=False)
        other.answer(event(1, b'other') + event(2, b'other'), is_whole=False)
        await anyio.sleep(0.01)
        assert other.is_abandoned and not lead.is_abandoned
        other.handler.broken('reset')
        lead.handler.body_received(event(2, b'lead'))
        lead.handler.completed()

    exchange = Exchange(STREAM)
    play(exchange, act)
    released = [(UNCERTAIN, UNKNOWN), (UNCERTAIN, UNKNOWN)]
    released[winner] = (FREE, SUCCESS)
    assert_served(exchange, event(1, b'lead') + event(2, b'lead'), released)


def test_a_request_outlasts_a_pause_of_the_process():
    """Its moment has passed before the wait for it begins."""

    @hedged
    async def act(exchange, first, second):
        first.answer(b'first')

    exchange = Exchange()
    exchange.state.connections.pause_s = 2 * USUAL_S
    play(exchange, act)
    assert exchange.responder.body == b'first'


@pytest.mark.parametrize('kind', [STREAM, routes.RouteKind.IDEMPOTENT])
def test_a_request_outlasts_a_fault_of_its_hedge(kind):
    async def act(exchange):
        await exchange.wait_for_sends(1)
        await anyio.sleep(3 * USUAL_S)
        exchange.connections[0].answer(event(1, b'first'))

    exchange = Exchange(kind)
    exchange.state.reserver.is_faulty = True
    play(exchange, act)
    assert exchange.responder.body == event(1, b'first')


def test_a_stream_is_not_hedged_after_its_first_event():
    async def act(exchange):
        await exchange.wait_for_sends(1)
        (first,) = exchange.connections
        first.answer(event(1, b'lead'), is_whole=False)
        await anyio.sleep(3 * USUAL_S)
        first.handler.completed()

    exchange = Exchange(STREAM)
    play(exchange, act)
    assert len(exchange.given) == 1


def test_a_stream_that_the_hedge_lost_is_resumed_elsewhere():
    """The winner breaks in the middle; a third send goes on after it."""

    @hedged
    async def act(exchange, first, second):
        second.answer(event(1, b'second'), is_whole=False)
        second.handler.broken('reset')
        await exchange.wait_for_sends(3)
        exchange.connections[2].answer(event(1, b'x') + event(2, b'third'))

    exchange = Exchange(STREAM, attempts=3)
    play(exchange, act)
    body = event(1, b'second') + event(2, b'third')
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

    exchange = Exchange()
    play(exchange, act)
    assert exchange.responder.body == b'whole'
    released = [(FREE, SUCCESS), (FREE, SUCCESS)]
    released[failing] = (UNCERTAIN, FAILED)
    assert exchange.released == released
    assert exchange.broken_at == [f'e{failing}']


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

    exchange = Exchange(attempts=attempts)
    play(exchange, act)
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

    exchange = Exchange()
    play(exchange, act)
    assert exchange.released[0] == (FREE, UNKNOWN)
    assert exchange.released[1][1] is UNKNOWN


def test_no_answer_in_time_ends_both_sends():
    @hedged
    async def act(exchange, first, second):
        with anyio.fail_after(2 * TIMEOUT_S):
            while not exchange.responder.is_done:
                await anyio.sleep(0.01)
        assert first.is_abandoned and second.is_abandoned

    exchange = Exchange()
    play(exchange, act)
    assert exchange.responder.status == 504


def test_a_request_moves_if_the_hedge_is_overdue_too():
    """As without hedges, it ends the first send for one elsewhere."""

    @hedged
    async def act(exchange, first, second):
        await exchange.wait_for_sends(3)
        assert first.is_abandoned and second.is_abandoned
        exchange.connections[2].answer(b'third')

    exchange = Exchange(attempts=3)
    play(exchange, act)
    assert exchange.responder.body == b'third'
    assert exchange.released[2] == (FREE, SUCCESS)


def test_a_slot_that_arrives_after_the_answer_is_released():
    async def act(exchange):
        await exchange.wait_for_sends(1)
        await anyio.sleep(2 * USUAL_S)
        exchange.connections[0].answer(b'first')

    exchange = Exchange()
    exchange.state.reserver.delay_s = 2 * USUAL_S
    play(exchange, act)
    assert exchange.state.reserver.hedges == 1
    assert len(exchange.connections) == 1


async def answer_late(exchange):
    await exchange.wait_for_sends(1)
    await anyio.sleep(3 * USUAL_S)
    assert len(exchange.connections) == 1
    exchange.connections[0].answer(b'first')


def assert_not_hedged(exchange, reason=''):
    before = held_back(reason)
    play(exchange, answer_late)
    assert exchange.responder.body == b'first'
    assert len(exchange.given) == 1
    if reason:
        assert held_back(reason) == before + 1


def test_a_request_that_must_not_repeat_is_not_hedged():
    assert_not_hedged(Exchange(routes.RouteKind.NON_IDEMPOTENT))


def test_a_request_with_one_attempt_is_not_hedged():
    assert_not_hedged(Exchange(attempts=1))


def test_a_trial_of_a_suspected_request_is_not_hedged():
    exchange = Exchange()
    exchange.is_trial = True
    assert_not_hedged(exchange)


@pytest.mark.parametrize('fingerprint', [KEYS.fingerprint, 8])
def test_a_suspected_request_or_part_is_not_hedged(fingerprint):
    """It would crash two endpoints at once."""
    exchange = Exchange()
    exchange.state.poison.record_broken_run(
        fingerprint, ('other', 1), KEYS.parts
    )
    assert_not_hedged(exchange, 'suspected')


def test_a_request_is_not_hedged_while_others_wait():
    exchange = Exchange()
    exchange.state.reserver.has_spare = False
    assert_not_hedged(exchange, 'no spare slot')


def test_a_restarted_node_hedges_nothing():
    """It knows neither usual durations nor requests."""
    exchange = Exchange()
    exchange.state.hedge_latencies = hedge_policy.HedgePolicy()
    assert_not_hedged(exchange, 'few answers')


def test_an_exhausted_limit_hedges_nothing():
    exchange = Exchange()
    limit, budget = (
        exchange.state.hedge_limit('s'),
        exchange.state.retry_budget('s'),
    )
    for _ in range(hedge_policy.MIN_SAMPLES):
        limit.try_spend(budget, time.monotonic())
    for _ in range(10 * hedge_policy.MIN_SAMPLES):
        budget.record_request(time.monotonic())
    while limit.try_spend(budget, time.monotonic()):
        continue
    assert_not_hedged(exchange, 'limit')


def test_a_slow_fleet_hedges_nothing():
    exchange = Exchange()
    latencies = exchange.state.hedge_latencies.latencies(('/', 's', ''))
    for _ in range(hedge_policy.RECENT_REQUESTS):
        latencies.note_overdue()
    assert_not_hedged(exchange, 'slow fleet')
