"""Tells when a connection has been inactive for longer than its limit.

Load pattern: the operator raises a limit while many connections are idle, or
the process stands still while their next requests arrive. A timer alone closes
them: it keeps the limit of the moment at which it was set, and the loop runs
timers that are due before it reads what has arrived.
"""

import asyncio
import typing
from collections import abc as collections_abc

# After a limit has passed, the loop reads at least once before it counts.
SETTLE_S: typing.Final = 0.01
_MIN_DELAY_S = 0.001

# Returns the limit in force, in seconds.
Limit: typing.TypeAlias = collections_abc.Callable[[], float]


class InactivityTimer:
    """One limit at a time; the longer of its values at both ends counts."""

    def __init__(self, on_expired: collections_abc.Callable[[], None]) -> None:
        """Call on_expired once a limit has passed without activity."""
        self._on_expired = on_expired
        self._limit: Limit | None = None
        self._granted_s: float = 0
        self._active_s: float = 0
        self._has_settled = False
        self._handle: asyncio.TimerHandle | None = None

    def start(self, limit: Limit) -> None:
        """Replace the current limit, if any; the time starts now."""
        self.stop()
        self._limit = limit
        self._granted_s = limit()
        self.touch()
        self._wait(self._granted_s)

    def touch(self) -> None:
        """Record activity: the time of the current limit starts again."""
        self._active_s = asyncio.get_running_loop().time()
        self._has_settled = False

    def stop(self) -> None:
        """Apply no limit until the next start()."""
        self._limit = None
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _wait(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(max(delay_s, _MIN_DELAY_S), self._check)

    def _check(self) -> None:
        if self._limit is None:
            return
        limit_s = max(self._granted_s, self._limit())
        inactive_s = asyncio.get_running_loop().time() - self._active_s
        if inactive_s < limit_s:
            self._has_settled = False
            self._wait(limit_s - inactive_s)
        elif self._has_settled:
            self.stop()
            self._on_expired()
        else:
            self._has_settled = True
            self._wait(SETTLE_S)
