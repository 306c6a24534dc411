"""Aborts attempts whose stream has stalled; see retries.stalls for the limit.

One task checks all streams four times a second. A timer per stream would have
to be reset with each token, and after a pause of this process the timers of all
streams would fire at once.
"""

import collections
import contextlib
from collections import abc as collections_abc

import anyio
import attrs

from redwingvalve.core import clock
from redwingvalve.retries import stalls
from redwingvalve.routing import policy

# Progress of each stream is reported to routing about once a second.
CHECKS_PER_PROGRESS_REPORT = 4


@attrs.define(eq=False)
class MonitoredAttempt:
    """An attempt in progress.

    Cancelling scope aborts it; may_abort returns whether that helps its caller.
    endpoint_unreachable means that the cancellation didn't reach the endpoint.
    """

    stream: stalls.MonitoredStream
    request_id: str
    deployment: str
    routing: policy.RoutingPolicy
    may_abort: collections_abc.Callable[[], bool]
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    slow_reader: bool = False
    endpoint_unreachable: bool = False


class StallMonitor:
    """Monitors the streams of one entry; start run as a background task."""

    def __init__(self, time_source: clock.Clock) -> None:
        """Start without streams."""
        self._clock = time_source
        self._detectors: dict[str, stalls.StallDetector] = (
            collections.defaultdict(stalls.make_stall_detector)
        )
        self._monitored: dict[int, MonitoredAttempt] = {}
        self._checks = 0

    @contextlib.contextmanager
    def monitor(
        self, monitored: MonitoredAttempt
    ) -> collections_abc.Iterator[None]:
        """Monitor an attempt while the block runs."""
        self._monitored[id(monitored.stream)] = monitored
        self._detectors[monitored.deployment].add(monitored.stream)
        try:
            yield
        finally:
            self._detectors[monitored.deployment].remove(monitored.stream)
            self._monitored.pop(id(monitored.stream))

    async def run(self) -> None:
        """Check periodically until cancelled."""
        while True:
            self.check()
            await self._clock.sleep(stalls.CHECK_INTERVAL_S)

    def check(self) -> None:
        """Abort stalled attempts where that helps the caller."""
        now_s = self._clock.monotonic_s()
        self._checks += 1
        for detector in self._detectors.values():
            for stream in detector.check(now_s):
                self._handle_stall(self._monitored[id(stream)], now_s)
        for monitored in self._monitored.values():
            monitored.slow_reader |= monitored.stream.is_paused
        if not self._checks % CHECKS_PER_PROGRESS_REPORT:
            self._report_progress(now_s)

    def _handle_stall(self, monitored: MonitoredAttempt, now_s: float) -> None:
        if monitored.stream.stalled:
            return
        monitored.routing.stalled(monitored.request_id, now_s)
        if monitored.may_abort():
            # Set together: the attempt must deliver nothing more once the flag
            # is set, and the cancellation takes effect only at its next await.
            monitored.stream.stalled = True
            monitored.scope.cancel()

    def _report_progress(self, now_s: float) -> None:
        for monitored in self._monitored.values():
            # Otherwise a caller that reads slowly makes its replica look slow.
            if not monitored.slow_reader:
                monitored.routing.progressed(
                    monitored.request_id, monitored.stream.tokens, now_s
                )
            monitored.slow_reader = False


def make_stall_monitor(time_source: clock.Clock) -> StallMonitor:
    """Return the stall monitor of one entry."""
    return StallMonitor(time_source)
