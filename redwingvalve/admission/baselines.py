"""Plain ways of admission, to compare with: one global queue, and none."""

import collections

from redwingvalve.admission import messages, queue


class GlobalFifo(queue.AdmissionQueue):
    """One first-in-first-out queue for everybody, without refusals."""

    def __init__(self, capacity: messages.Capacity) -> None:
        """Start empty."""
        self._capacity = capacity
        self._waiting: collections.OrderedDict[
            str, messages.AdmissionRequest
        ] = collections.OrderedDict()
        self._sent: set[str] = set()

    def resize(self, capacity: messages.Capacity, now_s: float) -> None:
        """Take over a new capacity."""
        self._capacity = capacity

    def offer(
        self, request: messages.AdmissionRequest, now_s: float
    ) -> messages.Decision:
        """Send it if it fits and nobody waits; otherwise let it wait."""
        if not self._waiting and self._fits():
            self._send(request)
            return messages.Admitted(request.request_id)
        self._waiting[request.request_id] = request
        return messages.Queued(request.request_id, 0.0)

    def next_ready(self, now_s: float) -> messages.AdmissionRequest | None:
        """Return the oldest waiting request if it fits."""
        if not self._waiting:
            return None
        oldest = next(iter(self._waiting.values()))
        if not self._fits():
            return None
        del self._waiting[oldest.request_id]
        self._send(oldest)
        return oldest

    def first_token(self, request_id: str, now_s: float) -> None:
        """Learn nothing."""

    def finished(
        self, request_id: str, actual_tokens: float, now_s: float
    ) -> None:
        """Free what a request held."""
        self._sent.discard(request_id)

    def withdraw(self, request_id: str) -> bool:
        """Forget a waiting request."""
        return self._waiting.pop(request_id, None) is not None

    def expired(self, now_s: float) -> tuple[messages.RefusedNow, ...]:
        """Refuse nothing."""
        return ()

    def expected_tokens(self, request: messages.AdmissionRequest) -> float:
        """Return the caller's own estimate."""
        return request.estimated_tokens

    def waiting(self) -> int:
        """Return how many requests wait."""
        return len(self._waiting)

    def in_flight(self) -> int:
        """Return how many requests are sent and not finished."""
        return len(self._sent)

    def _fits(self) -> bool:
        return not self._sent or len(self._sent) < self._capacity.in_flight

    def _send(self, request: messages.AdmissionRequest) -> None:
        self._sent.add(request.request_id)


class NoAdmission(GlobalFifo):
    """Sends everything at once."""

    def _fits(self) -> bool:
        return True
