"""Remembers which processes of endpoints are going to stop.

Load pattern: an endpoint says in its answers that it leaves, and its entry says
so seconds later or never. Its next process has the same id and stays.
"""

import attrs

from redwingvalve.fleet import endpoints, incarnation_tracker

# Limit on the endpoints that are known to leave, including those that are gone.
MAX_KNOWN_LEAVING = 10_000


@attrs.define(eq=False)
class LeavingMarks:
    """Endpoints that leave, and the start of the process that said so."""

    _tracker: incarnation_tracker.IncarnationTracker
    _born_ms: dict[str, int] = attrs.field(factory=dict)

    def add(self, endpoint_id: str, born_ms: int) -> bool:
        """Mark a process, the current one for 0; return whether it is new."""
        if self._tracker.is_past(endpoint_id, born_ms):
            return False
        marked_ms = born_ms or self._tracker.born_ms(endpoint_id)
        if self._born_ms.get(endpoint_id) == marked_ms:
            return False
        if len(self._born_ms) >= MAX_KNOWN_LEAVING:
            self._born_ms.clear()
        self._born_ms[endpoint_id] = marked_ms
        return True

    def is_leaving(self, endpoint: endpoints.Endpoint) -> bool:
        """Return whether an endpoint drains or its process is marked."""
        if endpoint.draining:
            return True
        marked_ms = self._born_ms.get(endpoint.endpoint_id)
        if marked_ms is None:
            return False
        return incarnation_tracker.is_same(marked_ms, endpoint.born_ms)

    def forget(self, endpoint_id: str, born_ms: int) -> None:
        """Forget a mark unless it is of the new process."""
        if not born_ms or self._born_ms.get(endpoint_id) != born_ms:
            self._born_ms.pop(endpoint_id, None)
