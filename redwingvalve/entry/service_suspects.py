"""Keeps requests that crash plain services from crashing them all.

A service has few addresses and restarts at the same one. A suspect is run at
the entry that may use one of them, see SuspectGate.refusal; the rules are those
for model requests.
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
    """The instance lives, but its answer is wrong or comes too late."""


class TrackedCall:
    """One request for a service, as the suspects' gate sees it."""

    def __init__(
        self,
        tracker: suspects.SuspectTracker,
        digest: bytes,
        addresses: tuple[str, ...],
    ) -> None:
        """Watch a request for a service at addresses."""
        self._tracker = tracker
        self._digest = digest
        self._addresses = addresses

    def refusal(self) -> outcomes.ErrorAnswer | None:
        """Return why the request is not run at all, if so."""
        return self._tracker.refusal(self._digest, self._addresses)

    def allowed_addresses(self) -> frozenset[str]:
        """Return the addresses where it may go now."""
        only = self._tracker.allowed(self._digest, self._addresses)
        return frozenset(self._addresses) if only is None else only

    async def send(
        self, address: str, exchange: Exchange
    ) -> upstream.UpstreamError | None:
        """Send once; a connection that breaks counts as a death."""
        endpoint = suspects.ServiceAddress(address)
        self._tracker.attempt_started(self._digest, endpoint)
        whole = False
        try:
            failure = await exchange()
            whole = failure is None
            if failure is not None and _is_crash(failure):
                self._tracker.endpoint_died(endpoint)
        finally:
            self._tracker.ended(self._digest, endpoint, whole=whole)
        return failure

    def refusal_after_failure(
        self, outcome: outcomes.Outcome
    ) -> outcomes.ErrorAnswer | None:
        """Return why it isn't sent again; outcome is that of its sends."""
        refusal = self._tracker.refusal_after_death(self._digest)
        return refusal and attrs.evolve(refusal, outcome=outcome)

    def close(self) -> None:
        """Leave a suspect that ends unanswered to its home."""
        self._tracker.abandon(self._digest)


def _is_crash(failure: upstream.UpstreamError) -> bool:
    """Tell a broken connection from a slow, a wrong or no answer."""
    cause = failure.__cause__
    if failure.not_sent or isinstance(failure, EndpointAliveError):
        return False
    return not isinstance(cause, TimeoutError)


def make_tracked_call(
    tracker: suspects.SuspectTracker,
    addresses: tuple[str, ...],
    *request_parts: bytes,
) -> TrackedCall:
    """Return the watch of a request; its parts stay the same in a resend."""
    return TrackedCall(tracker, facts.make_digest(*request_parts), addresses)
