"""Answers that stop at any byte, fed to connections without a network."""

import asyncio

import pytest

from redwingvalve.http1 import client
from redwingvalve.ingress import peer_sender, upstream
from redwingvalve.platform import json_answers, names

ATTEMPT = b'a1'
HEADERS = b'%b: a1\r\n%b: s.1\r\n' % (
    names.ATTEMPT_ID_HEADER,
    names.SEAL_HEADER,
)
EVENTS = b'id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n'
LENGTH = b'Content-Length: %d\r\n\r\n' % len(EVENTS)
OK = b'HTTP/1.1 200 OK\r\n'
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n%b\r\n'
WITH_LENGTH = OK + HEADERS + LENGTH + EVENTS
STRAY = OK + b'%b: a0\r\n' % names.ATTEMPT_ID_HEADER + LENGTH + EVENTS
# The answer, and how many of its last bytes an end by FIN may cut unseen: that
# tells nothing without a length.
ANSWERS = {
    'length': (WITH_LENGTH, 0),
    'length first': (OK + LENGTH[:-2] + HEADERS + b'\r\n' + EVENTS, 0),
    'empty': (OK + HEADERS + b'Content-Length: 0\r\n\r\n', 0),
    'chunks': (
        OK
        + HEADERS
        + b'Transfer-Encoding: chunked\r\n\r\n'
        + b'%x\r\n%b\r\n0\r\n\r\n' % (len(EVENTS), EVENTS),
        0,
    ),
    'no length': (OK + HEADERS + b'\r\n' + EVENTS, len(EVENTS)),
    'interim heads': (INTERIM % HEADERS + WITH_LENGTH, 0),
    'interim head of the same form': (
        b'HTTP/1.1 102 Processing\r\n' + HEADERS + LENGTH + WITH_LENGTH,
        0,
    ),
    'another answer before': (STRAY + WITH_LENGTH, 0),
    'closes': (OK + b'Connection: close\r\n' + WITH_LENGTH[len(OK) :], 0),
    'HTTP/1.0': (b'HTTP/1.0' + WITH_LENGTH[len(b'HTTP/1.1') :], 0),
}
NO_HEADERS = (OK + b'\r\n', OK + b'\r\n' + EVENTS, b'HTTP/1.1 200\r\n\r\n')
RESET = ConnectionResetError()
ENDS = {'FIN': None, 'reset': RESET}


class Transport(asyncio.Transport):
    """Records whether the connection was closed."""

    is_aborted = False
    unsent_bytes = 0

    def write(self, data):
        """Drop the request."""

    def get_write_buffer_size(self):
        return self.unsent_bytes

    def is_closing(self):
        return self.is_aborted

    def abort(self):
        self.is_aborted = True


class Sink(upstream.EventSink):
    """Ignores the events of a stream."""

    def forward(self, event, upstream_request):
        """Ignore the event."""


def ignore(statement):
    """Ignore a statement."""


def make_upstream(cls):
    if issubclass(cls, upstream.UpstreamStream):
        return cls(ATTEMPT, ignore, Sink())
    return cls(ATTEMPT, ignore)


async def is_whole(answer):
    """Return whether a request counts as answered, None if it has no end."""
    if isinstance(answer, json_answers.JsonAnswer):
        if not answer.done.done():
            return None
        try:
            await answer.parse()
        except json_answers.AnswerError:
            return False
        return True
    if not answer.ended.done():
        return None
    return answer.ended.result() is upstream.Outcome.COMPLETE


def feed(connection, received, piece_bytes, error):
    """Deliver what is received, and the end if nothing more is expected."""
    for start in range(0, len(received), piece_bytes):
        connection.data_received(received[start : start + piece_bytes])
    if not connection.transport.is_closing():
        if error is None:
            connection.eof_received()
        connection.connection_lost(error)


HANDLERS = {
    'answer': lambda: make_upstream(upstream.UpstreamRequest),
    'stream': lambda: make_upstream(upstream.UpstreamStream),
    'answer of a node': lambda: make_upstream(peer_sender.PeerAnswer),
    'stream of a node': lambda: make_upstream(peer_sender.PeerStream),
    'page': json_answers.make_page_answer,
    'report': json_answers.make_report_answer,
}


JSON_HANDLERS = frozenset(('page', 'report'))
CASES = [
    (kind, handler)
    for kind in ANSWERS
    for handler in HANDLERS
    # Connections of stores and reports carry no other answers.
    if kind != 'another answer before' or handler not in JSON_HANDLERS
]


@pytest.mark.parametrize('uses_before', [0, 2])
@pytest.mark.parametrize(('kind', 'handler'), CASES)
def test_an_answer_cut_at_any_byte_is_not_whole(kind, handler, uses_before):
    """A part of it would reach the caller as a whole one, perhaps empty."""
    sent, unseen_bytes = ANSWERS[kind]
    if unseen_bytes and handler not in JSON_HANDLERS:
        # An end right behind the head is seen.
        unseen_bytes -= 1

    async def receive(size, piece_bytes, error):
        connection = client.Connection()
        connection.connection_made(Transport())
        for _ in range(uses_before):
            before = HANDLERS[handler]()
            connection.send(b'', before, lambda idle: None)
            connection.data_received(WITH_LENGTH)
            assert await is_whole(before) and connection.is_open
        answer = HANDLERS[handler]()
        connection.send(b'', answer, lambda idle: None)
        feed(connection, sent[:size], piece_bytes, error)
        return await is_whole(answer)

    async def main():
        for piece_bytes in (len(sent), 1):
            for size in range(len(sent)):
                assert await receive(size, piece_bytes, RESET) is False
            for size in range(len(sent) - unseen_bytes):
                assert await receive(size, piece_bytes, None) is False
            assert await receive(len(sent), piece_bytes, None)
            is_marked = kind != 'no length'
            assert await receive(len(sent), piece_bytes, RESET) is is_marked

    asyncio.run(main())


@pytest.mark.parametrize('error', ENDS.values(), ids=ENDS)
@pytest.mark.parametrize('handler', ['answer', 'stream', 'answer of a node'])
@pytest.mark.parametrize('sent', NO_HEADERS)
def test_a_head_without_headers_answers_nobody(sent, handler, error):
    async def main():
        for size in range(len(sent) + 1):
            connection = client.Connection()
            connection.connection_made(Transport())
            answer = HANDLERS[handler]()
            connection.send(b'', answer, lambda idle: None)
            feed(connection, sent[:size], 1000, error)
            assert await is_whole(answer) is False

    asyncio.run(main())


@pytest.mark.parametrize('error', ENDS.values(), ids=ENDS)
def test_a_cut_answer_to_a_body_half_sent_is_not_whole(error):
    """The endpoint answers early; the rest of the body is still unsent."""

    async def main():
        for size in range(len(WITH_LENGTH) + 1):
            connection = client.Connection()
            connection.connection_made(Transport())
            connection.transport.unsent_bytes = 5000
            answer = HANDLERS['answer']()
            reused = []
            connection.send(b'', answer, reused.append)
            feed(connection, WITH_LENGTH[:size], 1000, error)
            assert await is_whole(answer) is (size == len(WITH_LENGTH))
            assert not reused

    asyncio.run(main())
