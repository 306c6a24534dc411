"""State of one endpoint at this entry: load, speed and age."""

import math

import attrs

from redwingvalve.routing import messages

# With a fifth per observation, five slow responses in a row show a straggler,
# and a single one doesn't exceed the dead zone.
SLOWNESS_AVERAGE_STEP = 0.2
MAX_RATIO = 20.0
MIN_RATIO = 0.05
# First-token delays vary by about this factor with the prompt length alone.
DEAD_ZONE = 1.5

# Multiple of the typical first-token delay after which a request is stalled.
STALL_FACTOR = 3.0


@attrs.define(eq=False)
class LocalRequest:
    """A request that this entry sent to an endpoint."""

    state: 'EndpointState'
    tokens: float
    sent_at_s: float
    first_token_at_s: float | None = None
    seen_tokens: float = 0.0
    seen_at_s: float | None = None

    def gap_s(self, tokens: float, now_s: float) -> float | None:
        """Return the mean token gap since the last call or the first token.

        None before the first token, or if no time has passed.
        """
        since_s = self.seen_at_s
        received = tokens - self.seen_tokens
        if since_s is None:
            since_s = self.first_token_at_s
        if since_s is None or now_s <= since_s:
            return None
        self.seen_at_s = now_s
        self.seen_tokens = tokens
        return (now_s - since_s) / max(received, 1.0)


class EndpointState:
    """Counts local requests at once and those of other entries by reports."""

    def __init__(self, candidate: messages.Candidate) -> None:
        """Start without load."""
        self.candidate = candidate
        self.local_tokens = 0.0
        self._local_sent: dict[str, float] = {}
        self.remote = 0.0
        self.remote_tokens = 0.0
        self.distance_s = 0.0
        self._reported_at_s = -math.inf
        self._pending: dict[str, float] = {}
        self._oldest_pending_s = math.inf
        self._slowness = 1.0
        self._slowness_at_s = 0.0

    def sent(self, request_id: str, local: LocalRequest) -> None:
        """Add a local request."""
        self.local_tokens += local.tokens
        self._local_sent[request_id] = local.sent_at_s
        if not self._pending:
            self._oldest_pending_s = local.sent_at_s
        self._pending[request_id] = local.sent_at_s

    def record_first_token(self, request_id: str) -> None:
        """Record the first token of a local request."""
        if self._pending.pop(request_id, None) is not None:
            self._oldest_pending_s = next(
                iter(self._pending.values()), math.inf
            )

    def finished(self, request_id: str, local: LocalRequest) -> None:
        """Remove a local request."""
        self.record_first_token(request_id)
        self.local_tokens -= local.tokens
        del self._local_sent[request_id]
        if not self._local_sent:
            self.local_tokens = 0.0

    @property
    def local_count(self) -> int:
        """Return the number of local requests at the endpoint."""
        return len(self._local_sent)

    def reported(self, report: messages.LoadReport, smoothing: float) -> None:
        """Apply a load report; it includes local requests sent before it.

        The requests of other entries are averaged over some reports. If all
        entries used only the last report, they would all send to the replica
        that was idle in it.
        """
        if report.at_s < self._reported_at_s:
            return
        local = [
            at_s for at_s in self._local_sent.values() if at_s <= report.at_s
        ]
        total = report.running + report.waiting
        remote = float(max(total - len(local), 0))
        if math.isinf(self._reported_at_s):
            self.remote = remote
        self.remote += smoothing * (remote - self.remote)
        self._reported_at_s = report.at_s

    def load_tokens(self, mean_tokens: float, oldest_s: float) -> float:
        """Return the local load, plus the remote load if reported recently."""
        if self._reported_at_s < oldest_s:
            return self.local_tokens
        return self.local_tokens + self.remote * mean_tokens

    def may_be_slow(self, stalled_before_s: float) -> bool:
        """Tell whether slowness() may exceed 1; a cheap check."""
        if self._slowness >= DEAD_ZONE:
            return True
        return self._oldest_pending_s < stalled_before_s

    def observe(self, ratio: float, now_s: float, half_life_s: float) -> None:
        """Record the ratio of one delay to the typical delay."""
        bounded = min(max(ratio, MIN_RATIO), MAX_RATIO)
        old = self._decayed(now_s, half_life_s)
        self._slowness = old + SLOWNESS_AVERAGE_STEP * (bounded - old)
        self._slowness_at_s = now_s

    def slowness(
        self, now_s: float, typical_s: float, half_life_s: float
    ) -> float:
        """Return the factor by which this endpoint is too slow, at least 1.

        A pending first token counts with its delay so far, so that a stalled
        endpoint is noticed before it responds.
        """
        level = self._slowness
        if level >= DEAD_ZONE:
            level = self._decayed(now_s, half_life_s)
        if self._pending:
            waited_s = now_s - self._oldest_pending_s
            level = max(level, waited_s / (STALL_FACTOR * typical_s + 1e-3))
        if level < DEAD_ZONE:
            return 1.0
        return min(level, MAX_RATIO)

    def slow_start_factor(
        self, now_s: float, settings: messages.RoutingSettings
    ) -> float:
        """Return the share of its speed to use while an endpoint is new."""
        age_s = now_s - self.candidate.serving_since_s
        if age_s >= settings.slow_start_s or not self.candidate.serving_since_s:
            return 1.0
        grown = max(age_s, 0.0) / settings.slow_start_s
        return max(grown, settings.slow_start_share)

    def _decayed(self, now_s: float, half_life_s: float) -> float:
        # Without observations, slowness decays to 1, so that the endpoint is
        # tried again; if it is still slow, its first responses raise it again.
        elapsed_s = max(now_s - self._slowness_at_s, 0.0)
        decay = math.exp2(-elapsed_s / half_life_s)
        return 1.0 + (self._slowness - 1.0) * decay
