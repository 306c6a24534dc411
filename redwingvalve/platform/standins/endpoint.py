"""A stand-in for one endpoint of the users' platform.

It takes the published orders, reports, and answers requests: models with a
stream of numbered events, plain services with one body. Faults: it may go
dark, crash, stand still as a head does that lost a member, answer twice, break
off, or carry an order out late.
"""

import asyncio
import json
import typing

import attrs

from redwingvalve.http1 import messages, reading, server
from redwingvalve.platform.standins import store as fake_store

_LIMITS = reading.ServerLimits(65_536, 4_194_304, 10, 60)
Document = dict[str, typing.Any]
# Times of the sheet, made short for tests.
JOIN_S = 0.15
OPEN_S = 0.03
EVENT_S = 0.02


@attrs.define
class EndpointFaults:
    """What the endpoint does wrong now."""

    is_unresponsive: bool = False
    is_stalled: bool = False
    duplicates_response: bool = False
    aborts_at_event: int | None = None
    rejects_requests: bool = False
    returns_server_error: bool = False
    # Operations that are carried out late, and never answered.
    delayed_operations: tuple[str, ...] = ()
    order_delay_s: float = 2.5
    omits_content_length: bool = False
    # Its entry stays as it was.
    is_cut_off_from_store: bool = False
    # A close that lets requests finish never ends.
    never_drains: bool = False


@attrs.frozen
class Run:
    """A request that ran here."""

    attempt_id: bytes
    target: bytes
    headers: messages.Headers
    last_event: int | None


