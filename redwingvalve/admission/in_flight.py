"""Requests in flight and their limit.

The limit counts jobs and not tokens: in a continuous batch, each stream slows
the others by its presence, whatever its length; its tokens only decide for how
long. A limit on tokens leaves long jobs a quarter of the batch (request-path
bench, case 5).
"""

import attrs

from redwingvalve.admission import estimates, lanes, messages
from redwingvalve.core import invariants

# The mean gap of a shorter response is too noisy.
MIN_GAP_TOKENS = 10


@attrs.define(eq=False)
class SentRequest:
    """A request in flight."""

    request: messages.AdmissionRequest
    cost: float
    sent_at_s: float
    first_token_s: float | None = None

    def mean_gap_s(self, actual_tokens: float, now_s: float) -> float:
        """Return the mean gap between tokens, 0 if there are too few."""
        if self.first_token_s is None or actual_tokens < MIN_GAP_TOKENS:
            return 0.0
        return (now_s - self.first_token_s) / actual_tokens


class InFlight:
    """Counts jobs against a limit that adapts to the endpoints."""

    def __init__(
        self, all_lanes: lanes.LaneSet, settings: messages.AdmissionSettings
    ) -> None:
        """Start without jobs and without capacity."""
        self.limit_controller = estimates.LimitController(
            settings.first_token_s,
            settings.token_gap_s,
            settings.most_over_declared,
        )
        self._lanes = all_lanes
        self._declared = 0.0
        self._sent: dict[str, SentRequest] = {}

    def __len__(self) -> int:
        """Return the number of jobs in flight."""
        return len(self._sent)

    def resize(self, declared: float) -> None:
        """Replace the declared limit."""
        self._declared = declared

    def limit(self) -> float:
        """Return the current limit."""
        return self._declared * self.limit_controller.factor

    def has_room(self) -> bool:
        """Tell whether one more job may be sent."""
        # One job may always run: an entry whose share is less than a slot must
        # not refuse everything.
        if not self._sent:
            return self._declared > 0
        return len(self._sent) + 1 <= self.limit()

    def add(
        self, request: messages.AdmissionRequest, cost: float, now_s: float
    ) -> None:
        """Add a job."""
        invariants.require(
            request.request_id not in self._sent,
            'admitted-once',
            f'{request.request_id} was admitted twice',
        )
        self._sent[request.request_id] = SentRequest(request, cost, now_s)
        self._lanes[request.kind].in_flight += 1

    def first_token(self, request_id: str, now_s: float) -> None:
        """Record the first-token delay of a job."""
        sent = self._sent.get(request_id)
        if sent is None or sent.first_token_s is not None:
            return
        sent.first_token_s = now_s
        self.limit_controller.observed(
            delay_s=now_s - sent.sent_at_s,
            allowed_s=sent.request.deadline_s - sent.request.arrived_s,
            now_s=now_s,
        )

    def remove(
        self,
        request_id: str,
        actual_tokens: float,
        now_s: float,
        *,
        waiting: bool,
    ) -> SentRequest | None:
        """Remove a job and record its token gap."""
        sent = self._sent.pop(request_id, None)
        if sent is None:
            return None
        self._lanes[sent.request.kind].in_flight -= 1
        gap_s = sent.mean_gap_s(actual_tokens, now_s)
        self.limit_controller.finished(gap_s, now_s, waiting=waiting)
        return sent
