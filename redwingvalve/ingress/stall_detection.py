"""Detects stalled heads from the streams that they write.

Load pattern: a member of a replica dies; the replica's head stalls for
seconds with all its connections open and still accepts requests. Streams get
an event every few dozen milliseconds, so that a stall of all streams of a head
shows the loss without extra traffic, and long before a heartbeat expires.

A long prompt delays all streams of a head while it is read, so the time limit
grows by the read time of the prompts sent there recently. A pause of this
process looks like a stall of all heads, so the time before a late check
doesn't count.
"""

import collections

import attrs

MIN_CHECK_INTERVAL_S = 0.025
# A stream that starts after a check can't reach its time limit earlier.
MAX_CHECK_INTERVAL_S = 0.1
# A check that is later than this means that the whole process was paused.
LATE_CHECK_S = 0.05
# Time limit in usual intervals between events; below three, the variation of
# step times raises false alarms.
STALL_INTERVALS = 3.0
# Below this limit, network and timer delays raise false alarms.
MIN_STALL_S = 0.1
# Prompts that other nodes may have sent to the same head at the same moment;
# each is assumed to take the 90th percentile of the recent read times.
OTHER_PROMPT_COUNT = 2
PROMPT_SAMPLES = 40
# Allows for the network round trip, the forward pass in progress, and the wait
# for a slot at a head that other nodes have filled in the meantime.
FIRST_EVENT_ALLOWANCE_S = 0.3
# A stalled head that turns out to be healthy is slow, not lost: for
# SLOW_DURATION_S its time limit is multiplied by SLOW_FACTOR, and again if it
# exceeds that limit too. Otherwise it would be taken out of use repeatedly,
# and its requests would overload the other heads until those are slow too.
SLOW_FACTOR = 3.0
MAX_SLOW_FACTOR = 27.0
SLOW_DURATION_S = 6.0
# Reports from several nodes within this time are about the same stall.
SAME_STALL_S = 0.4


