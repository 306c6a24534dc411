"""Answers without end, fed to a connection without a network."""

import asyncio
import itertools
import tracemalloc

import pytest

from redwingvalve.http1 import client
from redwingvalve.observability import node_metrics

PIECE_BYTES = 16_384
FED_BYTES = 32 * 1024 * 1024
HELD_BYTES = 4 * 1024 * 1024
OK = b'HTTP/1.1 200 OK\r\n'
CHUNKED = OK + b'transfer-encoding: chunked\r\n\r\n'
STRAY = OK + b'of: another\r\n'
LINES = b'name: value\r\n' * (PIECE_BYTES // 13)
LETTERS = b'x' * PIECE_BYTES
# What the endpoint sends first, what it repeats, and the limit that ends it.
ENDLESS = {
    'lines of a head': (OK, LINES, 'head'),
    'one line of a head': (OK + b'name: ', LETTERS, 'head'),
    'a name in a head': (OK, LETTERS, 'head'),
    'a status line': (b'HTTP/1.1 200 ', LETTERS, 'head'),
    'interim heads': (
        b'',
        b'HTTP/1.1 102 Processing\r\n\r\n' * 600,
        'interim heads',
    ),
    'trailers': (CHUNKED + b'0\r\n', LINES, 'framing'),
    'a chunk size': (CHUNKED, b'0' * PIECE_BYTES, 'framing'),
    'a chunk extension': (CHUNKED + b'1;', LETTERS, 'framing'),
    'extensions of small chunks': (
        CHUNKED,
        b'1;%b\r\nx\r\n' % (b'e' * 400) * 40,
        'framing',
    ),
    'a skipped body': (STRAY + b'\r\n', LETTERS, 'skipped body'),
    'a skipped chunked body': (
        STRAY + b'transfer-encoding: chunked\r\n\r\n',
        b'4000\r\n%b\r\n' % LETTERS,
        'skipped body',
    ),
}


class Transport(asyncio.Transport):
    """Records whether the connection was closed."""

    is_aborted = False
    is_paused = False

    def write(self, data):
        """Drop the request."""

    def set_write_buffer_limits(self, high=None, low=None):
        """Nothing is buffered."""

    def get_write_buffer_size(self):
        return 0

    def is_closing(self):
        return self.is_aborted

    def abort(self):
        self.is_aborted = True
        self.is_paused = False

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False


class Handler(client.ResponseHandler):
    """Counts a body without holding it."""

    def __init__(self, max_body_bytes=None):
        self.limit_bytes = max_body_bytes
        self.body_bytes = 0
        self.head = None
        self.ending = None

    def max_body_bytes(self, limits):
        return self.limit_bytes

    def accepts(self, head):
        return head.header(b'of') is None

    def head_received(self, head):
        self.head = head

    def body_received(self, chunk):
        self.body_bytes += len(chunk)

    def completed(self):
        self.ending = 'whole'

    def broken(self, reason):
        self.ending = reason


def connect(handler):
    connection = client.Connection()
    connection.connection_made(Transport())
    connection.send(b'GET / HTTP/1.1\r\n\r\n', handler, lambda idle: None)
    return connection


def feed(connection, pieces, total_bytes=FED_BYTES):
    """Return how many bytes were read before the connection was closed."""

    async def main():
        fed = 0
        for piece in pieces:
            if fed >= total_bytes or connection.transport.is_closing():
                break
            connection.data_received(piece)
            fed += len(piece)
            while connection.transport.is_paused:
                await asyncio.sleep(0)
        return fed

    return asyncio.run(main())


def exceeded(limit):
    return node_metrics.METRICS.value(
        'redwingvalve_answers_over_limit', limit=limit
    )


@pytest.mark.parametrize('kind', ENDLESS)
def test_an_answer_without_end_is_broken_off(kind):
    """All of these were read until the caller's timeout, up to 171 MB held."""
    start, repeated, limit = ENDLESS[kind]
    handler = Handler()
    connection = connect(handler)
    before = exceeded(limit)
    tracemalloc.start()
    fed = feed(
        connection, itertools.chain((start,), itertools.repeat(repeated))
    )
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert connection.transport.is_aborted
    assert limit in handler.ending and 'over' in handler.ending
    assert exceeded(limit) == before + 1
    assert fed < FED_BYTES or limit == 'skipped'
    assert peak_bytes < HELD_BYTES


def body_pieces(handler, start, piece):
    """Return the reason for the end of a body of FED_BYTES, if any."""
    connection = connect(handler)
    feed(connection, itertools.chain((start,), itertools.repeat(piece)))
    return handler.ending


@pytest.mark.parametrize(
    ('start', 'piece'),
    [
        (OK + b'\r\n', LETTERS),
        (CHUNKED, b'4000\r\n%b\r\n' % LETTERS),
        (CHUNKED, b'1\r\nx\r\n' * (PIECE_BYTES // 6)),
        (OK + b'content-length: 99000000\r\n\r\n', LETTERS),
    ],
)
def test_a_long_body_passes_unless_it_is_held(start, piece):
    """A limit for all bodies would cut long streams."""
    passed_on, held = Handler(), Handler(max_body_bytes=1_000_000)
    assert body_pieces(passed_on, start, piece) is None
    assert body_pieces(held, start, piece) == 'body over 1000000 bytes'
    assert held.body_bytes <= 1_000_000 + PIECE_BYTES


def test_a_body_announced_too_long_is_broken_off_at_its_head():
    handler = Handler(max_body_bytes=1000)
    connection = connect(handler)
    connection.data_received(OK + b'content-length: 1001\r\n\r\n')
    assert handler.ending == 'body over 1000 bytes'


def test_bytes_after_a_complete_answer_close_the_connection():
    """They belong to no request, and may go on without end."""
    handler = Handler()
    connection = connect(handler)
    answer = OK + b'content-length: 2\r\n\r\nhi'
    feed(connection, [answer + LINES * 8])
    assert handler.ending == 'whole' and connection.transport.is_aborted
    connection = connect(handler)
    connection.data_received(answer)
    assert connection.is_open
    feed(connection, [LETTERS])
    assert connection.transport.is_aborted


@pytest.mark.parametrize('digits', [1, 400, 5000])
def test_a_keep_alive_time_too_large_breaks_no_answer(digits):
    """Its conversion failed, and the answer counted as none."""
    handler = Handler()
    connection = connect(handler)
    time = b'keep-alive: timeout=%b\r\n' % (b'9' * digits)
    connection.data_received(OK + time + b'content-length: 2\r\n\r\nhi')
    assert handler.ending == 'whole'
    assert (connection.keep_alive_s is None) is (digits > 1)


@pytest.mark.parametrize('head', ['101 Switching', '200 OK'])
def test_a_change_of_protocol_is_no_answer(head):
    """Its error ended the task that reads, as one that nobody expected."""
    handler = Handler()
    connection = connect(handler)
    upgrade = b'connection: upgrade\r\nupgrade: other\r\n\r\n'
    connection.data_received(b'HTTP/1.1 %b\r\n' % head.encode() + upgrade)
    is_upgrade = head.startswith('101')
    assert (handler.ending is not None) is is_upgrade
    assert connection.transport.is_aborted is is_upgrade


def test_trailers_are_no_part_of_the_head():
    """They were forwarded among its headers."""
    handler = Handler()
    connection = connect(handler)
    connection.data_received(CHUNKED + b'0\r\nx-server-seal: s\r\n\r\n')
    assert handler.ending == 'whole'
    assert handler.head.header(b'x-server-seal') is None
