"""Tests that logging does not block the process and limits its output."""

import json
import logging
import os
import time

import pytest
from pythonjsonlogger import json as json_logger

from redwingvalve.observability import bounded_logs


@pytest.fixture
def pipe():
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
    received = b''
    while True:
        try:
            chunk = os.read(reader, 1 << 20)
        except BlockingIOError:
            return received.splitlines()
        if not chunk:
            return received.splitlines()
        received += chunk


def test_full_pipe_drops_lines_without_blocking(pipe):
    logger, handler, reader = pipe
    for number in range(20_000):
        logger.warning('x' * 100 + str(number))
    assert handler.dropped > 0
    lines = read_lines(reader)
    handler.flush()
    lines += read_lines(reader)
    # Lines are complete even if the pipe accepted only part of one at first.
    assert all(line.startswith(b'x' * 100) for line in lines)


def test_only_routine_lines_are_rate_limited_and_counted(pipe):
    logger, handler, reader = pipe
    for _ in range(500):
        logger.info('answered', extra={bounded_logs.ROUTINE_ATTRIBUTE: True})
        logger.info('given up')
    lines = read_lines(reader)
    assert lines.count(b'given up') == 500
    written = lines.count(b'answered')
    # The limit applies per clock second; the test may span two of them.
    assert written <= 2 * bounded_logs.MAX_ROUTINE_LINES_PER_S
    assert written + handler.routine_dropped == 500


def test_lines_are_json_with_node_and_extra_fields():
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


def test_overlong_record_is_shortened_and_stays_valid_json(pipe):
    """A line truncated by the log collector cannot be parsed and is lost."""
    logger, handler, reader = pipe
    handler.setFormatter(json_logger.JsonFormatter('{message}', style='{'))
    heads = [f'endpoint-{number}' for number in range(2000)]
    logger.info('listed', extra={'heads': heads, 'request': 'r1'})
    [line] = read_lines(reader)
    entry = json.loads(line)
    assert len(line) < bounded_logs.MAX_LINE_BYTES
    assert entry['request'] == 'r1'
    assert entry['heads'].startswith('["endpoint-0", "endpoint-1"')
    assert entry['shortened'] == ['heads']


def test_overlong_line_that_is_not_json_is_truncated(pipe):
    logger, _, reader = pipe
    logger.info('x' * 20_000)
    [line] = read_lines(reader)
    assert len(line) < bounded_logs.MAX_LINE_BYTES


@pytest.mark.parametrize('count', [12, 1000])
def test_many_long_fields_are_shortened_in_linear_time(pipe, count):
    """All fields were encoded again for each one that was shortened."""
    logger, handler, reader = pipe
    handler.setFormatter(json_logger.JsonFormatter('{message}', style='{'))
    fields = {f'field_{one}': 'x' * 1000 for one in range(count)}
    started_s = time.process_time()
    logger.info('long', extra=fields)
    assert time.process_time() - started_s < 0.5
    [line] = read_lines(reader)
    assert len(line) < bounded_logs.MAX_LINE_BYTES
    if count == 12:
        assert len(json.loads(line)['shortened']) == 8
