"""One account of the bytes that a process holds for its callers and endpoints.

Load pattern: callers that don't behave send many long bodies at once, stop
just short of their ends, or don't read long answers, while others ask for
little. Without an account the process runs out of memory; with a single sum
the former use up what the latter need.

The account has a part for requests with long bodies, one for long answers, and
one for all that is short, so that neither of the first two keeps out ordinary
requests. What doesn't fit is refused or not read further. Under pressure a
part drops the slowest of those that have been on their way for a while; a part
that is empty takes anything, so that a single request always fits.
"""

import abc
import enum
import itertools
import math
import time
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.observability import node_metrics

# Less than this isn't counted for a single request: the number of connections
# bounds it.
GRAIN_BYTES: typing.Final = 4096
# Longer bodies and answers count as long ones.
SHORT_BYTES: typing.Final = 65_536
# Bytes that arrive, or are read, for longer than this count as slow below
# MIN_BYTES_PER_S.
SLOW_AFTER_S: typing.Final = 1.0
MIN_BYTES_PER_S: typing.Final = 65_536
# Of the memory of a process; the rest is for its code, its control and copies.
MEMORY_SHARE: typing.Final = 0.25
# The oldest holds that are compared when one has to go.
_COMPARED = 16
_BYTES_PER_MB = 1_048_576


class Part(enum.Enum):
    """What bytes are held for; the value is the share of the account."""

    SHORT = 0.2
    LONG_REQUESTS = 0.45
    LONG_ANSWERS = 0.35


class Holder(abc.ABC):
    """Holds bytes that it can give up."""

    @abc.abstractmethod
    def moved_bytes(self) -> int:
        """Return what has arrived, or was read, since the hold began."""

    @abc.abstractmethod
    def evict(self) -> None:
        """Give the bytes up at once, as others need the room."""


@attrs.define(eq=False)
class _PartState:
    max_bytes: float
    held_bytes: int = 0
    # Those that can be evicted, the oldest first.
    evictable: dict['Hold', None] = attrs.field(factory=dict)

    def has_room(self, size_bytes: int) -> bool:
        if not self.held_bytes:
            return True
        return self.held_bytes + size_bytes <= self.max_bytes

    def slowest(self, now_s: float, spared: 'Hold') -> 'Hold | None':
        """Return the slowest of the oldest holds that are slow."""
        found = None
        least = float(MIN_BYTES_PER_S)
        for hold in itertools.islice(self.evictable, _COMPARED):
            bytes_per_s = hold.bytes_per_s(now_s)
            if bytes_per_s < least and hold is not spared:
                least = bytes_per_s
                found = hold
        return found


class ByteAccount:
    """The bytes held by one process, in bounded parts."""

    def __init__(
        self,
        capacity_bytes: float,
        clock: collections_abc.Callable[[], float] = time.monotonic,
    ) -> None:
        """Hold at most capacity_bytes; clock returns seconds."""
        self.clock = clock
        self._parts = {
            part: _PartState(part.value * capacity_bytes) for part in Part
        }

    def held_bytes(self, part: Part) -> int:
        """Return what is held in a part."""
        return self._parts[part].held_bytes

    def open(self, long_part: Part, holder: Holder | None = None) -> 'Hold':
        """Return a hold of nothing, which counts as short at first.

        Without a holder it isn't evicted.
        """
        return Hold(self._parts, long_part, holder, self)

    def make_room(self, part: Part, size_bytes: int, asker: 'Hold') -> bool:
        """Evict slow holds until there is room; return whether there is."""
        state = self._parts[part]
        while not state.has_room(size_bytes):
            slowest = state.slowest(self.clock(), asker)
            if slowest is None:
                return False
            node_metrics.METRICS.count(
                'redwingvalve_evictions', part=part.name.lower()
            )
            slowest.evict()
        return True


class Hold:
    """The bytes held for one request, one answer, or one slow reader."""

    def __init__(
        self,
        parts: dict[Part, _PartState],
        long_part: Part,
        holder: Holder | None,
        account: ByteAccount,
    ) -> None:
        """Hold nothing yet."""
        self.held_bytes = 0
        self._since_s = account.clock()
        self._parts = parts
        self._part = Part.SHORT
        self._long_part = long_part
        self._holder = holder
        self._account = account

    def bytes_per_s(self, now_s: float) -> float:
        """Return how fast the bytes move, infinity for a new hold."""
        age_s = now_s - self._since_s
        if self._holder is None or age_s < SLOW_AFTER_S:
            return math.inf
        return self._holder.moved_bytes() / age_s

    def grow_to(self, size_bytes: int) -> bool:
        """Hold that much if there is room; return whether there is."""
        if size_bytes <= max(self.held_bytes, GRAIN_BYTES):
            return True
        part = Part.SHORT if size_bytes <= SHORT_BYTES else self._long_part
        extra_bytes = size_bytes
        if part is self._part:
            extra_bytes -= self.held_bytes
        if not self._account.make_room(part, extra_bytes, self):
            return False
        self._move_to(part, size_bytes)
        return True

    def hold(self, size_bytes: int) -> None:
        """Hold that much in any case, as the bytes are there already."""
        part = Part.SHORT if size_bytes <= SHORT_BYTES else self._long_part
        self._move_to(part, size_bytes)

    def settle(self) -> None:
        """Keep the bytes until release(): they can't be evicted any more."""
        self._holder = None
        self._parts[self._part].evictable.pop(self, None)

    def release(self) -> None:
        """Hold nothing."""
        self._parts[self._part].evictable.pop(self, None)
        self._parts[self._part].held_bytes -= self.held_bytes
        self.held_bytes = 0

    def evict(self) -> None:
        """Release the bytes, and let the holder give them up."""
        holder = self._holder
        self.release()
        if holder is not None:
            holder.evict()

    def _move_to(self, part: Part, size_bytes: int) -> None:
        if not self.held_bytes:
            self._since_s = self._account.clock()
        if part is not self._part or not self.held_bytes:
            self.release()
            self._part = part
            # Without a limit none is kept, as some outlive their loop.
            is_limited = self._parts[part].max_bytes < math.inf
            if self._holder is not None and is_limited:
                self._parts[part].evictable[self] = None
        self._parts[part].held_bytes += size_bytes - self.held_bytes
        self.held_bytes = size_bytes


# For servers and clients that aren't part of a node, such as stand-ins.
UNLIMITED: typing.Final = ByteAccount(math.inf)


def make_account(memory_mb: float) -> ByteAccount:
    """Return the account of a process that may use so much memory."""
    return ByteAccount(MEMORY_SHARE * memory_mb * _BYTES_PER_MB)
