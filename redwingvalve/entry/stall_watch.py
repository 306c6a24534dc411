"""Ends sends whose stream has stalled; the bound stands in retries.stalls.

One task looks at all streams four times a second. A timer for each stream
would have to be moved on with each token, and would ring for all of them at
once when this process was paused.
"""

import collections
import contextlib
from collections import abc as collections_abc

import anyio
import attrs

from redwingvalve.core import clock
from redwingvalve.retries import stalls
from redwingvalve.routing import policy

# Routing hears of each stream about once a second.
LOOKS_PER_PROGRESS = 4


@attrs.define(eq=False)
class Watched:
    """A send under way; scope ends it, may_stop says whether that helps.

    endpoint_gone says that nobody was there to be told of its early end.
    """

    pulse: stalls.MonitoredStream
    request_id: str
    deployment: str
    routing: policy.RoutingPolicy
    may_stop: collections_abc.Callable[[], bool]
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    read_slowly: bool = False
    endpoint_gone: bool = False


class StallWatch:
    """Watches the streams of one entry; run it beside the application."""

    def __init__(self, time_source: clock.Clock) -> None:
        """Start without streams."""
        self._clock = time_source
        self._detectors: dict[str, stalls.StallDetector] = (
            collections.defaultdict(stalls.make_stall_detector)
        )
        self._watched: dict[int, Watched] = {}
        self._looks = 0

    @contextlib.contextmanager
    def watching(self, watched: Watched) -> collections_abc.Iterator[None]:
        """Look at a send while the block runs."""
        self._watched[id(watched.pulse)] = watched
        self._detectors[watched.deployment].add(watched.pulse)
        try:
            yield
        finally:
            self._detectors[watched.deployment].remove(watched.pulse)
            self._watched.pop(id(watched.pulse))

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            self.look()
            await self._clock.sleep(stalls.CHECK_INTERVAL_S)

    def look(self) -> None:
        """Stop what has stalled, where something better can be done."""
        now_s = self._clock.monotonic_s()
        self._looks += 1
        for detector in self._detectors.values():
            for pulse in detector.check(now_s):
                self._stop(self._watched[id(pulse)], now_s)
        for watched in self._watched.values():
            watched.read_slowly |= watched.pulse.is_paused
        if not self._looks % LOOKS_PER_PROGRESS:
            self._tell_progress(now_s)

    def _stop(self, watched: Watched, now_s: float) -> None:
        if watched.pulse.stalled:
            return
        watched.routing.stalled(watched.request_id, now_s)
        if watched.may_stop():
            # In one step: whoever sees the flag must deliver nothing more,
            # and the cancellation may come at the next await only.
            watched.pulse.stalled = True
            watched.scope.cancel()

    def _tell_progress(self, now_s: float) -> None:
        for watched in self._watched.values():
            # A caller that reads slowly would make its replica look slow.
            if not watched.read_slowly:
                watched.routing.progressed(
                    watched.request_id, watched.pulse.tokens, now_s
                )
            watched.read_slowly = False


def make_stall_watch(time_source: clock.Clock) -> StallWatch:
    """Return the watch of one entry."""
    return StallWatch(time_source)
