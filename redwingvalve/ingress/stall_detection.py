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
LATE_LOOK_S = 0.05
# Silence for this many usual pauses between events; below three, the
# variation of step times raises false alarms.
PAUSES = 3.0
# Below this, delays of the network and of timers raise false alarms.
MIN_SILENCE_S = 0.1
# Prompts that other nodes may have sent to the same head at the same moment,
# each as long as nine in ten are at most.
OTHER_PROMPTS = 2
PROMPTS_KEPT = 40
# Network both ways, waiting for the pass that is under way, and for a place
# at a head that other nodes have filled meanwhile.
FIRST_EVENT_S = 0.3
# A head that was found sound is slow, not lost: for some seconds its bound is
# wider, and wider still if it falls silent by that bound too. Else it is taken
# out of use again and again, and its requests fill the others until those are
# slow too.
SLOW_FACTOR = 3.0
MOST_SLOW_FACTOR = 27.0
SLOW_S = 6.0
# All nodes find out about the same silence within this.
SAME_SILENCE_S = 0.4


class PromptReadTimes:
    """How long endpoints read the prompts of one model, lately."""

    def __init__(self) -> None:
        """Start without prompts."""
        self._seen_s: collections.deque[float] = collections.deque(
            maxlen=PROMPTS_KEPT
        )

    def observe(self, prompt_s: float) -> None:
        """Take one more prompt, in seconds of reading."""
        self._seen_s.append(prompt_s)

    def others_s(self) -> float:
        """Return what the prompts of other nodes may hold a head up."""
        if not self._seen_s:
            return 0
        largest = sorted(self._seen_s)[len(self._seen_s) * 9 // 10]
        return OTHER_PROMPTS * largest


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
    others_s: float = 0.0
    has_started: bool = False
    # While the caller doesn't read, nothing can be said about the head.
    is_held: bool = False


@attrs.frozen
class StalledHead:
    """A head from which nothing came for too long."""

    head: str
    # Streams that had begun have stopped; else the head may be full or slow.
    has_started: bool


@attrs.define(eq=False)
class _Head:
    last_event_s: float
    streams: dict[int, MonitoredStream] = attrs.field(factory=dict)

    def live(self) -> list[MonitoredStream]:
        """Return the streams whose callers read."""
        return [one for one in self.streams.values() if not one.is_held]


@attrs.define
class _Slow:
    factor: float
    # When its bound was widened last, and until when it is wider.
    since_s: float
    until_s: float


class StallDetector:
    """Looks at all streams of this node."""

    def __init__(self) -> None:
        """Start without streams."""
        self._heads: dict[str, _Head] = {}
        # When the next look is due; None while there is nothing to look at.
        self._due_s: float | None = None
        self._slow: dict[str, _Slow] = {}

    def add(self, pulse: MonitoredStream) -> None:
        """Look at a stream from now on."""
        head = self._heads.get(pulse.head)
        if head is None:
            head = _Head(pulse.sent_s)
            self._heads[pulse.head] = head
        head.streams[id(pulse)] = pulse

    def remove(self, pulse: MonitoredStream) -> None:
        """Look at a stream no more."""
        head = self._heads.get(pulse.head)
        if head is None:
            return
        head.streams.pop(id(pulse), None)
        if not head.streams:
            self._heads.pop(pulse.head)

    def record_event(self, pulse: MonitoredStream, now_s: float) -> None:
        """Note that a head has written an event."""
        pulse.has_started = True
        head = self._heads.get(pulse.head)
        if head is not None:
            head.last_event_s = now_s

    def mark_slow(self, head: str, now_s: float) -> None:
        """Allow a head more time: it was silent, but nothing is lost."""
        # Forgotten here: requests look at all slow heads.
        self._slow = {
            name: one for name, one in self._slow.items() if one.until_s > now_s
        }
        slow = self._slow.get(head)
        if slow is None:
            self._slow[head] = _Slow(SLOW_FACTOR, now_s, now_s + SLOW_S)
            return
        slow.until_s = now_s + SLOW_S
        if now_s - slow.since_s > SAME_SILENCE_S:
            slow.since_s = now_s
            slow.factor = min(slow.factor * SLOW_FACTOR, MOST_SLOW_FACTOR)

    def is_slow(self, head: str, now_s: float) -> bool:
        """Return whether a head was silent lately and is not lost."""
        slow = self._slow.get(head)
        return slow is not None and slow.until_s > now_s

    def slow_heads(self, now_s: float) -> frozenset[str]:
        """Return the heads that were silent lately and are not lost."""
        return frozenset(
            head for head in self._slow if self.is_slow(head, now_s)
        )

    @property
    def is_idle(self) -> bool:
        """Return whether no stream is looked at."""
        return not self._heads

    def find_stalled(self, now_s: float) -> list[StalledHead]:
        """Return the heads that are silent for too long."""
        due_s = self._due_s
        self._due_s = None
        if self.is_idle:
            return []
        if due_s is not None and now_s - due_s > LATE_LOOK_S:
            self._forgive(now_s)
        left_s = {
            name: _left_s(head, now_s, self._factor(name, now_s))
            for name, head in self._heads.items()
        }
        pause_s = max(min(left_s.values()), MIN_CHECK_INTERVAL_S)
        self._due_s = now_s + min(pause_s, MAX_CHECK_INTERVAL_S)
        return [
            StalledHead(name, any(one.has_started for one in head.live()))
            for name, head in self._heads.items()
            if left_s[name] < 0
        ]

    def time_to_next_check_s(self, now_s: float) -> float:
        """Return the time until the next look is due."""
        if self._due_s is None:
            return MAX_CHECK_INTERVAL_S
        return max(self._due_s - now_s, 0)

    def _factor(self, head: str, now_s: float) -> float:
        return self._slow[head].factor if self.is_slow(head, now_s) else 1.0

    def _forgive(self, now_s: float) -> None:
        for head in self._heads.values():
            head.last_event_s = now_s
            for pulse in head.streams.values():
                pulse.sent_s = max(pulse.sent_s, now_s - FIRST_EVENT_S)


def _left_s(head: _Head, now_s: float, factor: float) -> float:
    """Return for how long a head may still be silent; negative if too long."""
    live = head.live()
    if not live:
        return MAX_CHECK_INTERVAL_S
    begun = [pulse for pulse in live if pulse.has_started]
    if not begun:
        return min(_begin_left_s(one, head, now_s, factor) for one in live)
    reading_s = sum(pulse.prompt_s for pulse in live if not pulse.has_started)
    usual = begun[0]
    bound_s = max(MIN_SILENCE_S, PAUSES * usual.pause_s)
    bound_s += reading_s + usual.others_s
    return head.last_event_s + bound_s * factor - now_s


def _begin_left_s(
    pulse: MonitoredStream, head: _Head, now_s: float, factor: float
) -> float:
    bound_s = FIRST_EVENT_S + PAUSES * pulse.pause_s
    bound_s += pulse.prompt_s + pulse.others_s
    since_s = max(pulse.sent_s, head.last_event_s)
    return since_s + bound_s * factor - now_s
