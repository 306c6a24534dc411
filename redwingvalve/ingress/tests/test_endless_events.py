"""Streams whose events have no end, without a network."""

import anyio
import pytest

from redwingvalve.http1 import messages, response_limits
from redwingvalve.ingress import events, upstream
from redwingvalve.observability import node_metrics

HEADERS = [(b'x-attempt-id', b'a'), (b'x-server-seal', b's')]
PIECE = b'data: ' + b'x' * 65_530


class Sink:
    def __init__(self):
        self.forwarded_bytes = 0

    def forward(self, event, upstream_request):
        self.forwarded_bytes += len(event.raw)


async def receive(piece, sink, status=200):
    stream = upstream.UpstreamStream(b'a', lambda statement: None, sink)
    stream.head_received(messages.ResponseHead(status, HEADERS, True))
    for _ in range(64):
        stream.body_received(piece)
    return stream


@pytest.mark.parametrize('ending', [b'\n', b'\n\n'])
def test_only_an_event_without_end_breaks_a_stream(ending):
    """It was held in memory until the request's deadline."""
    before = node_metrics.METRICS.value(
        'redwingvalve_answers_over_limit', limit='event'
    )

    async def main():
        sink = Sink()
        stream = await receive(PIECE + ending, sink)
        if ending == b'\n\n':
            assert not stream.ended.done()
            assert sink.forwarded_bytes == 64 * (len(PIECE) + 2)
            return
        assert stream.ended.result() is upstream.Outcome.BROKEN
        assert stream.reason == f'event over {events.MAX_EVENT_BYTES} bytes'
        counted = node_metrics.METRICS.value(
            'redwingvalve_answers_over_limit', limit='event'
        )
        assert (counted, sink.forwarded_bytes) == (before + 1, 0)

    anyio.run(main)


def test_only_streams_pass_without_a_limit():
    """The body of an error is held in memory, also on stream routes."""

    async def main():
        limits = response_limits.DEFAULT
        stream = await receive(PIECE + b'\n\n', Sink())
        failure = await receive(b'x', Sink(), status=500)
        assert stream.max_body_bytes(limits) is None
        assert failure.max_body_bytes(limits) == limits.body_bytes

    anyio.run(main)