class FakeEndpoint(server.Application):
    """One endpoint with its entry in the store."""

    def __init__(
        self,
        store: fake_store.FakeStore,
        endpoint_id: str,
        service: str,
        domain: str = '',
    ) -> None:
        """Write its entry once it listens."""
        self.endpoint_id = endpoint_id
        self.faults = EndpointFaults()
        self.runs: list[Run] = []
        self.orders: list[Document] = []
        self.cancelled_attempts: list[bytes] = []
        self.events_per_response = 6
        self.state = 'ready'
        self.group: Document | None = None
        self.members: list[str] = []
        self.staged: list[str] = []
        self.address = ''
        self._store = store
        self._service = service
        self._domain = domain
        self._sequence = 0
        self._epoch = 0
        self._born = 1000
        self._server: asyncio.Server | None = None
        self._connections: list[server.CallerConnection] = []

    async def start(self) -> None:
        """Listen on a free port and write the entry."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._make, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        self.write_entry()

    def stop_listening(self) -> None:
        """Take no new connections and end the idle ones."""
        if self._server is not None:
            self._server.close()
        for connection in self._connections:
            connection.close_if_idle()

    def crash(self) -> None:
        """End at once, with all connections, and lose the entry."""
        if self._server is not None:
            self._server.close()
        for connection in self._connections:
            connection.break_off()
        self._store.remove('servers', self.endpoint_id)

    def crash_and_restart(self) -> None:
        """Start again under the same id, without any memory."""
        for connection in self._connections:
            connection.break_off()
        self.group = None
        self.members = []
        self._epoch = 0
        self._sequence = 0
        self._born += 1000
        self.write_entry()

    def drain(self) -> None:
        """Say that it is about to leave."""
        self.state = 'draining'
        self.write_entry()

    def write_entry(self) -> None:
        """Write what it says of itself, unless the entry was removed."""
        entries = self._store.objects.get('servers', {})
        was_removed = self._sequence and self.endpoint_id not in entries
        if was_removed or self.faults.is_cut_off_from_store:
            return
        self._store.put('servers', self.endpoint_id, self._entry())

    def limits(self) -> reading.ServerLimits:
        """Return wide bounds."""
        return _LIMITS

    def is_closing(self) -> bool:
        """Keep connections."""
        return False

    def serve(
        self, request: messages.Request, responder: server.Responder
    ) -> None:
        """Answer an order, a report or a request."""
        if self.faults.is_unresponsive:
            return
        expected = request.header(b'x-expect-instance')
        if expected is not None and expected.decode() != self.endpoint_id:
            responder.answer(421, [], b'')
        elif request.target == b'/redwingvalve/report':
            _json(responder, 200, self._entry())
        elif request.target == b'/redwingvalve/order':
            self._order(json.loads(request.body), responder)
        else:
            asyncio.get_running_loop().create_task(
                self._run(request, responder)
            )

    def _make(self) -> server.CallerConnection:
        connection = server.CallerConnection(self)
        self._connections.append(connection)
        return connection

    def _entry(self) -> Document:
        return {
            'service': self._service,
            'address': self.address,
            'zone': 'zone-1',
            'version': 'v1',
            'slots': 4,
            'state': self.state,
            'cold_left_ms': 0,
            'seq': self._sequence,
            'born': self._born,
            'domain': self._domain,
            'staged': self.staged,
            'models': [],
            'group': self.group,
        }

    def _order(self, order: Document, responder: server.Responder) -> None:
        self.orders.append(order)
        if order['operation'] in self.faults.delayed_operations:
            loop = asyncio.get_running_loop()
            loop.call_later(self.faults.order_delay_s, self._obey, order)
            return
        _json(responder, self._obey(order), {})

    def _obey(self, order: Document) -> int:
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
        return self._change_state(operation)

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
        self._later(JOIN_S, self.group, 'ready', order['model'])
        return 202

    def _change_state(self, operation: str) -> int:
        assert self.group is not None
        if operation == 'open':
            if self.group['state'] != 'ready':
                return 409
            self._later(OPEN_S, self.group, 'open')
        elif operation == 'close':
            waits = self.faults.never_drains
            state = 'closing' if waits else 'ready'
            self.group = {**self.group, 'state': state}
        elif operation == 'leave':
            self.group = None
        self.write_entry()
        return 202

    def _later(
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
        attempt = request.header(b'x-attempt-id') or b''
        if self.faults.rejects_requests:
            responder.answer(503, [(b'x-not-run', b'1')], b'')
            return
        last = request.header(b'last-event-id')
        self.runs.append(
            Run(
                attempt,
                request.target,
                request.headers,
                int(last) if last else None,
            )
        )
        responder.on_gone = lambda: self.cancelled_attempts.append(attempt)
        headers = [
            (b'x-attempt-id', attempt),
            (b'x-server-seal', self.endpoint_id.encode()),
        ]
        if self.faults.returns_server_error:
            responder.answer(500, headers, b'failed')
        elif request.header(b'x-model'):
            await self._stream(responder, headers, int(last or 0))
        else:
            await asyncio.sleep(EVENT_S)
            self._answer(responder, headers, attempt)

    def _answer(
        self,
        responder: server.Responder,
        headers: messages.Headers,
        attempt: bytes,
    ) -> None:
        body = b'body of %b' % attempt
        connection = responder.connection
        responder.answer(200, headers, body)
        if self.faults.duplicates_response:
            extra = (b'content-length', b'%d' % len(body))
            head = messages.render_head(b'HTTP/1.1 200 OK', [*headers, extra])
            connection.write(head + body)

    async def _stream(
        self,
        responder: server.Responder,
        headers: messages.Headers,
        last: int,
    ) -> None:
        kind = (b'content-type', b'text/event-stream')
        responder.start(200, [*headers, kind])
        for number in range(last + 1, self.events_per_response + 1):
            await asyncio.sleep(EVENT_S)
            while self.faults.is_stalled:
                await asyncio.sleep(EVENT_S)
            if number == self.faults.aborts_at_event:
                # In the middle of an event.
                responder.write(b'id: %d\ndata: ha' % number)
                await asyncio.sleep(0)
                responder.abort()
                return
            responder.write(b'id: %d\ndata: %d\n\n' % (number, number))
        responder.finish()


def _json(responder: server.Responder, status: int, document: Document) -> None:
    responder.answer(
        status,
        [(b'content-type', b'application/json')],
        json.dumps(document).encode(),
    )
