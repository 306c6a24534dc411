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


class AnsweredError(upstream.UpstreamError):
    """The instance lives, but its answer is wrong or comes too late."""


class WatchedCall:
    """One request for a service, as the suspects' gate sees it."""

    def __init__(
        self,
        gate: suspects.SuspectGate,
        digest: bytes,
        addresses: tuple[str, ...],
    ) -> None:
        """Watch a request for a service at addresses."""
        self._gate = gate
        self._digest = digest
        self._addresses = addresses

    def refusal(self) -> outcomes.ErrorResponse | None:
        """Return why the request is not run at all, if so."""
        return self._gate.refusal(self._digest, self._addresses)

    def allowed(self) -> frozenset[str]:
        """Return the addresses where it may go now."""
        only = self._gate.allowed(self._digest, self._addresses)
        return frozenset(self._addresses) if only is None else only

    async def send(
        self, address: str, exchange: Exchange
    ) -> upstream.UpstreamError | None:
        """Send once; a connection that breaks counts as a death."""
        endpoint = suspects.ServiceAddress(address)
        self._gate.began(self._digest, endpoint)
        whole = False
        try:
            failure = await exchange()
            whole = failure is None
            if failure is not None and _broke(failure):
                self._gate.endpoint_died(endpoint)
        finally:
            self._gate.ended(self._digest, endpoint, whole=whole)
        return failure

    def refusal_after(
        self, outcome: outcomes.Outcome
    ) -> outcomes.ErrorResponse | None:
        """Return why it isn't sent again; outcome is that of its sends."""
        refusal = self._gate.refusal_after_death(self._digest)
        return refusal and attrs.evolve(refusal, outcome=outcome)

    def close(self) -> None:
        """Leave a suspect that ends unanswered to its home."""
        self._gate.gave_up(self._digest)


def _broke(failure: upstream.UpstreamError) -> bool:
    """Tell a broken connection from a slow, a wrong or no answer."""
    cause = failure.__cause__
    if failure.surely_not_run or isinstance(failure, AnsweredError):
        return False
    return not isinstance(cause, TimeoutError)


def make_watched_call(
    gate: suspects.SuspectGate,
    addresses: tuple[str, ...],
    *request_parts: bytes,
) -> WatchedCall:
    """Return the watch of a request; its parts stay the same in a resend."""
    return WatchedCall(gate, facts.make_digest(*request_parts), addresses)
