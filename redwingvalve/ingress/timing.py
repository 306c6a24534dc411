"""Where the time of one request goes."""

import time

import attrs

from redwingvalve.ingress import admission_control, duration_estimates

_MS_IN_S = 1000.0


@attrs.define(eq=False)
class RequestTiming:
    """Moments of this process's monotonic clock, and durations in seconds."""

    began_s: float = attrs.field(factory=time.monotonic)
    # For places, over all sends.
    waited_s: float = 0.0
    # The first event for the caller.
    first_s: float | None = None
    # Between two events.
    longest_pause_s: float = 0.0
    _last_s: float | None = None

    @property
    def took_s(self) -> float:
        """Return how long the request has taken until now."""
        return time.monotonic() - self.began_s

    @property
    def until_first_s(self) -> float:
        """Return how long the first event took, 0 if none came."""
        return (self.first_s or self.began_s) - self.began_s

    def is_late_first(self, admission: admission_control.Admission) -> bool:
        """Return whether the answer began late for its caller."""
        first_s = self.until_first_s or self.took_s
        goal_s = admission.route.goal_ms / _MS_IN_S
        return admission.has_returned or first_s > goal_s

    def is_late_between(self, admission: admission_control.Admission) -> bool:
        """Return whether a pause between events was too long."""
        goal_s = admission.route.gap_goal_ms / _MS_IN_S
        return goal_s > 0 and self.longest_pause_s > goal_s

    def waited_since(self, moment_s: float) -> None:
        """Count a wait for a place that has just ended."""
        self.waited_s += time.monotonic() - moment_s

    def note_event(self, now_s: float) -> None:
        """Note an event of the stream."""
        self.first_s = self.first_s or now_s
        if self._last_s is not None:
            pause_s = now_s - self._last_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self._last_s = now_s

    def teach(
        self,
        begin: duration_estimates.DurationEstimate,
        sent_s: float,
        prompt_s: float,
    ) -> None:
        """Learn from the whole answer to an only send at sent_s."""
        first_s = self.first_s or time.monotonic()
        begin.observe(first_s - sent_s - prompt_s)
