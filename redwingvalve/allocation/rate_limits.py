"""Counts the requests that rate-limited endpoints get from all nodes.

Load pattern: an endpoint in trouble states in its answers how many requests per
second it takes from all nodes together, far fewer than its slots admit. Nodes
learn this at different times, from answers that overtake each other, and the
node that grants the endpoint's slots may change meanwhile.

Statements and starts can be merged in any order and repeatedly, so each node
reports what it knows to whichever node grants the slots.
"""

import math
from collections import abc as collections_abc

import attrs

from redwingvalve.allocation import start_times

# Lower bound of a limit: only an answer shows that a limit has ended, so an
# endpoint that takes nothing still gets a request from time to time.
MIN_REQUESTS_PER_S = 0.1
# The longest window in which the starts at an endpoint are counted.
MAX_WINDOW_S = 1 / MIN_REQUESTS_PER_S
# Endpoints that gave no answer for this long are forgotten.
RETENTION_S = 60.0


@attrs.frozen
class LimitStatement:
    """The rate limit that an endpoint stated in one answer."""

    endpoint_id: str
    # Over all nodes together; infinite without a limit.
    requests_per_s: float
    # Not later than the moment at which the answered request was sent.
    asked_s: float
    # When the answer arrived.
    stated_s: float
    # Start of the process that stated it, 0 if unknown.
    born_ms: int = 0

    def supersedes(self, other: 'LimitStatement') -> bool:
        """Return whether this statement counts and not another one.

        If it is uncertain which is newer, the stricter one counts.
        """
        if self.born_ms and other.born_ms and self.born_ms != other.born_ms:
            return self.born_ms > other.born_ms
        if self.asked_s >= other.stated_s:
            return True
        if other.asked_s >= self.stated_s:
            return False
        if self.requests_per_s == other.requests_per_s:
            return self.stated_s > other.stated_s
        return self.requests_per_s < other.requests_per_s


@attrs.define(eq=False)
class RateLimits:
    """Stated limits of endpoints, and the starts that count against them."""

    _statements: dict[str, LimitStatement] = attrs.field(factory=dict)
    _starts: start_times.StartTimes = attrs.field(
        factory=start_times.StartTimes
    )

    def record(self, statement: LimitStatement) -> bool:
        """Record a statement; return whether it changes a limit."""
        endpoint_id = statement.endpoint_id
        known = self._statements.get(endpoint_id)
        if known is not None and not statement.supersedes(known):
            return False
        before_per_s = self.requests_per_s(endpoint_id)
        self._statements[endpoint_id] = statement
        return before_per_s != self.requests_per_s(endpoint_id)

    def record_start(
        self,
        endpoint_id: str,
        key: collections_abc.Hashable,
        started_s: float,
    ) -> None:
        """Count a request once against an endpoint's limit, if it has one."""
        if self.is_limited(endpoint_id):
            self._starts.record(endpoint_id, key, started_s)

    def forget(self, endpoint_id: str, born_ms: int) -> None:
        """Forget an endpoint's limit unless its process started at born_ms."""
        known = self._statements.get(endpoint_id)
        if known is not None and born_ms and known.born_ms == born_ms:
            return
        self._statements.pop(endpoint_id, None)
        self._starts.forget(endpoint_id)

    def requests_per_s(self, endpoint_id: str) -> float:
        """Return an endpoint's limit, infinite if it has none."""
        statement = self._statements.get(endpoint_id)
        if statement is None:
            return math.inf
        return max(statement.requests_per_s, MIN_REQUESTS_PER_S)

    def is_limited(self, endpoint_id: str) -> bool:
        """Return whether an endpoint has a limit."""
        return math.isfinite(self.requests_per_s(endpoint_id))

    def limited(self) -> list[str]:
        """Return the endpoints that have a limit."""
        return [name for name in self._statements if self.is_limited(name)]

    def wait_s(self, endpoint_id: str, now_s: float) -> float:
        """Return how long an endpoint takes no further request."""
        if not self.is_limited(endpoint_id):
            return 0
        window = _window(self.requests_per_s(endpoint_id))
        return self._starts.wait_s(endpoint_id, window, now_s)

    def statements(self, since_s: float) -> list[LimitStatement]:
        """Return the statements that arrived after a moment."""
        return [
            statement
            for statement in self._statements.values()
            if statement.stated_s > since_s
        ]

    def recent_starts(
        self, endpoint_id: str, now_s: float
    ) -> start_times.Starts:
        """Return the starts that still count at an endpoint, by request."""
        if not self.is_limited(endpoint_id):
            return {}
        window = _window(self.requests_per_s(endpoint_id))
        return self._starts.since(endpoint_id, now_s - window.length_s)

    def drop_expired(self, now_s: float) -> None:
        """Forget endpoints without recent answers, and starts long ago."""
        self._statements = {
            endpoint_id: statement
            for endpoint_id, statement in self._statements.items()
            if statement.stated_s > now_s - RETENTION_S
        }
        self._starts.drop_until(now_s - MAX_WINDOW_S)
        for endpoint_id in self._starts.endpoint_ids():
            if not self.is_limited(endpoint_id):
                self._starts.forget(endpoint_id)


def _window(requests_per_s: float) -> start_times.Window:
    """Return how many requests may start within a window, and its length.

    The window holds a whole number of requests, so that fractions of a request
    per second are neither lost nor exceeded.
    """
    count = math.ceil(requests_per_s)
    return start_times.Window(count, count / requests_per_s)
