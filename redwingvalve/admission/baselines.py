"""Baselines for benchmarks: one global queue, and no admission control."""

import collections

from redwingvalve.admission import messages, queue


class GlobalFifo(queue.AdmissionQueue):
    """One first-in-first-out queue for all accounts, without refusals."""

    def __init__(self, capacity: messages.Capacity) -> None:
        """Start empty."""
        self._capacity = capacity
        self._waiting: collections.OrderedDict[
            str, messages.AdmissionRequest
        ] = collections.OrderedDict()
        self._sent: set[str] = set()

    def resize(self, capacity: messages.Capacity, now_s: float) -> None:
        """Replace the capacity."""
        self._capacity = capacity

    def offer(
        self, request: messages.AdmissionRequest, now_s: float
    ) -> messages.Decision:
        """Admit the request if it fits and none is queued, else queue it."""
        if not self._waiting and self._fits():
            self._send(request)
            return messages.Admitted(request.request_id)
        self._waiting[request.request_id] = request
        return messages.Queued(request.request_id, 0.0)

    def next_ready(self, now_s: float) -> messages.AdmissionRequest | None:
        """Return the oldest queued request if it fits."""
        if not self._waiting:
            return None
        oldest = next(iter(self._waiting.values()))
        if not self._fits():
            return None
        del self._waiting[oldest.request_id]
        self._send(oldest)
        return oldest

    def first_token(self, request_id: str, now_s: float) -> None:
        """Ignore the delay."""

    def finished(
        self, request_id: str, actual_tokens: float, now_s: float
    ) -> None:
        """Release the capacity of a request."""
        self._sent.discard(request_id)

    def withdraw(self, request_id: str) -> bool:
        """Remove a queued request."""
        return self._waiting.pop(request_id, None) is not None

    def expired(self, now_s: float) -> tuple[messages.RefusedNow, ...]:
        """Return nothing: queued requests are never refused."""
        return ()

    def expected_tokens(self, request: messages.AdmissionRequest) -> float:
        """Return the estimate of the caller."""
        return request.estimated_tokens

    def waiting(self) -> int:
        """Return the number of queued requests."""
        return len(self._waiting)

    def in_flight(self) -> int:
        """Return the number of requests sent and not finished."""
        return len(self._sent)

    def _fits(self) -> bool:
        return not self._sent or len(self._sent) < self._capacity.in_flight

    def _send(self, request: messages.AdmissionRequest) -> None:
        self._sent.add(request.request_id)


class NoAdmission(GlobalFifo):
    """Admits every request at once."""

    def _fits(self) -> bool:
        return True
