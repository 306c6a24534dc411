"""The abstract admission queue that the entry calls.

One queue stands before each deployment and one before each plain service, so
that light calls to services never wait behind token generation.
"""

import abc

from redwingvalve.admission import messages


class AdmissionQueue(abc.ABC):
    """Decides who is sent, who waits and who is refused.

    The caller offers each request once, sends what is admitted, calls
    next_ready until it gives nothing after each finished call, and answers
    what expired returns at least every 50 ms.
    """

    @abc.abstractmethod
    def resize(self, capacity: messages.Capacity, now_s: float) -> None:
        """Take over what this entry may use from now on."""

    @abc.abstractmethod
    def offer(
        self, request: messages.AdmissionRequest, now_s: float
    ) -> messages.Decision:
        """Admit, queue or refuse a new request."""

    @abc.abstractmethod
    def next_ready(self, now_s: float) -> messages.AdmissionRequest | None:
        """Return the next waiting request to be sent, if one fits."""

    @abc.abstractmethod
    def first_token(self, request_id: str, now_s: float) -> None:
        """Learn how long a sent request took to its first token."""

    @abc.abstractmethod
    def finished(
        self, request_id: str, actual_tokens: float, now_s: float
    ) -> None:
        """Free what a sent request held and correct its account's estimate.

        Call it once for every sent request, however it ended.
        """

    @abc.abstractmethod
    def withdraw(self, request_id: str) -> bool:
        """Forget a waiting request whose caller hung up; False if unknown."""

    @abc.abstractmethod
    def expired(self, now_s: float) -> tuple[messages.RefusedNow, ...]:
        """Remove and return waiting requests that can't meet their target."""

    @abc.abstractmethod
    def expected_tokens(self, request: messages.AdmissionRequest) -> float:
        """Return the tokens to expect of a request; routing counts them."""

    @abc.abstractmethod
    def waiting(self) -> int:
        """Return how many requests wait."""

    @abc.abstractmethod
    def in_flight(self) -> int:
        """Return how many requests are sent and not finished."""
