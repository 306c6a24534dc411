"""Log lines neither block the process nor flood the reader."""

import json
import logging
import os

import pytest
from pythonjsonlogger import json as json_logger

from redwingvalve.observability import bounded_logs


@pytest.fixture
def piped():
    reader, writer = os.pipe()
    handler = bounded_logs.NonBlockingHandler(writer)
    logger = logging.getLogger('bounded-test')
    logger.setLevel('INFO')
    logger.propagate = False
    logger.addHandler(handler)
    yield logger, handler, reader
    logger.removeHandler(handler)
    os.close(reader)
    os.close(writer)


def read_lines(reader):
    os.set_blocking(reader, False)
    found = b''
    while True:
        try:
            chunk = os.read(reader, 1 << 20)
        except BlockingIOError:
            return found.splitlines()
        if not chunk:
            return found.splitlines()
        found += chunk


def test_a_full_pipe_drops_lines_and_does_not_block(piped):
    logger, handler, reader = piped
    for number in range(20_000):
        logger.warning('x' * 100 + str(number))
    assert handler.dropped > 0
    lines = read_lines(reader)
    handler.flush()
    lines += read_lines(reader)
    # What was kept is whole, also where the pipe took half a line.
    assert all(line.startswith(b'x' * 100) for line in lines)


def test_routine_lines_are_bounded_and_counted_and_failures_are_not(piped):
    logger, handler, reader = piped
    for _ in range(500):
        logger.info('answered', extra={bounded_logs.ROUTINE_ATTRIBUTE: True})
        logger.info('given up')
    lines = read_lines(reader)
    assert lines.count(b'given up') == 500
    written = lines.count(b'answered')
    # The bound holds for each second of the clock; two may be touched.
    assert written <= 2 * bounded_logs.MAX_ROUTINE_LINES_PER_S
    assert written + handler.routine_omitted == 500


def test_lines_are_json_with_the_node_and_the_inputs():
    reader, writer = os.pipe()
    handler = bounded_logs.configure('INFO', writer, 'node-1')
    logging.getLogger('redwingvalve.test').info(
        'refused',
        extra={'request': 'a1', bounded_logs.ROUTINE_ATTRIBUTE: False},
    )
    (line,) = read_lines(reader)
    entry = json.loads(line)
    assert entry['node'] == 'node-1' and entry['request'] == 'a1'
    assert bounded_logs.ROUTINE_ATTRIBUTE not in entry
    logging.getLogger('redwingvalve').removeHandler(handler)
    os.close(reader)
    os.close(writer)


def test_a_record_too_long_for_one_line_is_shortened_and_stays_readable(piped):
    """A line that the reader cuts can't be parsed, and its record is lost."""
    logger, handler, reader = piped
    handler.setFormatter(json_logger.JsonFormatter('{message}', style='{'))
    heads = [f'endpoint-{number}' for number in range(2000)]
    logger.info('listed', extra={'heads': heads, 'request': 'r1'})
    [line] = read_lines(reader)
    entry = json.loads(line)
    assert len(line) < bounded_logs.MAX_LINE_BYTES
    assert entry['request'] == 'r1'
    assert entry['heads'].startswith('["endpoint-0", "endpoint-1"')
    assert entry['shortened'] == ['heads']


def test_a_long_line_that_is_no_json_is_cut(piped):
    logger, _, reader = piped
    logger.info('x' * 20_000)
    [line] = read_lines(reader)
    assert len(line) < bounded_logs.MAX_LINE_BYTES
