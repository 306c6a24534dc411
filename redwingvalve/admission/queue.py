"""The abstract admission queue that the entry calls.

Each deployment and each plain service has its own queue, so that light calls to
services never wait behind token generation.
"""

import abc

from redwingvalve.admission import messages


class AdmissionQueue(abc.ABC):
    """Decides which requests are sent, queued or refused.

    The caller offers each request once and sends what is admitted. After each
    call of finished it calls next_ready until that returns None, and at least
    every 50 ms it refuses the requests that expired returns.
    """

    @abc.abstractmethod
    def resize(self, capacity: messages.Capacity, now_s: float) -> None:
        """Replace the capacity of this entry."""

    @abc.abstractmethod
    def offer(
        self, request: messages.AdmissionRequest, now_s: float
    ) -> messages.Decision:
        """Admit, queue or refuse a new request."""

    @abc.abstractmethod
    def next_ready(self, now_s: float) -> messages.AdmissionRequest | None:
        """Return the next queued request to send, if one fits."""

    @abc.abstractmethod
    def first_token(self, request_id: str, now_s: float) -> None:
        """Record the first-token delay of a request."""

    @abc.abstractmethod
    def finished(
        self, request_id: str, actual_tokens: float, now_s: float
    ) -> None:
        """Release the capacity of a request and correct its estimate.

        Call it once for every request sent, however it ended.
        """

    @abc.abstractmethod
    def withdraw(self, request_id: str) -> bool:
        """Remove a queued request whose caller hung up; False if unknown."""

    @abc.abstractmethod
    def expired(self, now_s: float) -> tuple[messages.RefusedNow, ...]:
        """Remove and return queued requests that can't meet their target."""

    @abc.abstractmethod
    def expected_tokens(self, request: messages.AdmissionRequest) -> float:
        """Return the expected tokens of a request, as routing counts them."""

    @abc.abstractmethod
    def waiting(self) -> int:
        """Return the number of queued requests."""

    @abc.abstractmethod
    def in_flight(self) -> int:
        """Return the number of requests sent and not finished."""
