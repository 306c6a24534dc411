"""Detects stalled streams: no token for far longer than the typical gap.

Load pattern: a replica hangs (a paused VM, a blocked collective operation, a
cut cable) while its connections remain open. Without stall detection its
callers get nothing until their deadlines, half a minute later, although other
replicas could resume their streams.

The time limit is a multiple of the largest of three gaps: that of the stream,
of the streams of its replica and of all streams, so that a straggler is slow
and not stalled. A pause of this process looks like a stall of every stream, so
the time between two checks counts only up to MAX_COUNTED_INTERVAL_S. Time in
which the caller doesn't read is not counted.
"""

import math

import attrs

CHECK_INTERVAL_S = 0.25
# After a longer interval between checks, the whole process was paused.
MAX_COUNTED_INTERVAL_S = 2 * CHECK_INTERVAL_S
# The default target for the gap between tokens, until gaps are observed.
INITIAL_GAP_S = 0.06
INITIAL_FIRST_TOKEN_S = 0.3
# With a fifth per check, one second of checks shows a straggler, and no single
# gap changes the average by more than a fifth.
GAP_AVERAGE_STEP = 0.2
MAX_GAP_RATIO = 2.0
TYPICAL_AVERAGE_STEP = 0.05
PREFILL_TOKENS_PER_S = 20000.0


@attrs.frozen
class StallSettings:
    """Settings for operators; see docs/operating/who-is-served.md.

    The minimum of 2 s is longer than a prompt of 30,000 tokens delays the rest
    of its batch; a false alarm costs one recomputed prompt.
    """

    gap_multiple: float = 30.0
    min_quiet_s: float = 2.0
    first_token_multiple: float = 10.0
    min_first_token_s: float = 6.0


@attrs.define(eq=False)
class MonitoredStream:
    """One active stream; its relay sets tokens and is_paused.

    is_paused is true while the relay waits for the caller. stalled is set when
    the stream is given up, never while it is paused.
    """

    replica: str
    prompt_tokens: float = 0.0
    tokens: int = 0
    is_paused: bool = False
    stalled: bool = False
    idle_s: float = 0.0
    gap_s: float = INITIAL_GAP_S
    counted_tokens: int = 0


class StallDetector:
    """Monitors the streams of one deployment at an entry."""

    def __init__(self, settings: StallSettings | None = None) -> None:
        """Start without streams."""
        self._settings = settings or StallSettings()
        self._streams: dict[int, MonitoredStream] = {}
        self._checked_at_s: float | None = None
        self._typical_gap_s = INITIAL_GAP_S
        self._typical_first_token_s = INITIAL_FIRST_TOKEN_S

    def add(self, stream: MonitoredStream) -> None:
        """Monitor a stream."""
        self._streams[id(stream)] = stream

    def remove(self, stream: MonitoredStream) -> None:
        """Stop monitoring a stream."""
        self._streams.pop(id(stream), None)

    def check(self, now_s: float) -> list[MonitoredStream]:
        """Return the streams whose time without a token exceeds their limit."""
        elapsed_s = 0.0
        if self._checked_at_s is not None:
            elapsed_s = min(now_s - self._checked_at_s, MAX_COUNTED_INTERVAL_S)
        self._checked_at_s = now_s
        for observed in self._streams.values():
            self._observe(observed, elapsed_s)
        gaps_s = self._replica_gaps()
        return [
            stream
            for stream in self._streams.values()
            if stream.idle_s > self._limit_s(stream, gaps_s)
        ]

    def _observe(self, stream: MonitoredStream, elapsed_s: float) -> None:
        received = stream.tokens - stream.counted_tokens
        if stream.is_paused:
            stream.idle_s = 0.0
            stream.counted_tokens = stream.tokens
            return
        stream.idle_s += elapsed_s
        if not received:
            return
        if stream.counted_tokens:
            self._learn_gap(stream, stream.idle_s / received)
        else:
            first_s = min(
                stream.idle_s, MAX_GAP_RATIO * self._typical_first_token_s
            )
            self._typical_first_token_s += TYPICAL_AVERAGE_STEP * (
                first_s - self._typical_first_token_s
            )
        stream.idle_s = 0.0
        stream.counted_tokens = stream.tokens

    def _learn_gap(self, stream: MonitoredStream, gap_s: float) -> None:
        bounded_s = min(gap_s, MAX_GAP_RATIO * stream.gap_s)
        stream.gap_s += GAP_AVERAGE_STEP * (bounded_s - stream.gap_s)
        bounded_s = min(gap_s, MAX_GAP_RATIO * self._typical_gap_s)
        self._typical_gap_s += TYPICAL_AVERAGE_STEP * (
            bounded_s - self._typical_gap_s
        )

    def _replica_gaps(self) -> dict[str, float]:
        """Return the largest mean gap of the streams of each replica."""
        gaps_s: dict[str, float] = {}
        for stream in self._streams.values():
            known_s = gaps_s.get(stream.replica, 0.0)
            gaps_s[stream.replica] = max(known_s, stream.gap_s)
        return gaps_s

    def _limit_s(
        self, stream: MonitoredStream, gaps_s: dict[str, float]
    ) -> float:
        settings = self._settings
        if not stream.tokens:
            usual_s = (
                settings.first_token_multiple * self._typical_first_token_s
            )
            prompt_s = stream.prompt_tokens / PREFILL_TOKENS_PER_S
            return max(usual_s, settings.min_first_token_s) + (
                settings.first_token_multiple * prompt_s
            )
        gap_s = max(self._typical_gap_s, gaps_s.get(stream.replica, math.inf))
        return max(settings.gap_multiple * gap_s, settings.min_quiet_s)


def make_stall_detector(settings: StallSettings | None = None) -> StallDetector:
    """Return the detector of one deployment at an entry."""
    return StallDetector(settings)
