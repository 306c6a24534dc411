"""Tells for how long the event loop stood still while something was awaited."""

import asyncio
import time

import attrs

# Between two looks at the clock.
TICK_S = 0.02


@attrs.define(eq=False)
class PauseWatch:
    """The longest pause of the running loop since the watch began, in s."""

    longest_s: float = 0.0
    _ticked_s: float = attrs.field(factory=time.monotonic)
    _timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Watch the loop until stop() is called."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(TICK_S, self._tick)

    def stop(self) -> None:
        """Measure the time since the last tick, and tick no more."""
        self._measure()
        if self._timer is not None:
            self._timer.cancel()

    def _tick(self) -> None:
        self._measure()
        self.start()

    def _measure(self) -> None:
        now_s = time.monotonic()
        self.longest_s = max(self.longest_s, now_s - self._ticked_s - TICK_S)
        self._ticked_s = now_s
