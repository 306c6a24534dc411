"""Counts the starts at endpoints that are cold, or may be without saying so.

Load pattern: an endpoint turns cold, and its entry says so a second later; a
data centre returns with all its endpoints cold; the node that counts the starts
changes meanwhile. So each start at an endpoint of a service that limits what
cold endpoints get is counted, cold or not: a limit that begins knows the second
before it.

The code uses no network. The node that grants slots counts the starts of all
nodes, and each node its own.
"""

import time
from collections import abc as collections_abc

import attrs

from redwingvalve.allocation import (
    cold_endpoints,
    owner_knowledge,
    start_times,
)

_ALL = owner_knowledge.Knowledge.ALL


@attrs.define(eq=False)
class ColdStarts:
    """The latest starts at endpoints, as one node knows them."""

    endpoints: cold_endpoints.ColdEndpoints
    _starts: start_times.StartTimes = attrs.field(
        factory=start_times.StartTimes
    )

    def record(
        self,
        endpoint_id: str,
        key: collections_abc.Hashable,
        started_s: float,
    ) -> None:
        """Count a request once, if starts at its endpoint are limited."""
        if self.endpoints.is_limited(endpoint_id):
            self._starts.record(endpoint_id, key, started_s)

    def wait_s(
        self,
        endpoint_id: str,
        now_s: float,
        knowledge: owner_knowledge.Knowledge = _ALL,
    ) -> float:
        """Return how long an endpoint accepts no further start."""
        limit = self.endpoints.limit(endpoint_id, knowledge)
        if limit is None:
            return 0
        return max(
            self._starts.wait_s(endpoint_id, window, now_s)
            for window in limit.windows
        )

    def starts_per_s(self, endpoint_id: str) -> float:
        """Return the rate at which an endpoint accepts starts."""
        limit = self.endpoints.limit(endpoint_id, _ALL)
        return float('inf') if limit is None else limit.per_s

    def drop_expired(self, now_s: float) -> None:
        """Forget starts that no limit counts any more."""
        self._starts.drop_until(now_s - self.endpoints.window_s)


def make_unlimited() -> ColdStarts:
    """Return starts that no service limits."""
    return ColdStarts(cold_endpoints.ColdEndpoints(time.monotonic))
