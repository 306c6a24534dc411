"""Answers whose status HTTP doesn't define, fed without a network."""

import pytest

from redwingvalve.http1.tests import test_endless_answers

ENDS = {
    'length': b'content-length: 2\r\n\r\nok',
    'chunks': b'transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n',
    'connection': b'\r\nok',
}


def receive(data):
    """Return the handler of an answer, after these bytes."""
    handler = test_endless_answers.Handler()
    test_endless_answers.connect(handler).data_received(data)
    return handler


@pytest.mark.parametrize('end', ENDS)
@pytest.mark.parametrize('status', [b'000', b'099', b'600', b'700', b'999'])
def test_an_undefined_status_is_no_answer(status, end):
    """Low ones were awaited like interim heads, high ones passed on."""
    handler = receive(b'HTTP/1.1 %b x\r\n%b' % (status, ENDS[end]))
    assert handler.ending and handler.head is None


@pytest.mark.parametrize('status', [b'100', b'103', b'199'])
def test_an_interim_head_is_still_none(status):
    handler = receive(b'HTTP/1.1 %b x\r\n\r\n' % status)
    assert handler.ending is None