class PromptReadTimes:
    """Recent prompt read times of one model."""

    def __init__(self) -> None:
        """Start without samples."""
        self._samples_s: collections.deque[float] = collections.deque(
            maxlen=PROMPT_SAMPLES
        )

    def observe(self, prompt_read_s: float) -> None:
        """Add the read time of one prompt, in seconds."""
        self._samples_s.append(prompt_read_s)

    def other_prompts_s(self) -> float:
        """Return how long prompts of other nodes may delay a head."""
        if not self._samples_s:
            return 0
        largest = sorted(self._samples_s)[len(self._samples_s) * 9 // 10]
        return OTHER_PROMPT_COUNT * largest


@attrs.define(eq=False)
class MonitoredStream:
    """One stream at a head; its owner records each event."""

    head: str
    sent_s: float
    # Time to read the prompt of the stream.
    prompt_read_s: float
    # Usual interval between two events.
    event_interval_s: float
    # Time in which the head may read prompts of other nodes.
    other_prompts_s: float = 0.0
    has_started: bool = False
    # A stream that is paused by flow control tells nothing about its head.
    is_paused: bool = False


@attrs.frozen
class StalledHead:
    """A head that exceeded its time limit without an event."""

    head: str
    # Whether started streams stopped; otherwise the head may be full or slow.
    has_started: bool


@attrs.define(eq=False)
class _HeadState:
    last_event_s: float
    streams: dict[int, MonitoredStream] = attrs.field(factory=dict)

    def active(self) -> list[MonitoredStream]:
        """Return the streams that aren't paused by flow control."""
        return [one for one in self.streams.values() if not one.is_paused]


@attrs.define
class _SlowHead:
    factor: float
    # When the factor was last raised, and until when it applies.
    since_s: float
    until_s: float


class StallDetector:
    """Monitors all streams of this node."""

    def __init__(self) -> None:
        """Start without streams."""
        self._heads: dict[str, _HeadState] = {}
        # None while no stream is monitored.
        self._next_check_s: float | None = None
        self._slow_heads: dict[str, _SlowHead] = {}

    def add(self, stream: MonitoredStream) -> None:
        """Start to monitor a stream."""
        head = self._heads.get(stream.head)
        if head is None:
            head = _HeadState(stream.sent_s)
            self._heads[stream.head] = head
        head.streams[id(stream)] = stream

    def remove(self, stream: MonitoredStream) -> None:
        """Stop monitoring a stream."""
        head = self._heads.get(stream.head)
        if head is None:
            return
        known = head.streams.pop(id(stream), None)
        if known is not None and not head.streams:
            self._heads.pop(stream.head)

    def record_event(self, stream: MonitoredStream, now_s: float) -> None:
        """Restart the time limit of a stream's head."""
        stream.has_started = True
        head = self._heads.get(stream.head)
        if head is not None and id(stream) in head.streams:
            head.last_event_s = now_s

    def mark_slow(self, head: str, now_s: float) -> None:
        """Raise the time limit of a head that stalled but is healthy."""
        # Expired entries are dropped here because each request reads them all.
        self._slow_heads = {
            name: one
            for name, one in self._slow_heads.items()
            if one.until_s > now_s
        }
        slow = self._slow_heads.get(head)
        if slow is None:
            self._slow_heads[head] = _SlowHead(
                SLOW_FACTOR, now_s, now_s + SLOW_DURATION_S
            )
            return
        slow.until_s = now_s + SLOW_DURATION_S
        if now_s - slow.since_s > SAME_STALL_S:
            slow.since_s = now_s
            slow.factor = min(slow.factor * SLOW_FACTOR, MAX_SLOW_FACTOR)

    def is_slow(self, head: str, now_s: float) -> bool:
        """Return whether a head stalled recently and is not lost."""
        slow = self._slow_heads.get(head)
        return slow is not None and slow.until_s > now_s

    def slow_heads(self, now_s: float) -> frozenset[str]:
        """Return the heads that stalled recently and are not lost."""
        return frozenset(
            head for head in self._slow_heads if self.is_slow(head, now_s)
        )

    def forget(self, head: str) -> bool:
        """Forget a head whose process has restarted, and its streams.

        Streams of the previous process get no further event. Return whether
        there were any.
        """
        self._slow_heads.pop(head, None)
        return self._heads.pop(head, None) is not None

    @property
    def is_idle(self) -> bool:
        """Return whether no stream is monitored."""
        return not self._heads

    def find_stalled(self, now_s: float) -> list[StalledHead]:
        """Return the heads that exceeded their time limit."""
        expected_check_s = self._next_check_s
        self._next_check_s = None
        if self.is_idle:
            return []
        if (
            expected_check_s is not None
            and now_s - expected_check_s > LATE_CHECK_S
        ):
            self._restart_timers(now_s)
        left_s = {
            name: _time_left_s(head, now_s, self._slow_factor(name, now_s))
            for name, head in self._heads.items()
        }
        delay_s = max(min(left_s.values()), MIN_CHECK_INTERVAL_S)
        self._next_check_s = now_s + min(delay_s, MAX_CHECK_INTERVAL_S)
        return [
            StalledHead(name, any(one.has_started for one in head.active()))
            for name, head in self._heads.items()
            if left_s[name] < 0
        ]

    def time_to_next_check_s(self, now_s: float) -> float:
        """Return the time until the next check is due."""
        if self._next_check_s is None:
            return MAX_CHECK_INTERVAL_S
        return max(self._next_check_s - now_s, 0)

    def _slow_factor(self, head: str, now_s: float) -> float:
        return (
            self._slow_heads[head].factor if self.is_slow(head, now_s) else 1.0
        )

    def _restart_timers(self, now_s: float) -> None:
        for head in self._heads.values():
            head.last_event_s = now_s
            for stream in head.streams.values():
                stream.sent_s = max(
                    stream.sent_s, now_s - FIRST_EVENT_ALLOWANCE_S
                )


def _time_left_s(head: _HeadState, now_s: float, factor: float) -> float:
    """Return the time until a head counts as stalled; negative if it does."""
    active = head.active()
    if not active:
        return MAX_CHECK_INTERVAL_S
    started = [stream for stream in active if stream.has_started]
    if not started:
        return min(
            _first_event_time_left_s(one, head, now_s, factor) for one in active
        )
    pending_prompts_s = sum(
        stream.prompt_read_s for stream in active if not stream.has_started
    )
    started_stream = started[0]
    bound_s = max(
        MIN_STALL_S, STALL_INTERVALS * started_stream.event_interval_s
    )
    bound_s += pending_prompts_s + started_stream.other_prompts_s
    return head.last_event_s + bound_s * factor - now_s


def _first_event_time_left_s(
    stream: MonitoredStream, head: _HeadState, now_s: float, factor: float
) -> float:
    bound_s = (
        FIRST_EVENT_ALLOWANCE_S + STALL_INTERVALS * stream.event_interval_s
    )
    bound_s += stream.prompt_read_s + stream.other_prompts_s
    since_s = max(stream.sent_s, head.last_event_s)
    return since_s + bound_s * factor - now_s
