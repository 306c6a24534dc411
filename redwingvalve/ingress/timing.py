"""Measures the phases of one request."""

import time

import attrs

from redwingvalve.ingress import admission_control, duration_estimates

_MS_IN_S = 1000.0


@attrs.define(eq=False)
class RequestTiming:
    """Timestamps of the monotonic clock, and durations in seconds."""

    started_s: float = attrs.field(factory=time.monotonic)
    # Total wait for slots, over all upstream requests.
    waited_s: float = 0.0
    first_event_s: float | None = None
    # Longest interval between two events.
    longest_gap_s: float = 0.0
    _last_event_s: float | None = None

    @property
    def elapsed_s(self) -> float:
        """Return how long the request has taken so far."""
        return time.monotonic() - self.started_s

    @property
    def first_event_delay_s(self) -> float:
        """Return the time to the first event, 0 if there was none."""
        return (self.first_event_s or self.started_s) - self.started_s

    def is_first_event_late(
        self, admission: admission_control.Admission
    ) -> bool:
        """Return whether the answer started late for its caller."""
        first_event_s = self.first_event_delay_s or self.elapsed_s
        goal_s = admission.route.goal_ms / _MS_IN_S
        return admission.has_returned or first_event_s > goal_s

    def is_gap_late(self, admission: admission_control.Admission) -> bool:
        """Return whether a gap between two events exceeded the goal."""
        goal_s = admission.route.gap_goal_ms / _MS_IN_S
        return goal_s > 0 and self.longest_gap_s > goal_s

    def add_wait_since(self, moment_s: float) -> None:
        """Add a wait for a slot that started at moment_s and ends now."""
        self.waited_s += time.monotonic() - moment_s

    def record_event(self, now_s: float) -> None:
        """Record an event of the stream."""
        self.first_event_s = self.first_event_s or now_s
        if self._last_event_s is not None:
            gap_s = now_s - self._last_event_s
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self._last_event_s = now_s

    def update_estimate(
        self,
        estimate: duration_estimates.DurationEstimate,
        sent_s: float,
        prompt_read_s: float,
    ) -> None:
        """Update the estimate from a complete answer to the only send."""
        first_event_s = self.first_event_s or time.monotonic()
        estimate.observe(first_event_s - sent_s - prompt_read_s)
