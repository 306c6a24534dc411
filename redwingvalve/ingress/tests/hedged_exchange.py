"""Requests whose endpoints a test plays itself, without a network."""

import math
import time
import types

import anyio
import attrs

from redwingvalve.http1 import client, messages
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
# A busy machine may stop the process for a second or two.
HANG_S = 10.0
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
    is_paused = False
    was_paused = False
    has_answered = False
    handler = None

    @property
    def is_open(self):
        return not self.is_abandoned

    def serves(self, exchange):
        return self.handler is exchange and not self.has_answered

    def pause(self, reason):
        self.is_paused = True
        self.was_paused = True

    def resume(self, reason):
        self.is_paused = False

    def send(self, request, exchange, on_idle, body=b''):
        self.handler = exchange
        return client.Exchange(self, exchange)

    def abandon(self):
        self.is_abandoned = True

    def answer(self, body=b'', *, status=200, is_whole=True):
        """Deliver what arrives, also after the connection was closed."""
        if self.is_paused:
            return
        headers = [(b'x-attempt-id', ATTEMPT), (b'x-server-seal', b's')]
        headers.append((b'content-length', b'9'))
        self.handler.head_received(messages.ResponseHead(status, headers, True))
        self.handler.body_received(body)
        if is_whole:
            self.has_answered = True
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

    def release(self, address, connection):
        """Keep nothing."""

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
                is_out_of_reach=lambda service, model: False,
                check_endpoint=lambda *about: None,
                is_evacuated=lambda target: False,
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
        with anyio.fail_after(HANG_S):
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


def event(number, source):
    return b'id: %d\ndata: %b\n\n' % (number, source)
