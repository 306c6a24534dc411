"""Clocks, passed as arguments so that tests can use virtual time."""

import abc
import time

import anyio


class Clock(abc.ABC):
    """A source of time; all readings are in seconds."""

    @abc.abstractmethod
    def monotonic_s(self) -> float:
        """Return a reading that never decreases within a process."""

    @abc.abstractmethod
    def wall_s(self) -> float:
        """Return seconds since the Unix epoch; may jump if the clock is set."""

    @abc.abstractmethod
    async def sleep(self, duration_s: float) -> None:
        """Sleep for duration_s."""


class SystemClock(Clock):
    """The clocks of the operating system."""

    def monotonic_s(self) -> float:
        """Return the monotonic clock of the operating system."""
        return time.monotonic()

    def wall_s(self) -> float:
        """Return the wall clock of the operating system."""
        return time.time()

    async def sleep(self, duration_s: float) -> None:
        """Sleep without blocking the event loop."""
        await anyio.sleep(duration_s)


def boot_s() -> float:
    """Return seconds since boot, including time spent suspended.

    The monotonic clock stops while the VM is suspended. A lease timed by it
    would still seem valid long after another process has acquired it.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """A clock for tests that advances only on request.

    sleep advances it by the whole duration and returns without waiting.
    """

    def __init__(self, start_s: float = 0.0) -> None:
        """Start both the monotonic and the wall clock at start_s."""
        self._now_s = start_s

    def monotonic_s(self) -> float:
        """Return the current virtual time."""
        return self._now_s

    def wall_s(self) -> float:
        """Return the current virtual time."""
        return self._now_s

    async def sleep(self, duration_s: float) -> None:
        """Advance by duration_s and let other tasks run."""
        self.advance(duration_s)
        await anyio.lowlevel.checkpoint()

    def advance(self, duration_s: float) -> None:
        """Advance both clocks by duration_s."""
        self._now_s += duration_s


def make_system_clock() -> Clock:
    """Return the clock that the daemons use."""
    return SystemClock()
