"""Large reads of many small things, fed to connections without a network."""

import asyncio
import time

import pytest

from redwingvalve.http1 import answer_room, client, stepped_reads
from redwingvalve.http1.tests import test_endless_answers

READER = answer_room.PauseReason.READER

# The loop's buffer.
READ_BYTES = 250_000
STEP_S = 0.05
CHUNKED = test_endless_answers.CHUNKED
ENDLESS = test_endless_answers.OK + b'\r\n'
HELLO = test_endless_answers.OK + b'content-length: 5\r\n\r\nhello'


class Handler(test_endless_answers.Handler):
    """Keeps the body, and may do something at each chunk of it."""

    def __init__(self, on_chunk=None):
        super().__init__()
        self.body = b''
        self.on_chunk = on_chunk

    def body_received(self, chunk):
        self.body += chunk
        if self.on_chunk is not None:
            self.on_chunk()


class SlowHandler(test_endless_answers.Handler):
    """Takes as long as one that forwards events of two bytes."""

    def body_received(self, chunk):
        until_s = time.process_time() + len(chunk) * 4e-6
        while time.process_time() < until_s:
            pass


async def longest_step_s(connection, data):
    """Return the processor time of the longest step with a read."""
    longest_s = 0
    started_s = time.process_time()
    connection.data_received(data)
    while True:
        longest_s = max(longest_s, time.process_time() - started_s)
        if not connection.transport.is_paused:
            return longest_s
        started_s = time.process_time()
        await asyncio.sleep(0)


