"""Remembers which endpoints were found healthy, and when.

Load pattern: hubs repeat a suspicion for a second, while the lease holder has
cleared it after a tenth of that. A repetition must not put the endpoint out of
use again, at some nodes and not at others.
"""

import attrs

from redwingvalve.fleet import incarnation_tracker

# Longer than suspicions last.
RETENTION_S = 10.0
MAX_CLEARANCES = 1_000


@attrs.frozen
class _Clearance:
    epoch: int
    # By the local monotonic clock.
    at_s: float
    # Start of the process that was found healthy, 0 if unknown.
    born_ms: int = 0


@attrs.define(eq=False)
class Clearances:
    """The latest clearance of each endpoint."""

    _latest: dict[str, _Clearance] = attrs.field(factory=dict)

    def record(
        self, endpoint_id: str, epoch: int, at_s: float, born_ms: int = 0
    ) -> None:
        """Record that an endpoint was found healthy, for one formation."""
        known = self._latest.get(endpoint_id)
        if (
            known is not None
            and incarnation_tracker.is_same(known.born_ms, born_ms)
            and (known.epoch, known.at_s) >= (epoch, at_s)
        ):
            return
        self._latest[endpoint_id] = _Clearance(epoch, at_s, born_ms)
        if len(self._latest) > MAX_CLEARANCES:
            self._forget_before(at_s - RETENTION_S)

    def overrules(
        self, endpoint_id: str, epoch: int, since_s: float, born_ms: int = 0
    ) -> bool:
        """Return whether an endpoint was found healthy after a suspicion."""
        known = self._latest.get(endpoint_id)
        if known is None or not incarnation_tracker.is_same(
            known.born_ms, born_ms
        ):
            return False
        return known.epoch >= epoch and known.at_s > since_s

    def forget(self, endpoint_id: str, born_ms: int) -> None:
        """Forget an endpoint's clearance unless it is of the new process."""
        known = self._latest.get(endpoint_id)
        if known is not None and (not born_ms or known.born_ms != born_ms):
            self._latest.pop(endpoint_id)

    def _forget_before(self, at_s: float) -> None:
        self._latest = {
            endpoint_id: known
            for endpoint_id, known in self._latest.items()
            if known.at_s >= at_s
        }
