"""Which streams are taken for stalled, and which only look so."""

import pytest

from redwingvalve.retries import stalls


class Streams:
    """Streams of some replicas that get their tokens look by look."""

    def __init__(self, count, **more):
        self.now_s = 0.0
        self.detector = stalls.make_stall_detector()
        self.pulses = [
            stalls.MonitoredStream(f'r{number % 3}', **more)
            for number in range(count)
        ]
        for pulse in self.pulses:
            self.detector.add(pulse)

    def go_on(self, looks, tokens=10, quiet=()):
        """Give every stream tokens a look, but for quiet ones."""
        found = []
        for _ in range(looks):
            for pulse in self.pulses:
                pulse.tokens += 0 if pulse in quiet else tokens
            self.now_s += stalls.CHECK_INTERVAL_S
            found += self.detector.check(self.now_s)
        return found


def test_a_stream_without_tokens_is_found_after_the_floor():
    """A replica hangs while its connection stands; its peers go on."""
    streams = Streams(6)
    assert not streams.go_on(20)
    hung = streams.pulses[0]
    assert not streams.go_on(8, quiet=(hung,))
    assert streams.go_on(1, quiet=(hung,)) == [hung]


def test_a_straggler_is_slow_and_not_stalled():
    """A replica gives a token a second, fifty times slower than usual.

    Its stream is quiet for several looks again and again; taking it for
    stalled would recompute its prompt elsewhere every few seconds.
    """
    streams = Streams(2)
    slow = streams.pulses[1]
    streams.go_on(12)
    found = []
    for gap_looks in (2, 3, 4, *[4] * 30, *[10] * 3):
        found += streams.go_on(gap_looks - 1, quiet=(slow,))
        found += streams.go_on(1, tokens=1)
    assert not found


def test_a_pause_of_the_entry_is_not_a_stall_of_every_stream():
    """The process stands still for a minute; no byte could be read."""
    streams = Streams(6)
    streams.go_on(12)
    streams.now_s += 60.0
    assert not streams.go_on(4, quiet=streams.pulses)


def test_a_caller_that_reads_slowly_stalls_nobody():
    """The entry waits for the caller and so doesn't read the replica."""
    streams = Streams(2)
    streams.go_on(12)
    streams.pulses[0].is_paused = True
    assert not streams.go_on(40, quiet=(streams.pulses[0],))


@pytest.mark.parametrize(('prompt', 'looks'), [(0, 26), (20_000, 66)])
def test_a_first_token_may_take_longer_for_a_longer_prompt(prompt, looks):
    streams = Streams(1, prompt_tokens=prompt)
    assert not streams.go_on(looks - 1, quiet=streams.pulses)
    assert streams.go_on(1, quiet=streams.pulses) == streams.pulses
