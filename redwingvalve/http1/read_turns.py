"""Shares the turns of an event loop among connections with bytes to parse.

Load pattern: dozens of callers send bodies in chunks of one byte, so that each
read takes milliseconds. Each of them alone keeps its steps short, but in one
turn of the loop all take a step, and a request that needs ten turns gets no
answer in time. So bytes are parsed at once only while this takes a share of
the time. The others wait in order, and what they take in one turn is bounded.
"""

import abc
import asyncio
import collections
import time
import typing
import weakref
from collections import abc as collections_abc

TURN_S: typing.Final = 0.005
# Of the time, for what is parsed outside the queue.
BUDGET_SHARE: typing.Final = 0.5


class ReadBudget:
    """The processor time that may be spent on bytes as they arrive."""

    def __init__(
        self, clock: collections_abc.Callable[[], float] = time.monotonic
    ) -> None:
        """Start with TURN_S; clock returns seconds."""
        self._clock = clock
        self._spent_s = 0.0
        self._at_s = clock()

    @property
    def is_left(self) -> bool:
        """Return whether more may be spent now."""
        self._refill()
        return self._spent_s < TURN_S

    def spend(self, took_s: float) -> None:
        """Count a step, in seconds; a long one is paid for once."""
        self._refill()
        self._spent_s = min(self._spent_s + took_s, 2 * TURN_S)

    def _refill(self) -> None:
        now_s = self._clock()
        refill_s = BUDGET_SHARE * (now_s - self._at_s)
        self._spent_s = max(0, self._spent_s - refill_s)
        self._at_s = now_s


class Reader(abc.ABC):
    """A connection whose received bytes are parsed in steps."""

    # Waits for a turn.
    is_queued = False

    @abc.abstractmethod
    def step(self) -> None:
        """Parse one piece."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Close the connection, as a step has failed."""


class ReadTurns:
    """The connections of one loop whose bytes wait to be parsed."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Run steps in a loop."""
        self.budget = ReadBudget()
        self._call_soon = loop.call_soon
        self._queue: collections.deque[Reader] = collections.deque()
        self._is_scheduled = False

    def add(self, reader: Reader) -> None:
        """Let a connection take a step in a later turn."""
        if reader.is_queued:
            return
        reader.is_queued = True
        self._queue.append(reader)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        began_s = time.monotonic()
        took_s = 0.0
        try:
            while self._queue and took_s < TURN_S:
                _step(self._queue.popleft())
                took_s = time.monotonic() - began_s
        finally:
            if self._queue:
                self._schedule()
        self.budget.spend(took_s)


def _step(reader: Reader) -> None:
    reader.is_queued = False
    try:
        reader.step()
    except Exception:
        # As the loop does if a read fails.
        reader.abort()
        raise


_BY_LOOP: weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, ReadTurns] = (
    weakref.WeakKeyDictionary()
)


def budget() -> ReadBudget:
    """Return what is left for all connections of the running loop."""
    try:
        turns = of_running_loop()
    except RuntimeError:
        # No other connection waits where no loop runs.
        return ReadBudget()
    return turns.budget


def of_running_loop() -> ReadTurns:
    """Return the turns that all connections of the running loop share."""
    loop = asyncio.get_running_loop()
    turns = _BY_LOOP.get(loop)
    if turns is None:
        turns = ReadTurns(loop)
        _BY_LOOP[loop] = turns
    return turns
