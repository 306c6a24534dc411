"""Many pipelined requests in one read, fed to a connection."""

import asyncio

from redwingvalve.http1 import pipeline, server, stepped_reads
from redwingvalve.http1.tests import test_endless_answers, test_endless_requests


class Application(server.Application):
    """Answers each request later, with its target."""

    def __init__(self):
        self.targets = []

    def limits(self):
        return test_endless_requests.LIMITS

    def is_closing(self):
        return False

    def serve(self, request, responder):
        self.targets.append(request.target)
        asyncio.get_running_loop().call_soon(
            responder.send_response, 200, [], request.target
        )


def test_pipelined_requests_of_a_large_read_are_served_in_order():
    """Each answer let more of them in, however many were waiting."""
    count = 10_000
    data = b''.join(b'GET /%d HTTP/1.1\r\n\r\n' % one for one in range(count))

    async def main():
        application = Application()
        connection = server.ServerConnection(application)
        connection.transport = test_endless_answers.Transport()
        connection.connection_made(connection.transport)
        waiting = []
        connection.data_received(data)
        while len(application.targets) < count:
            waiting.append(len(connection.pipelined))
            await asyncio.sleep(0)
        expected = [b'/%d' % one for one in range(count)]
        assert application.targets == expected
        most = stepped_reads.PIECE_BYTES // len(b'GET /1 HTTP/1.1\r\n\r\n')
        assert max(waiting) <= pipeline.MAX_REQUESTS + most + 1
        for _ in range(9):
            await asyncio.sleep(0)
        assert not connection.transport.is_paused
        assert connection.is_idle
        connection.connection_lost(None)

    asyncio.run(main())
