"""Clocks as arguments, so that decisions can be tested in virtual time."""

import abc
import time

import anyio


class Clock(abc.ABC):
    """A source of time; all readings are seconds."""

    @abc.abstractmethod
    def monotonic_s(self) -> float:
        """Return a reading that never goes back within a process."""

    @abc.abstractmethod
    def wall_s(self) -> float:
        """Return seconds since the Unix epoch; it may jump."""

    @abc.abstractmethod
    async def sleep(self, duration_s: float) -> None:
        """Wait for duration_s."""


class SystemClock(Clock):
    """The machine's own clocks."""

    def monotonic_s(self) -> float:
        """Return the monotonic reading of the machine."""
        return time.monotonic()

    def wall_s(self) -> float:
        """Return the wall clock of the machine."""
        return time.time()

    async def sleep(self, duration_s: float) -> None:
        """Wait on the event loop."""
        await anyio.sleep(duration_s)


def boot_s() -> float:
    """Return seconds since boot, with those in which the VM was suspended.

    The monotonic clock stands still meanwhile: a lease that is judged by it
    seems to hold long after another process has taken it.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """A clock that moves only when told; sleeping moves it at once."""

    def __init__(self, start_s: float = 0.0) -> None:
        """Start both readings at start_s."""
        self._now_s = start_s

    def monotonic_s(self) -> float:
        """Return the current virtual time."""
        return self._now_s

    def wall_s(self) -> float:
        """Return the current virtual time."""
        return self._now_s

    async def sleep(self, duration_s: float) -> None:
        """Move on by duration_s and let other tasks run."""
        self.advance(duration_s)
        await anyio.lowlevel.checkpoint()

    def advance(self, duration_s: float) -> None:
        """Move on by duration_s."""
        self._now_s += duration_s


def make_system_clock() -> Clock:
    """Return the clock that daemons use."""
    return SystemClock()
