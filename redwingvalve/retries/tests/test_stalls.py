"""Streams that have stalled, and streams that are only slow or paused."""

import pytest

from redwingvalve.retries import stalls


class Streams:
    """Streams of three replicas that receive tokens between checks."""

    def __init__(self, count, **more):
        self.now_s = 0.0
        self.detector = stalls.make_stall_detector()
        self.streams = [
            stalls.MonitoredStream(f'r{number % 3}', **more)
            for number in range(count)
        ]
        for stream in self.streams:
            self.detector.add(stream)

    def advance(self, checks, tokens=10, silent=()):
        """Add tokens before each check to all streams but the silent ones."""
        found = []
        for _ in range(checks):
            for stream in self.streams:
                stream.tokens += 0 if stream in silent else tokens
            self.now_s += stalls.CHECK_INTERVAL_S
            found += self.detector.check(self.now_s)
        return found


def test_a_stream_without_tokens_is_stalled_after_the_minimum_time():
    """A replica hangs with an open connection; the others continue."""
    streams = Streams(6)
    assert not streams.advance(20)
    hung = streams.streams[0]
    assert not streams.advance(8, silent=(hung,))
    assert streams.advance(1, silent=(hung,)) == [hung]


def test_a_straggler_is_slow_and_not_stalled():
    """A replica emits a token a second, fifty times slower than usual.

    Its stream repeatedly has no token for several checks; if it counted as
    stalled, its prompt would be recomputed elsewhere every few seconds.
    """
    streams = Streams(2)
    slow = streams.streams[1]
    streams.advance(12)
    found = []
    for gap_checks in (2, 3, 4, *[4] * 30, *[10] * 3):
        found += streams.advance(gap_checks - 1, silent=(slow,))
        found += streams.advance(1, tokens=1)
    assert not found


def test_a_pause_of_the_process_is_no_stall():
    """The process is paused for a minute and reads nothing in that time."""
    streams = Streams(6)
    streams.advance(12)
    streams.now_s += 60.0
    assert not streams.advance(4, silent=streams.streams)


def test_a_slow_caller_is_no_stall():
    """While the entry waits for the caller, it doesn't read the replica."""
    streams = Streams(2)
    streams.advance(12)
    streams.streams[0].is_paused = True
    assert not streams.advance(40, silent=(streams.streams[0],))


@pytest.mark.parametrize(('prompt', 'checks'), [(0, 26), (20_000, 66)])
def test_a_first_token_may_take_longer_for_a_longer_prompt(prompt, checks):
    streams = Streams(1, prompt_tokens=prompt)
    assert not streams.advance(checks - 1, silent=streams.streams)
    assert streams.advance(1, silent=streams.streams) == streams.streams