@pytest.mark.parametrize(
    ('head', 'piece'),
    [
        (CHUNKED, b'1\r\nx\r\n'),
        (CHUNKED, b'2\r\n\n\n\r\n'),
        (ENDLESS, b'\n\n'),
        (test_endless_answers.OK, b'a:b\r\n'),
    ],
)
def test_a_large_read_of_an_answer_takes_short_steps(head, piece):
    """A read of 125,000 events kept all other requests waiting for 0.5 s."""

    async def main():
        steps_s = []
        for _ in range(3):
            connection = test_endless_answers.connect(SlowHandler())
            connection.data_received(head)
            data = piece * (READ_BYTES // len(piece))
            steps_s.append(await longest_step_s(connection, data))
        assert min(steps_s) < STEP_S

    asyncio.run(main())


async def settle(connection):
    while connection.transport.is_paused:
        await asyncio.sleep(0)


def test_bytes_after_an_answer_in_a_large_read_reach_no_other_request():
    """The rest of a read would be taken for the next request's answer."""

    async def main():
        pooled = []
        connection = client.Connection()
        connection.connection_made(test_endless_answers.Transport())
        handler = Handler()
        connection.send(b'x', handler, pooled.append)
        connection.data_received(HELLO + b' ' * READ_BYTES + HELLO)
        await settle(connection)
        assert handler.body == b'hello' and handler.ending == 'whole'
        assert not pooled and connection.transport.is_aborted

    asyncio.run(main())


@pytest.mark.parametrize('error', [None, ConnectionResetError()])
def test_what_was_received_before_the_end_is_read_before_it(error):
    """An answer without a length would lose its last part."""

    async def main():
        handler = Handler(lambda: time.sleep(stepped_reads.STEP_S))
        connection = test_endless_answers.connect(handler)
        connection.data_received(ENDLESS + b'x' * 20_000)
        connection.connection_lost(error)
        assert handler.ending is None
        while handler.ending is None:
            await asyncio.sleep(0)
        assert handler.body == b'x' * 20_000
        assert handler.ending == ('reset' if error else 'whole')

    asyncio.run(main())


def test_a_paused_connection_hands_nothing_on_until_it_is_resumed():
    """The rest of a read passed the caller's flow control by."""

    async def main():
        handler = Handler(lambda: connection.pause(READER))
        connection = test_endless_answers.connect(handler)
        connection.data_received(ENDLESS + b'x' * 20_000)
        for _ in range(9):
            await asyncio.sleep(0)
        received_bytes = len(handler.body)
        assert 0 < received_bytes <= stepped_reads.PIECE_BYTES
        handler.on_chunk = None
        connection.resume(READER)
        await settle(connection)
        assert handler.body == b'x' * 20_000

    asyncio.run(main())


def test_a_connection_is_not_kept_paused_for_the_next_request():
    """A caller's flow control went on for another's answer."""

    async def main():
        pooled = []
        connection = client.Connection()
        connection.connection_made(test_endless_answers.Transport())
        handler = Handler(lambda: connection.pause(READER))
        connection.send(b'x', handler, pooled.append)
        connection.data_received(HELLO)
        assert handler.ending == 'whole' and pooled == [connection]
        assert not connection.transport.is_paused

    asyncio.run(main())


def test_a_paused_connection_that_is_lost_still_waits_for_its_caller():
    """It would end before its last bytes, or pass them by flow control."""

    async def main():
        handler = Handler(lambda: connection.pause(READER))
        connection = test_endless_answers.connect(handler)
        connection.data_received(ENDLESS + b'x' * 20_000)
        connection.connection_lost(None)
        while len(handler.body) < 20_000:
            assert handler.ending is None
            connection.resume(READER)
            await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert handler.ending == 'whole'

    asyncio.run(main())


def test_the_end_of_a_lost_connection_waits_while_it_is_paused():
    """An answer ended that nobody waited for at that moment."""

    async def main():
        handler = Handler()
        connection = test_endless_answers.connect(handler)
        connection.data_received(ENDLESS + b'x')
        connection.pause(READER)
        connection.connection_lost(None)
        await asyncio.sleep(0)
        assert handler.ending is None
        connection.resume(READER)
        await asyncio.sleep(0)
        assert handler.ending == 'whole'

    asyncio.run(main())


def test_a_connection_that_two_wait_for_is_paused_by_either():
    """The caller's flow control resumed a send that was parked."""

    async def main():
        handler = Handler()
        connection = test_endless_answers.connect(handler)
        for reason in answer_room.PauseReason:
            connection.pause(reason)
        connection.resume(READER)
        assert connection.transport.is_paused
        connection.resume(answer_room.PauseReason.PARKED)
        assert not connection.transport.is_paused

    asyncio.run(main())


@pytest.mark.parametrize('action', ['pause', 'resume', 'abandon'])
def test_an_exchange_leaves_the_next_one_of_its_connection_alone(action):
    """A time-out beside an answer closed the connection of another request."""

    async def main():
        connection = client.Connection()
        connection.connection_made(test_endless_answers.Transport())
        ended = connection.send(b'x', Handler(), lambda idle: None)
        connection.data_received(HELLO)
        handler = Handler()
        current = connection.send(b'x', handler, lambda idle: None)
        if action == 'resume':
            current.pause(READER)
        was_paused = connection.transport.is_paused
        arguments = [] if action == 'abandon' else [READER]
        getattr(ended, action)(*arguments)
        assert current.is_pending and not connection.transport.is_aborted
        assert connection.transport.is_paused == was_paused

    asyncio.run(main())


def test_the_end_of_a_connection_that_is_paused_again_waits():
    """A pause between resume() and the next step was passed by."""

    async def main():
        handler = Handler()
        connection = test_endless_answers.connect(handler)
        connection.data_received(ENDLESS + b'x')
        connection.pause(READER)
        connection.connection_lost(None)
        connection.resume(READER)
        connection.pause(READER)
        await asyncio.sleep(0)
        assert handler.ending is None

    asyncio.run(main())


def test_a_crowd_of_slow_reads_takes_short_turns():
    """Each of them took a step in each turn, so that others had none."""

    async def main():
        data = CHUNKED + b'1\r\nx\r\n' * 2_500
        crowd = [test_endless_answers.connect(SlowHandler()) for _ in range(60)]
        for connection in crowd:
            connection.data_received(CHUNKED)
        longest_s = 0
        started_s = time.process_time()
        for connection in crowd:
            connection.data_received(data[len(CHUNKED) :])
        while any(one.transport.is_paused for one in crowd):
            longest_s = max(longest_s, time.process_time() - started_s)
            started_s = time.process_time()
            await asyncio.sleep(0)
        assert longest_s < STEP_S

    asyncio.run(main())


def test_a_failure_in_a_later_step_closes_the_connection():
    """It would neither be read nor be closed."""
    sizes_bytes = []

    def feed(data):
        sizes_bytes.append(len(data))
        time.sleep(stepped_reads.STEP_S)
        if len(sizes_bytes) > 1:
            raise ValueError

    async def main():
        failures = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, about: failures.append(about))
        reads = stepped_reads.SteppedReads(feed)
        transport = test_endless_answers.Transport()
        reads.start(transport)
        reads.received(b'x' * 20_000)
        while transport.is_paused:
            await asyncio.sleep(0)
        assert transport.is_aborted
        assert len(failures) == 1 and len(sizes_bytes) == 2

    asyncio.run(main())


def test_an_abandoned_connection_hands_nothing_on():
    async def main():
        handler = Handler(lambda: connection.abandon())
        connection = test_endless_answers.connect(handler)
        connection.data_received(ENDLESS + b'x' * 20_000)
        await settle(connection)
        assert len(handler.body) <= stepped_reads.PIECE_BYTES
        assert handler.ending is None

    asyncio.run(main())


@pytest.mark.parametrize('has_loop', [True, False])
def test_slow_reads_of_an_ended_loop_delay_no_others(has_loop):
    """The time they had taken outlived their loop, and later bytes waited."""

    async def read_slowly():
        connection = test_endless_answers.connect(SlowHandler())
        connection.data_received(ENDLESS + b'x' * 20_000)
        await settle(connection)

    async def read():
        return read_at_once()

    def read_at_once():
        handler = test_endless_answers.Handler()
        connection = test_endless_answers.connect(handler)
        connection.data_received(ENDLESS + b'x' * 20_000)
        return handler.body_bytes

    asyncio.run(read_slowly())
    assert (asyncio.run(read()) if has_loop else read_at_once()) == 20_000
