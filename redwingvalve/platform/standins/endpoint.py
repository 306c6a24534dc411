"""In-process fake of an endpoint of the users' platform.

It executes the orders of the platform's protocol, sends reports and answers
requests: models with a stream of numbered events, plain services with a single
body. Faults: it can stop responding, crash, stall like a head that lost a
member, send a response twice, abort a stream, or execute an order late.
"""

import asyncio
import json
import time
import typing

import attrs

from redwingvalve.http1 import messages, request_parser, server
from redwingvalve.platform.standins import (
    endpoint_answers,
    endpoint_endless,
    endpoint_faults,
)
from redwingvalve.platform.standins import store as fake_store
from redwingvalve.standins import ports

_LIMITS = request_parser.ServerLimits(65_536, 4_194_304, 10, 60)
_CALLS = (b'/redwingvalve/report', b'/redwingvalve/order')
Document = dict[str, typing.Any]
# Durations from the platform's specification, shortened for tests.
JOIN_DURATION_S = 0.15
OPEN_DURATION_S = 0.03
EVENT_INTERVAL_S = endpoint_faults.EVENT_INTERVAL_S
# Of delayed answers; longer than the latency goal of routes in tests.
ANSWER_DELAY_S = 0.5


@attrs.frozen
class Run:
    """A request that the endpoint executed."""

    attempt_id: bytes
    target: bytes
    headers: messages.Headers
    last_event: int | None
    # By the monotonic clock.
    began_s: float = 0


@attrs.define
class Arrivals:
    """Requests that arrived, whether they were rejected or not."""

    # By the monotonic clock.
    times_s: list[float] = attrs.field(factory=list)
    attempt_ids: list[bytes] = attrs.field(factory=list)
    # Answers in progress.
    running: int = 0


