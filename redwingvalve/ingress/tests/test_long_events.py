"""Events that are cut into many chunks, or hold many lines."""

import time

import hypothesis
import pytest
from hypothesis import strategies

from redwingvalve.ingress import events

STEP_S = 0.05


@pytest.mark.parametrize('piece', [b'x', b'\r', b'x\n', b'id:', b'\nid:\r'])
def test_work_is_linear_in_the_bytes_of_an_event_without_end(piece):
    """An answer in chunks of one byte stopped the process for 20 s."""
    splitter = events.EventSplitter()
    started_s = time.process_time()
    for _ in range(100_000):
        splitter.feed(piece)
    assert time.process_time() - started_s < 1
    assert not splitter.is_between_events


@pytest.mark.parametrize('line', [b'x\n', b'id:', b'id:\r', b'id: \r', b'\r'])
def test_the_longest_event_takes_one_short_step(line):
    """Reading the lines of a megabyte one by one took longer."""
    text = line * (events.MAX_EVENT_BYTES // len(line)) + b'\n\n'
    durations_s = []
    for _ in range(3):
        started_s = time.process_time()
        found = events.EventSplitter().feed(text)
        durations_s.append(time.process_time() - started_s)
    assert [event.number for event in found] == [None]
    assert min(durations_s) < STEP_S


@hypothesis.given(
    strategies.lists(
        strategies.sampled_from([b'\r', b'\n', b'id:', b'7', b' ', b'x'])
    ),
    strategies.integers(1, 7),
)
def test_any_bytes_are_split_the_same_way_however_they_are_cut(pieces, size):
    """Mixed line ends were split by what a chunk happened to hold."""
    text = b''.join(pieces)
    splitter = events.EventSplitter()
    found = []
    for start in range(0, len(text), size):
        found.extend(splitter.feed(text[start : start + size]))
    assert found == events.EventSplitter().feed(text)


@pytest.mark.parametrize(
    ('raw', 'number'),
    [
        (b'id: 12\ndata: x\n\n', 12),
        (b'data: id: 3\r\nid:4 \r\n\r\n', 4),
        (b'data: x\rid:\t5\r\r\n\n', 5),
        (b'id: x\nid: 6\n\n', 6),
        (b'\nid: 6\n\n', 6),
        (b'id : 7\n\n', None),
        (b'id: 7 8\n\n', None),
        (b'id: ' + b'9' * 5000 + b'\n\n', None),
    ],
)
def test_the_first_line_with_a_number_is_the_id(raw, number):
    assert events.EventSplitter().feed(raw) == [events.Event(raw, number)]
