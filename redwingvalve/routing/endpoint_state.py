"""What this entry knows of one endpoint: load, speed, age."""

import math

import attrs

from redwingvalve.routing import messages

# A fifth for each observation: five slow answers in a row show a straggler,
# a single slow one does not move it past the dead zone below.
SLOWNESS_STEP = 0.2
MAX_RATIO = 20.0
MIN_RATIO = 0.05
# Prompt lengths alone spread first-token delays by about this factor.
DEAD_ZONE = 1.5

# A request counts as stalled after three times the usual first-token delay.
STALL_FACTOR = 3.0


@attrs.define(eq=False)
class OwnRequest:
    """A request of this entry at an endpoint."""

    state: 'EndpointState'
    tokens: float
    sent_at_s: float
    first_token_at_s: float | None = None
    seen_tokens: float = 0.0
    seen_at_s: float | None = None

    def gap_s(self, tokens: float, now_s: float) -> float | None:
        """Return the mean gap since the last call, None on the first one."""
        since_s = self.seen_at_s
        came = tokens - self.seen_tokens
        if since_s is None:
            since_s = self.first_token_at_s
        if since_s is None or now_s <= since_s:
            return None
        self.seen_at_s = now_s
        self.seen_tokens = tokens
        return (now_s - since_s) / max(came, 1.0)


class EndpointState:
    """Counts own requests at once and others from reports."""

    def __init__(self, candidate: messages.Candidate) -> None:
        """Start without load."""
        self.candidate = candidate
        self.own_tokens = 0.0
        self._own_sent: dict[str, float] = {}
        self.others = 0.0
        self.others_tokens = 0.0
        self.distance_s = 0.0
        self._reported_at_s = -math.inf
        self._pending: dict[str, float] = {}
        self._oldest_pending_s = math.inf
        self._slowness = 1.0
        self._slowness_at_s = 0.0

    def sent(self, request_id: str, own: OwnRequest) -> None:
        """Count an own request."""
        self.own_tokens += own.tokens
        self._own_sent[request_id] = own.sent_at_s
        if not self._pending:
            self._oldest_pending_s = own.sent_at_s
        self._pending[request_id] = own.sent_at_s

    def answered(self, request_id: str) -> None:
        """Note that the first token of an own request came."""
        if self._pending.pop(request_id, None) is not None:
            self._oldest_pending_s = next(
                iter(self._pending.values()), math.inf
            )

    def finished(self, request_id: str, own: OwnRequest) -> None:
        """Count an own request no longer."""
        self.answered(request_id)
        self.own_tokens -= own.tokens
        del self._own_sent[request_id]
        if not self._own_sent:
            self.own_tokens = 0.0

    @property
    def own_count(self) -> int:
        """Return how many requests of this entry are here."""
        return len(self._own_sent)

    def reported(self, report: messages.LoadReport, smoothing: float) -> None:
        """Take a report in; own requests sent before it are part of it.

        Others' requests are averaged over some reports: entries that follow
        each last report all send to the same idle replica at once.
        """
        if report.at_s < self._reported_at_s:
            return
        own = [at_s for at_s in self._own_sent.values() if at_s <= report.at_s]
        total = report.running + report.waiting
        others = float(max(total - len(own), 0))
        if math.isinf(self._reported_at_s):
            self.others = others
        self.others += smoothing * (others - self.others)
        self._reported_at_s = report.at_s

    def load_tokens(self, mean_tokens: float, oldest_s: float) -> float:
        """Return own load, and that of others unless its report is older."""
        if self._reported_at_s < oldest_s:
            return self.own_tokens
        return self.own_tokens + self.others * mean_tokens

    def may_be_slow(self, stalled_before_s: float) -> bool:
        """Tell whether slowness needs a look; most of the time it doesn't."""
        if self._slowness >= DEAD_ZONE:
            return True
        return self._oldest_pending_s < stalled_before_s

    def observed(self, ratio: float, now_s: float, half_life_s: float) -> None:
        """Count how much slower than usual one answer was."""
        bounded = min(max(ratio, MIN_RATIO), MAX_RATIO)
        old = self._decayed(now_s, half_life_s)
        self._slowness = old + SLOWNESS_STEP * (bounded - old)
        self._slowness_at_s = now_s

    def slowness(
        self, now_s: float, usual_s: float, half_life_s: float
    ) -> float:
        """Return by how much this endpoint is slower than usual, from 1 up.

        A request that still waits for its first token counts as it stands, so
        that a stalled endpoint shows before it has answered anything.
        """
        level = self._slowness
        if level >= DEAD_ZONE:
            level = self._decayed(now_s, half_life_s)
        if self._pending:
            waited_s = now_s - self._oldest_pending_s
            level = max(level, waited_s / (STALL_FACTOR * usual_s + 1e-3))
        if level < DEAD_ZONE:
            return 1.0
        return min(level, MAX_RATIO)

    def ramp(self, now_s: float, settings: messages.RoutingSettings) -> float:
        """Return the share of its speed that a new endpoint is trusted with."""
        age_s = now_s - self.candidate.serving_since_s
        if age_s >= settings.slow_start_s or not self.candidate.serving_since_s:
            return 1.0
        grown = max(age_s, 0.0) / settings.slow_start_s
        return max(grown, settings.slow_start_share)

    def _decayed(self, now_s: float, half_life_s: float) -> float:
        # Without news an endpoint drifts back to normal and is tried again; if
        # it is still slow, the first answers ease it off as far as before.
        elapsed_s = max(now_s - self._slowness_at_s, 0.0)
        faded = math.exp2(-elapsed_s / half_life_s)
        return 1.0 + (self._slowness - 1.0) * faded
