"""Requests without end, fed to a parser without a network."""

import time

import pytest

from redwingvalve.http1 import request_parser

LIMITS = request_parser.ServerLimits(65_536, 1_048_576, 5, 5)
LARGE_LIMITS = request_parser.ServerLimits(1_048_576, 1_048_576, 5, 5)
PIECE_BYTES = 16_384
MOST_BYTES = 5 * LIMITS.head_bytes
LETTERS = b'x' * PIECE_BYTES
HEAD = b'GET /a HTTP/1.1\r\n'
CHUNKED = b'POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n'
# What the caller sends first, and what it repeats.
ENDLESS = {
    'a name': (HEAD, LETTERS),
    'a value': (HEAD + b'name: ', LETTERS),
    'lines': (HEAD, b'a:b\r\n' * (PIECE_BYTES // 5)),
    'a target': (b'GET /', LETTERS),
    'a chunk size': (CHUNKED, b'0' * PIECE_BYTES),
    'a chunk extension': (CHUNKED + b'1;', LETTERS),
    'a trailer': (CHUNKED + b'0\r\nname: ', LETTERS),
}


class Handler(request_parser.RequestHandler):
    """Records what the parser reports."""

    def __init__(self):
        self.requests = []
        self.statuses = []

    def head_started(self):
        """Do nothing."""

    def head_completed(self):
        """Do nothing."""

    def request_completed(self, request):
        self.requests.append(request)

    def refused(self, status):
        self.statuses.append(status)

    def write(self, data):
        """Do nothing."""


@pytest.mark.parametrize('kind', ENDLESS)
def test_a_request_without_end_is_refused(kind):
    """A line that never ended was kept in memory, however long it was."""
    first, piece = ENDLESS[kind]
    handler = Handler()
    parser = request_parser.RequestParser(handler, lambda: LIMITS)
    parser.feed(first)
    fed_bytes = 0
    while not handler.statuses and fed_bytes < 2 * MOST_BYTES:
        parser.feed(piece)
        fed_bytes += len(piece)
    assert handler.statuses and fed_bytes <= MOST_BYTES


def test_requests_within_the_limits_are_read_however_they_are_cut():
    """Framing and earlier requests don't count against the head's limit."""
    head = b'n: %b\r\n' % (b'x' * 60_000)
    chunks = b'1\r\nx\r\n' * 60_000
    text = CHUNKED[:-2] + head + b'\r\n' + chunks + b'0\r\n\r\n'
    plain = HEAD + b'\r\n'
    for size in (7, 1460, 250_000):
        handler = Handler()
        parser = request_parser.RequestParser(handler, lambda: LIMITS)
        sent = (text + plain) * 2
        for start in range(0, len(sent), size):
            parser.feed(sent[start : start + size])
        bodies = [len(request.body) for request in handler.requests]
        assert bodies == [60_000, 0] * 2 and not handler.statuses


def test_work_is_linear_in_the_parts_of_a_target():
    """Each part of it copied all those before."""
    parser = request_parser.RequestParser(Handler(), lambda: LARGE_LIMITS)
    parser.on_message_begin()
    started_s = time.process_time()
    for _ in range(400_000):
        parser.on_url(b'x')
    assert time.process_time() - started_s < 1.5


def test_nothing_is_read_behind_a_refused_request():
    """The next head started its timer anew."""
    handler = Handler()
    parser = request_parser.RequestParser(handler, lambda: LIMITS)
    announced = b'POST /a HTTP/1.1\r\ncontent-length: 9999999\r\n\r\n'
    parser.feed(announced + CHUNKED + b'0\r\n\r\n' + HEAD)
    assert handler.statuses == [request_parser.BODY_TOO_LARGE]
    assert not handler.requests and not parser.is_reading
