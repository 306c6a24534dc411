"""Endpoints that want no request from this node for a while.

Load pattern: an overloaded endpoint turns requests away and names a time for
which it wants none from that node; a slot there seems free all the while, so
that it is granted first. Other nodes may still send to the endpoint.
"""

from collections import abc as collections_abc

import attrs

from redwingvalve.observability import node_metrics


@attrs.define(eq=False)
class EndpointRests:
    """Until when each endpoint wants no request from this node."""

    clock: collections_abc.Callable[[], float]
    _until_s: dict[str, float] = attrs.field(factory=dict)

    def start(self, endpoint_id: str, rest_s: float) -> None:
        """Let an endpoint rest; an earlier rest is never shortened."""
        now_s = self.clock()
        node_metrics.METRICS.count('redwingvalve_endpoint_rests')
        until_s = {
            name: until_s
            for name, until_s in self._until_s.items()
            if until_s > now_s
        }
        until_s[endpoint_id] = max(
            until_s.get(endpoint_id, now_s), now_s + rest_s
        )
        self._until_s = until_s

    def forget(self, endpoint_id: str) -> None:
        """End the rest of an endpoint whose process has restarted."""
        self._until_s.pop(endpoint_id, None)

    def resting(self) -> list[str]:
        """Return the endpoints that rest, those that rest longest first."""
        now_s = self.clock()
        names = [
            name for name, until_s in self._until_s.items() if until_s > now_s
        ]
        return sorted(names, key=self.left_s, reverse=True)

    def left_s(self, endpoint_id: str) -> float:
        """Return how much longer an endpoint rests, 0 if it doesn't."""
        until_s = self._until_s.get(endpoint_id)
        return 0.0 if until_s is None else max(until_s - self.clock(), 0.0)
