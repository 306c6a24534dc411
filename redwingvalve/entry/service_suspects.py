"""Limits how many instances of a plain service a poison request can crash.

A service has few addresses, and an instance restarts at the same one. A suspect
request is run by the entry that may use one of them, see
SuspectTracker.refusal; otherwise the rules are those for model requests.
"""

from collections import abc as collections_abc

import attrs

from redwingvalve.core import outcomes
from redwingvalve.entry import suspects, upstream
from redwingvalve.poison import facts

Exchange = collections_abc.Callable[
    [], collections_abc.Awaitable[upstream.UpstreamError | None]
]


class EndpointAliveError(upstream.UpstreamError):
    """The response is invalid or late, but the instance has not crashed."""


class TrackedCall:
    """One service request whose attempts are reported to the tracker."""

    def __init__(
        self,
        tracker: suspects.SuspectTracker,
        digest: bytes,
        addresses: tuple[str, ...],
    ) -> None:
        """Track a request for a service at addresses."""
        self._tracker = tracker
        self._digest = digest
        self._addresses = addresses

    def refusal(self) -> outcomes.ErrorResponse | None:
        """Return the error if the request must not be run."""
        return self._tracker.refusal(self._digest, self._addresses)

    def allowed_addresses(self) -> frozenset[str]:
        """Return the addresses that it may be sent to now."""
        only = self._tracker.allowed(self._digest, self._addresses)
        return frozenset(self._addresses) if only is None else only

    async def send(
        self, address: str, exchange: Exchange
    ) -> upstream.UpstreamError | None:
        """Run one attempt; a connection that breaks counts as a crash."""
        endpoint = suspects.ServiceAddress(address)
        self._tracker.attempt_started(self._digest, endpoint)
        whole = False
        try:
            failure = await exchange()
            whole = failure is None
            if failure is not None and _is_crash(failure):
                self._tracker.record_endpoint_failure(endpoint)
        finally:
            self._tracker.attempt_ended(self._digest, endpoint, whole=whole)
        return failure

    def refusal_after_failure(
        self, outcome: outcomes.Outcome
    ) -> outcomes.ErrorResponse | None:
        """Return the error if it must not be retried, with outcome."""
        refusal = self._tracker.refusal_after_failure(self._digest)
        return refusal and attrs.evolve(refusal, outcome=outcome)

    def close(self) -> None:
        """Leave an unanswered suspect request to its home entry."""
        self._tracker.abandon(self._digest)


def _is_crash(failure: upstream.UpstreamError) -> bool:
    """Return whether a failure is a broken connection.

    Timeouts, invalid responses and refused connections are not crashes.
    """
    cause = failure.__cause__
    if failure.not_sent or isinstance(failure, EndpointAliveError):
        return False
    return not isinstance(cause, TimeoutError)


def make_tracked_call(
    tracker: suspects.SuspectTracker,
    addresses: tuple[str, ...],
    *request_parts: bytes,
) -> TrackedCall:
    """Return a tracked call; request_parts must be the same in a resend."""
    return TrackedCall(tracker, facts.make_digest(*request_parts), addresses)
