"""Start times of requests at endpoints, each request counted once.

Starts can be recorded in any order and repeatedly, so that whoever counts them
can be told everything again.
"""

import bisect
import typing
from collections import abc as collections_abc

import attrs

Starts: typing.TypeAlias = dict[collections_abc.Hashable, float]


@attrs.frozen
class Window:
    """How many requests may start within a time."""

    count: int
    length_s: float


@attrs.define
class _EndpointStarts:
    by_key: Starts = attrs.field(factory=dict)
    # The same times; windows are looked up for each endpoint of a pool and
    # each waiting request.
    in_order_s: list[float] = attrs.field(factory=list)


@attrs.define(eq=False)
class StartTimes:
    """Start times by endpoint and by what identifies each request."""

    _by_endpoint: dict[str, _EndpointStarts] = attrs.field(factory=dict)

    def record(
        self,
        endpoint_id: str,
        key: collections_abc.Hashable,
        started_s: float,
    ) -> None:
        """Count a request once; its first recorded time counts."""
        starts = self._by_endpoint.setdefault(endpoint_id, _EndpointStarts())
        if key not in starts.by_key:
            starts.by_key[key] = started_s
            bisect.insort(starts.in_order_s, started_s)

    def wait_s(self, endpoint_id: str, window: Window, now_s: float) -> float:
        """Return how long the window admits no further start."""
        if not window.count:
            return window.length_s
        starts = self._by_endpoint.get(endpoint_id)
        if starts is None or len(starts.in_order_s) < window.count:
            return 0
        earliest_s = starts.in_order_s[-window.count]
        return max(0, earliest_s + window.length_s - now_s)

    def since(self, endpoint_id: str, since_s: float) -> Starts:
        """Return the starts at an endpoint after a moment, by request."""
        starts = self._by_endpoint.get(endpoint_id)
        if starts is None:
            return {}
        return {
            key: started_s
            for key, started_s in starts.by_key.items()
            if started_s > since_s
        }

    def endpoint_ids(self) -> list[str]:
        """Return the endpoints with recorded starts."""
        return list(self._by_endpoint)

    def forget(self, endpoint_id: str) -> None:
        """Drop all starts at an endpoint."""
        self._by_endpoint.pop(endpoint_id, None)

    def drop_until(self, until_s: float) -> None:
        """Drop the starts up to a moment."""
        for endpoint_id in self.endpoint_ids():
            if self._by_endpoint[endpoint_id].in_order_s[0] > until_s:
                continue
            starts = self.since(endpoint_id, until_s)
            if starts:
                self._by_endpoint[endpoint_id] = _EndpointStarts(
                    starts, sorted(starts.values())
                )
            else:
                self.forget(endpoint_id)
