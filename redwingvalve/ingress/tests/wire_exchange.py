"""Requests over real client connections, whose bytes a test delivers itself."""

import asyncio

import anyio

from redwingvalve.http1 import client, messages
from redwingvalve.ingress import reservations
from redwingvalve.ingress.tests import hedged_exchange
from redwingvalve.platform import names

EVENTS = 12
_FRAMING = (b'transfer-encoding', b'chunked')


def render_head(status, *headers):
    """Return the head of an endpoint's answer to the one attempt."""
    attempt = (names.ATTEMPT_ID_HEADER, hedged_exchange.ATTEMPT)
    return messages.render_head(b'HTTP/1.1 %d x' % status, [attempt, *headers])


def render_success(*headers):
    return render_head(200, (names.SEAL_HEADER, b's'), *headers)


class Transport(asyncio.Transport):
    """Delivers bytes as a socket does: none while reading is paused."""

    def __init__(self, connection):
        super().__init__()
        self.connection = connection
        self.sent = b''
        self.is_paused = False
        self.is_ended = False
        self._unread = []
        self._is_at_end = False

    def deliver(self, data):
        self._unread.append(data)
        self._read()

    def end(self):
        self._is_at_end = True
        self._read()

    def write(self, data):
        self.sent += data

    def get_write_buffer_size(self):
        return 0

    def is_closing(self):
        return self.is_ended

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False
        asyncio.get_running_loop().call_soon(self._read)

    def abort(self):
        self._lose()

    def _read(self):
        while self._unread and not (self.is_paused or self.is_ended):
            self.connection.data_received(self._unread.pop(0))
        if self._is_at_end and not (self.is_paused or self._unread):
            self._lose()

    def _lose(self):
        if not self.is_ended:
            self.is_ended = True
            loop = asyncio.get_running_loop()
            loop.call_soon(self.connection.connection_lost, None)


class Connections:
    """A pool that opens a connection for each send."""

    def __init__(self):
        self.taken = []
        self.released = []

    async def take(self, address, max_idle_s):
        connection = client.Connection()
        connection.connection_made(Transport(connection))
        self.taken.append(connection)
        return connection

    def release(self, address, connection):
        self.released.append(connection)

    def release_callback(self, address):
        return self.released.append


class Reserver(hedged_exchange.Reserver):
    """Calls on_move in the turn that follows the one that grants a move."""

    on_move = None

    async def reserve(self, *about):
        found = await super().reserve(*about)
        is_move = isinstance(found, reservations.Reservation) and (
            len(self.given) == 2
        )
        if is_move and self.on_move is not None:
            asyncio.get_running_loop().call_soon(self.on_move)
        return found


class Exchange(hedged_exchange.Exchange):
    """One request over connections of this module, a resumable stream."""

    def __init__(self, attempts=2, kind=hedged_exchange.STREAM):
        super().__init__(kind, attempts)
        self.state.connections = Connections()
        self.state.reserver = Reserver()
        self.is_trial = True

    async def wait_for_sends(self, count):
        with anyio.fail_after(hedged_exchange.HANG_S):
            while len(self.connections) < count:
                await anyio.sleep(0.002)
            while not self.connections[-1].transport.sent:
                await anyio.sleep(0.002)

    async def wait_until_done(self):
        responder = self.responder
        with anyio.fail_after(hedged_exchange.HANG_S):
            while not (responder.is_done or responder.is_aborted):
                await anyio.sleep(0.002)

    def stall(self):
        for requests in self.state.in_flight_requests.values():
            for request in requests:
                request.head_stalled()

    def refuse(self, number):
        refusal = render_head(
            503, (names.NOT_RUN_HEADER, b'1'), (b'content-length', b'0')
        )
        self.connections[number].transport.deliver(refusal)


class Stream:
    """The answer of one endpoint, in chunks or up to the connection's end."""

    def __init__(self, exchange, number, *, is_framed):
        self._transport = exchange.connections[number].transport
        self._is_framed = is_framed

    def start(self):
        framing = [_FRAMING] if self._is_framed else []
        self._transport.deliver(render_success(*framing))

    def send(self, first, last):
        """Send the events of these numbers in one piece."""
        self._transport.deliver(
            b''.join(map(self._piece, range(first, last + 1)))
        )

    def finish(self):
        if self._is_framed:
            self._transport.deliver(b'0\r\n\r\n')
        else:
            self._transport.end()

    def _piece(self, number):
        event = hedged_exchange.event(number, b'a')
        if not self._is_framed:
            return event
        return b'%x\r\n%b\r\n' % (len(event), event)


def events(first, last):
    return b''.join(
        hedged_exchange.event(number, b'a') for number in range(first, last + 1)
    )


def assert_ordered(exchange):
    """Check that the caller has a part from the start, complete if it ended."""
    body = exchange.responder.body
    assert events(1, EVENTS).startswith(body)
    assert body == events(1, EVENTS) or not exchange.responder.is_done
