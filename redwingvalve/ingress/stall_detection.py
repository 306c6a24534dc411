"""Which heads have fallen silent, from the streams that they write.

Load pattern: a member of a replica dies and its head stands still for
seconds, with all its connections open, and takes new requests meanwhile.
Streams get an event every few dozen milliseconds, so that silence of all of a
head's streams shows the loss for nothing, and long before a heartbeat lapses.

A long prompt holds all streams of a head up for as long as it takes to read;
so the bound grows by the reading time of the prompts sent there lately. A
pause of this process looks like silence of all heads: looks that come late
don't count the time in between.
"""

import collections

import attrs

MIN_CHECK_INTERVAL_S = 0.025
# No stream that begins after a look is silent for too long before this.
MAX_CHECK_INTERVAL_S = 0.1
# A look that is this late was held up with the whole process.
LATE_CHECK_S = 0.05
# Silence for this many usual pauses between events; below three, the
# variation of step times raises false alarms.
STALL_INTERVALS = 3.0
# Below this, delays of the network and of timers raise false alarms.
MIN_STALL_S = 0.1
# Prompts that other nodes may have sent to the same head at the same moment,
# each as long as nine in ten are at most.
OTHER_PROMPT_COUNT = 2
PROMPT_SAMPLES = 40
# Network both ways, waiting for the pass that is under way, and for a place
# at a head that other nodes have filled meanwhile.
FIRST_EVENT_ALLOWANCE_S = 0.3
# A head that was found sound is slow, not lost: for some seconds its bound is
# wider, and wider still if it falls silent by that bound too. Else it is taken
# out of use again and again, and its requests fill the others until those are
# slow too.
SLOW_FACTOR = 3.0
MAX_SLOW_FACTOR = 27.0
SLOW_DURATION_S = 6.0
# All nodes find out about the same silence within this.
SAME_STALL_S = 0.4


class PromptReadTimes:
    """How long endpoints read the prompts of one model, lately."""

    def __init__(self) -> None:
        """Start without prompts."""
        self._samples_s: collections.deque[float] = collections.deque(
            maxlen=PROMPT_SAMPLES
        )

    def observe(self, prompt_s: float) -> None:
        """Take one more prompt, in seconds of reading."""
        self._samples_s.append(prompt_s)

    def other_prompts_s(self) -> float:
        """Return what the prompts of other nodes may hold a head up."""
        if not self._samples_s:
            return 0
        largest = sorted(self._samples_s)[len(self._samples_s) * 9 // 10]
        return OTHER_PROMPT_COUNT * largest


@attrs.define(eq=False)
class MonitoredStream:
    """One stream at a head; its owner notes each event."""

    head: str
    sent_s: float
    # Seconds that reading its prompt takes.
    prompt_s: float
    # Seconds between two events.
    pause_s: float
    # Seconds that reading other nodes' prompts may take.
    other_prompts_s: float = 0.0
    has_started: bool = False
    # While the caller doesn't read, nothing can be said about the head.
    is_paused: bool = False


@attrs.frozen
class StalledHead:
    """A head from which nothing came for too long."""

    head: str
    # Streams that had begun have stopped; else the head may be full or slow.
    has_started: bool


@attrs.define(eq=False)
class _HeadState:
    last_event_s: float
    streams: dict[int, MonitoredStream] = attrs.field(factory=dict)

    def active(self) -> list[MonitoredStream]:
        """Return the streams whose callers read."""
        return [one for one in self.streams.values() if not one.is_paused]


@attrs.define
class _SlowHead:
    factor: float
    # When its bound was widened last, and until when it is wider.
    since_s: float
    until_s: float


class StallDetector:
    """Looks at all streams of this node."""

    def __init__(self) -> None:
        """Start without streams."""
        self._heads: dict[str, _HeadState] = {}
        # When the next look is due; None while there is nothing to look at.
        self._next_check_s: float | None = None
        self._slow_heads: dict[str, _SlowHead] = {}

    def add(self, stream: MonitoredStream) -> None:
        """Look at a stream from now on."""
        head = self._heads.get(stream.head)
        if head is None:
            head = _HeadState(stream.sent_s)
            self._heads[stream.head] = head
        head.streams[id(stream)] = stream

    def remove(self, stream: MonitoredStream) -> None:
        """Look at a stream no more."""
        head = self._heads.get(stream.head)
        if head is None:
            return
        head.streams.pop(id(stream), None)
        if not head.streams:
            self._heads.pop(stream.head)

    def record_event(self, stream: MonitoredStream, now_s: float) -> None:
        """Note that a head has written an event."""
        stream.has_started = True
        head = self._heads.get(stream.head)
        if head is not None:
            head.last_event_s = now_s

    def mark_slow(self, head: str, now_s: float) -> None:
        """Allow a head more time: it was silent, but nothing is lost."""
        # Forgotten here: requests look at all slow heads.
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
        """Return whether a head was silent lately and is not lost."""
        slow = self._slow_heads.get(head)
        return slow is not None and slow.until_s > now_s

    def slow_heads(self, now_s: float) -> frozenset[str]:
        """Return the heads that were silent lately and are not lost."""
        return frozenset(
            head for head in self._slow_heads if self.is_slow(head, now_s)
        )

    @property
    def is_idle(self) -> bool:
        """Return whether no stream is looked at."""
        return not self._heads

    def find_stalled(self, now_s: float) -> list[StalledHead]:
        """Return the heads that are silent for too long."""
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
        pause_s = max(min(left_s.values()), MIN_CHECK_INTERVAL_S)
        self._next_check_s = now_s + min(pause_s, MAX_CHECK_INTERVAL_S)
        return [
            StalledHead(name, any(one.has_started for one in head.active()))
            for name, head in self._heads.items()
            if left_s[name] < 0
        ]

    def time_to_next_check_s(self, now_s: float) -> float:
        """Return the time until the next look is due."""
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
    """Return for how long a head may still be silent; negative if too long."""
    active = head.active()
    if not active:
        return MAX_CHECK_INTERVAL_S
    started = [stream for stream in active if stream.has_started]
    if not started:
        return min(
            _first_event_time_left_s(one, head, now_s, factor) for one in active
        )
    prompt_read_s = sum(
        stream.prompt_s for stream in active if not stream.has_started
    )
    started_stream = started[0]
    bound_s = max(MIN_STALL_S, STALL_INTERVALS * started_stream.pause_s)
    bound_s += prompt_read_s + started_stream.other_prompts_s
    return head.last_event_s + bound_s * factor - now_s


def _first_event_time_left_s(
    stream: MonitoredStream, head: _HeadState, now_s: float, factor: float
) -> float:
    bound_s = FIRST_EVENT_ALLOWANCE_S + STALL_INTERVALS * stream.pause_s
    bound_s += stream.prompt_s + stream.other_prompts_s
    since_s = max(stream.sent_s, head.last_event_s)
    return since_s + bound_s * factor - now_s