class FakeEndpoint(server.Application):
    """An endpoint with its entry in the store."""

    def __init__(
        self,
        store: fake_store.FakeStore,
        endpoint_id: str,
        service: str,
        domain: str = '',
        data_centre: str = 'zone-1',
    ) -> None:
        """Create an endpoint that is not listening yet."""
        self.endpoint_id = endpoint_id
        self.faults = endpoint_faults.EndpointFaults()
        self.runs: list[Run] = []
        self.arrivals = Arrivals()
        # Those that were rejected.
        self.rejections_s: list[float] = []
        self.orders: list[Document] = []
        self.cancelled_attempts: list[bytes] = []
        self.crashed_s: float | None = None
        self.events_per_response = 6
        self.state = 'ready'
        self.group: Document | None = None
        self.members: list[str] = []
        self.staged: list[str] = []
        self.address = ''
        self._store = store
        self._service = service
        self._domain = domain
        self._data_centre = data_centre
        self._sequence = 0
        self._epoch = 0
        self._born = 1000
        self._server: asyncio.Server | None = None
        # When each connection was opened.
        self._connections: dict[server.ServerConnection, float] = {}

    async def start(self, *, is_return: bool = False) -> None:
        """Listen on a free port and write the entry.

        is_return: as a new process, after a crash.
        """
        if is_return:
            self.crashed_s = None
            self._forget_state()
        loop = asyncio.get_running_loop()
        # Reserved: others may still connect to it after a crash, and must not
        # reach an endpoint of another test process.
        port = ports.free_ports(1)[0]
        self._server = await loop.create_server(
            self._make_connection, ports.HOST, port
        )
        self.address = f'{ports.HOST}:{port}'
        self.write_entry()

    def stop_listening(self) -> None:
        """Accept no new connections and close idle ones."""
        if self._server is not None:
            self._server.close()
        for connection in self._connections:
            connection.close_if_idle()

    def crash(self) -> None:
        """Abort all connections and stop listening; the entry lapses."""
        if self._server is not None:
            self._server.close()
        spared_since_s = time.monotonic() - self.faults.crashes.spares_newer_s
        for connection, opened_s in self._connections.items():
            if opened_s <= spared_since_s:
                connection.abort()
        self.crashed_s = self.crashed_s or time.monotonic()
        self.faults.crashes.crashes_s.append(time.monotonic())
        loop = asyncio.get_running_loop()
        return_delay_s = self.faults.crashes.return_delay_s
        if return_delay_s is not None:
            loop.call_later(
                return_delay_s,
                lambda: loop.create_task(self.start(is_return=True)),
            )
        loop.call_later(
            self.faults.entry_lapse_s,
            self._store.remove,
            'servers',
            self.endpoint_id,
        )

    def crash_and_restart(self) -> None:
        """Restart under the same id without any earlier state."""
        for connection in self._connections:
            connection.abort()
        self._forget_state()
        self.write_entry()

    def drain(self) -> None:
        """Announce in the entry that the endpoint is going to leave."""
        self.state = 'draining'
        self.write_entry()

    def write_entry(self) -> None:
        """Update the entry in the store, unless the entry was removed."""
        entries = self._store.objects.get('servers', {})
        was_removed = self._sequence and self.endpoint_id not in entries
        is_silent = self.crashed_s or self.faults.is_cut_off_from_store
        if was_removed or is_silent:
            return
        self._store.put('servers', self.endpoint_id, self._entry())

    def limits(self) -> request_parser.ServerLimits:
        """Return limits that no test reaches."""
        return _LIMITS

    def is_closing(self) -> bool:
        """Keep connections open."""
        return False

    def serve(
        self, request: messages.Request, responder: server.Responder
    ) -> None:
        """Handle an order, a report request or a caller's request."""
        if self.faults.is_unresponsive:
            return
        silence_s = endpoint_faults.silence_left_s(self.faults)
        if silence_s > 0:
            loop = asyncio.get_running_loop()
            # Executed even if its caller, and with it the body, is gone then.
            kept = attrs.evolve(request)
            loop.call_later(silence_s, self.serve, kept, responder)
            return
        expected = request.header(b'x-expect-instance')
        if expected is not None and expected.decode() != self.endpoint_id:
            responder.send_response(421, [], b'')
        elif request.target in _CALLS and self.faults.endless.reports:
            self._send_without_end(self.faults.endless.reports, responder)
        elif request.target == b'/redwingvalve/report':
            report = endpoint_faults.age_report(self.faults, self._entry())
            _answer_json(responder, 200, report)
        elif request.target == b'/redwingvalve/order':
            self._handle_order(json.loads(request.body), responder)
        else:
            asyncio.get_running_loop().create_task(
                self._run(request, responder)
            )

    def _send_without_end(
        self, endless: endpoint_endless.Endless, responder: server.Responder
    ) -> None:
        asyncio.get_running_loop().create_task(
            endpoint_endless.send(self.faults.endless, endless, responder, [])
        )

    def _forget_state(self) -> None:
        self.group = None
        self.members = []
        self._epoch = 0
        self._sequence = 0
        self._born += 1000

    def _make_connection(self) -> server.ServerConnection:
        connection = server.ServerConnection(self)
        self._connections[connection] = time.monotonic()
        return connection

    def _entry(self) -> Document:
        return {
            'service': self._service,
            'address': self.address,
            'zone': self._data_centre,
            'version': 'v1',
            'slots': 4,
            'state': self.state,
            'cold_left_ms': self.faults.entry_cold_left_ms,
            'seq': self._sequence,
            'born': self._born,
            'domain': self._domain,
            'staged': self.staged,
            'models': [],
            'group': self.group,
        }

    def _handle_order(
        self, order: Document, responder: server.Responder
    ) -> None:
        self.orders.append(order)
        if order['operation'] in self.faults.delayed_operations:
            loop = asyncio.get_running_loop()
            loop.call_later(
                self.faults.order_delay_s, self._execute_order, order
            )
            return
        _answer_json(responder, self._execute_order(order), {})

    def _execute_order(self, order: Document) -> int:
        self._sequence += 1
        operation = order['operation']
        if operation == 'stage':
            self.staged = [order['model']]
            self.write_entry()
            return 202
        if operation == 'join':
            return self._join(order)
        group = self.group
        key = (order['group'], order['epoch'])
        if group is None or (group['name'], group['epoch']) != key:
            return 409
        return self._change_state(order)

    def _join(self, order: Document) -> int:
        if order['epoch'] < self._epoch:
            return 412
        self._epoch = order['epoch']
        self.members = order['members']
        self.group = {
            'name': order['group'],
            'epoch': order['epoch'],
            'rank': order['members'].index(self.endpoint_id),
            'state': 'joining',
        }
        self.write_entry()
        self._schedule_state(
            JOIN_DURATION_S, self.group, 'ready', order['model']
        )
        return 202

    def _change_state(self, order: Document) -> int:
        assert self.group is not None
        operation = order['operation']
        if operation == 'open':
            if self.group['state'] != 'ready':
                return 409
            self._schedule_state(OPEN_DURATION_S, self.group, 'open')
        elif operation == 'close':
            finishes = order['close_mode'] == 'queue' and self.arrivals.running
            is_closing = finishes or self.faults.never_drains
            report_state(self, 'closing' if is_closing else 'ready')
        elif operation == 'leave':
            self.group = None
        self.write_entry()
        return 202

    def _schedule_state(
        self, delay_s: float, group: Document, state: str, model: str = ''
    ) -> None:
        def change() -> None:
            if model:
                self.staged = [model]
            if self.group is group:
                self.group = {**group, 'state': state}
                self.write_entry()

        asyncio.get_running_loop().call_later(delay_s, change)

    async def _run(
        self, request: messages.Request, responder: server.Responder
    ) -> None:
        arrived_s = time.monotonic()
        attempt = request.header(b'x-attempt-id') or b''
        self.arrivals.times_s.append(arrived_s)
        self.arrivals.attempt_ids.append(attempt)
        stated = endpoint_faults.statement_headers(self.faults)
        spoiling = endpoint_faults.draw_spoiling(self.faults)
        is_rejected = spoiling is endpoint_faults.Spoiling.REJECTION
        endpoint_faults.repeat_rejection(self.faults, responder.connection)
        if is_rejected or endpoint_faults.rejects(
            self.faults, len(self.arrivals.times_s)
        ):
            self.rejections_s.append(arrived_s)
            if self.faults.repeats_rejections:
                self.faults.rejected_connections.add(responder.connection)
            if self.faults.stated_rest_s is not None:
                rest = b'%g' % self.faults.stated_rest_s
                stated.append((b'retry-after', rest))
            if self.faults.stated_at_fault:
                at_fault = self.faults.stated_at_fault.encode()
                stated.append((b'at-server', at_fault))
            responder.send_response(503, [(b'x-not-run', b'1'), *stated], b'')
            return
        last = request.header(b'last-event-id')
        self.runs.append(
            Run(
                attempt,
                request.target,
                request.headers,
                int(last) if last else None,
                arrived_s,
            )
        )
        responder.on_disconnect = lambda: self.cancelled_attempts.append(
            attempt
        )
        headers = [
            (b'x-attempt-id', attempt),
            (b'x-server-seal', self.endpoint_id.encode()),
            *stated,
        ]
        if spoiling is endpoint_faults.Spoiling.DELAY:
            await asyncio.sleep(ANSWER_DELAY_S)
        elif spoiling is not None:
            endpoint_faults.spoil(spoiling, request, responder, headers)
            return
        await _answer_counted(self, request, responder, headers)


def report_state(endpoint: FakeEndpoint, state: str) -> None:
    """Report another state of the replica, at once."""
    if endpoint.group is not None:
        endpoint.group = {**endpoint.group, 'state': state}
    endpoint.write_entry()


async def _answer_counted(
    endpoint: FakeEndpoint,
    request: messages.Request,
    responder: server.Responder,
    headers: messages.Headers,
) -> None:
    endpoint.arrivals.running += 1
    try:
        await endpoint_answers.answer(endpoint, request, responder, headers)
    finally:
        endpoint.arrivals.running -= 1
        _end_closing(endpoint)


def _end_closing(endpoint: FakeEndpoint) -> None:
    """Report that a replica which closes has finished its last answer."""
    state = endpoint.group and endpoint.group['state']
    is_busy = endpoint.arrivals.running or endpoint.faults.never_drains
    if state == 'closing' and not is_busy:
        report_state(endpoint, 'ready')


def _answer_json(
    responder: server.Responder, status: int, document: Document
) -> None:
    responder.send_response(
        status,
        [(b'content-type', b'application/json')],
        json.dumps(document).encode(),
    )
