"""What a node's connections tell about its stop."""

import asyncio
import socket

import pytest

from redwingvalve.http1.tests import test_server
from redwingvalve.node import early_sockets, listeners
from redwingvalve.platform import settings
from redwingvalve.standins import ports

REQUEST = test_server.REQUEST % 1


class Transport(test_server.Transport):
    """Holds back the given number of written bytes."""

    unsent_bytes = 0

    def get_write_buffer_size(self):
        return self.unsent_bytes


@pytest.mark.parametrize(
    ('received', 'unsent_bytes', 'is_busy'),
    [
        (b'', 0, False),
        # An answer on its way to a slow caller.
        (b'', 5, True),
        # A request whose body is still on its way.
        (b'POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab', 0, True),
        (REQUEST, 0, True),
    ],
)
def test_a_stop_waits_for_connections_in_use(received, unsent_bytes, is_busy):
    """Guards against answers cut while they are sent to slow callers."""

    async def main():
        listener = listeners.Listener(test_server.Application(()))
        connection = listener._make_connection()
        transport = Transport()
        connection.connection_made(transport)
        transport.unsent_bytes = unsent_bytes
        if received:
            connection.data_received(received)
        assert listener.is_busy is is_busy
        connection.connection_lost(None)
        assert not listener.is_busy

    asyncio.run(main())


def test_a_connection_that_was_just_opened_is_not_closed():
    """Guards against closes that cross the first request of a caller."""

    async def main():
        listener = listeners.Listener(test_server.Application(()))
        connection = listener._make_connection()
        transport = Transport()
        connection.connection_made(transport)
        listener.close_idle(listeners.MIN_IDLE_S)
        assert not transport.is_closed
        listener.close_idle()
        assert transport.is_closed
        connection.connection_lost(None)

    asyncio.run(main())


def test_accepted_sockets_send_short_segments_at_once():
    """Answers waited 40 ms for the acknowledgement of an earlier segment."""

    async def main():
        port = ports.free_ports(1)[0]
        listening = early_sockets.listen_at(
            settings.SocketAddress(ports.HOST, port)
        )
        accepted = asyncio.Queue()
        await asyncio.start_server(
            lambda _, writer: accepted.put_nowait(writer), sock=listening
        )
        _, caller = await asyncio.open_connection(ports.HOST, port)
        writer = await accepted.get()
        raw = writer.get_extra_info('socket')
        assert raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        caller.close()
        writer.close()

    asyncio.run(main())
