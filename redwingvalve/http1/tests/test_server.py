"""Requests of one connection, fed without a network."""

import asyncio

import pytest

from redwingvalve.http1 import request_parser, server

REQUEST = b'GET /%d HTTP/1.1\r\nhost: h\r\n\r\n'


class Transport(asyncio.Transport):
    """Records what is sent and whether the connection was closed."""

    def __init__(self):
        super().__init__()
        self.writes = []
        self.is_closed = False

    @property
    def sent(self):
        return b''.join(self.writes)

    def write(self, data):
        self.writes.append(data)

    def is_closing(self):
        return self.is_closed

    def close(self):
        self.is_closed = True

    def abort(self):
        self.is_closed = True

    def set_write_buffer_limits(self, high=None, low=None):
        """Nothing is buffered."""

    def get_write_buffer_size(self):
        return 0

    def pause_reading(self):
        """Nothing is read."""

    def resume_reading(self):
        """Nothing is read."""


class Application(server.Application):
    """Holds the responders of requests; some requests raise an error."""

    def __init__(self, failing):
        self.failing = failing
        self.is_stopping = False
        self.held = []

    def limits(self):
        return request_parser.ServerLimits(1000, 1000, 0.01, 5)

    def is_closing(self):
        return self.is_stopping

    def serve(self, request, responder):
        if request.target in self.failing:
            raise ValueError('not a number')
        self.held.append(responder)


def connect(failing=()):
    application = Application(failing)
    connection = server.ServerConnection(application)
    transport = Transport()
    connection.connection_made(transport)
    return application, connection, transport


@pytest.mark.parametrize('count', [1, 2, 3])
def test_a_request_whose_handler_raises_is_answered(count):
    """The connection was closed, or kept without any answer to come."""

    async def main():
        application, connection, transport = connect({b'/%d' % count})
        for number in range(1, count + 2):
            connection.data_received(REQUEST % number)
        while application.held:
            application.held.pop(0).send_response(200, [], b'')
        assert transport.sent.count(b'HTTP/1.1 503 ') == 1
        assert transport.sent.count(b'HTTP/1.1 200 ') == count
        assert not transport.is_closed

    asyncio.run(main())


@pytest.mark.parametrize('behind', [b'\0\0\r\n', b'GET /2 HT'])
def test_bytes_behind_a_request_do_not_cut_its_answer(behind):
    """The connection was closed while the request was being served."""

    async def main():
        application, connection, transport = connect()
        connection.data_received(REQUEST % 1 + REQUEST % 2 + behind)
        await asyncio.sleep(0.05)
        assert not transport.is_closed
        for _ in range(2):
            application.held.pop().send_response(200, [], b'')
        assert transport.sent.count(b'HTTP/1.1 200 ') == 2
        assert transport.sent.count(b'HTTP/1.1 4') == 1
        assert transport.is_closed

    asyncio.run(main())


def test_requests_that_wait_are_answered_when_the_process_stops():
    """Guards against requests lost behind an answer that says close."""

    async def main():
        application, connection, transport = connect()
        connection.data_received(REQUEST % 1 + REQUEST % 2 + REQUEST % 3)
        application.is_stopping = True
        for _ in range(3):
            application.held.pop().send_response(200, [], b'')
        assert transport.sent.count(b'HTTP/1.1 200 ') == 3
        assert transport.sent.count(b'connection: close') == 1
        assert transport.is_closed

    asyncio.run(main())


@pytest.mark.parametrize(('length', 'count'), [(0, 1), (63, 1), (90_000, 2)])
def test_a_short_answer_is_one_segment(length, count):
    """Its body waited for the delayed acknowledgement of its head."""

    async def main():
        application, connection, transport = connect()
        connection.data_received(REQUEST % 1)
        application.held.pop().send_response(200, [], b'x' * length)
        assert len(transport.writes) == count
        assert transport.sent.endswith(b'\r\n\r\n' + b'x' * length)

    asyncio.run(main())
