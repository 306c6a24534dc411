"""Decides which endpoints this node avoids because it can't connect to them.

Load pattern: a node loses its path to some endpoints for seconds, while the
other nodes reach them. It reports the first failure, as the endpoint may have
died. The lease holder finds the endpoint healthy, and all nodes use it again,
also the one that can't. If that one reported each further failure, it would
take a sound endpoint from the whole fleet twice a second, and its callers would
wait for a connect to time out each time.

So an endpoint that failed here is avoided here until a connect succeeds,
whatever other nodes found. If a connect fails while the fleet doesn't doubt the
endpoint, the path is lost, and that is reported to nobody: an endpoint that has
died meanwhile is found by the nodes that use it, and its entry expires.
"""

import math

import attrs

from redwingvalve.fleet import incarnation_tracker
from redwingvalve.observability import logs

LOG = logs.make_logger('paths')
# Between the starts of two probes; doubles with each one that fails.
MIN_PROBE_INTERVAL_S = 0.5
MAX_PROBE_INTERVAL_S = 2.0
# A connect that fails within this time of a successful probe is another failure
# of a path that loses a part of the connects.
RELAPSE_S = 2.0
# Limit on the paths that are watched.
MAX_PATHS = 10_000


@attrs.define
class _Path:
    # Start of the endpoint's process, 0 if unknown.
    born_ms: int
    probe_due_s: float
    interval_s: float = MIN_PROBE_INTERVAL_S
    # Whether a connect has failed.
    has_failed: bool = False
    is_lost: bool = False
    # When a probe succeeded, infinite before.
    back_s: float = math.inf


@attrs.define(eq=False)
class LostPaths:
    """Paths of this node to endpoints that have failed; times are monotonic."""

    _paths: dict[str, _Path] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Return the number of lost paths."""
        return sum(path.is_lost for path in self._paths.values())

    def lost_ids(self) -> set[str]:
        """Return the ids of the endpoints whose paths are lost."""
        return {name for name, path in self._paths.items() if path.is_lost}

    def doubt(self, endpoint_id: str, born_ms: int, now_s: float) -> None:
        """Have the path to a silent endpoint probed, which stays in use here.

        born_ms is the start of its process, 0 if unknown.
        """
        path = self._find(endpoint_id, born_ms)
        if path is None or path.back_s < math.inf:
            self._add(endpoint_id, born_ms, now_s).probe_due_s = now_s

    def record_failure(
        self,
        endpoint_id: str,
        born_ms: int,
        now_s: float,
        *,
        is_suspect: bool,
    ) -> bool:
        """Record a failed connect; return whether the fleet may be at fault.

        is_suspect: whether the endpoint is out of use in the fleet.
        """
        path = self._find(endpoint_id, born_ms)
        if path is None or now_s - path.back_s > RELAPSE_S:
            self._add(endpoint_id, born_ms, now_s).has_failed = True
            return True
        if path.back_s < math.inf:
            path = self._add(endpoint_id, born_ms, now_s)
        path.has_failed = True
        if not is_suspect:
            self._lose(endpoint_id, path)
        return not path.is_lost

    def probe_soon(self, endpoint_id: str, now_s: float) -> None:
        """Have a path probed now, as the fleet uses its endpoint again."""
        path = self._paths.get(endpoint_id)
        if path is not None and path.back_s == math.inf and not path.is_lost:
            path.probe_due_s = now_s

    def next_probe_s(self) -> float:
        """Return when the next probe is due, infinite without any."""
        return min(
            (path.probe_due_s for path in self._paths.values()),
            default=math.inf,
        )

    def start_probes(self, now_s: float) -> dict[str, int]:
        """Return the endpoints to probe now, with the starts of processes."""
        self._drop_recovered(now_s)
        due = {
            endpoint_id: path
            for endpoint_id, path in self._paths.items()
            if path.probe_due_s <= now_s
        }
        for path in due.values():
            path.probe_due_s = now_s + path.interval_s
            path.interval_s = min(2 * path.interval_s, MAX_PROBE_INTERVAL_S)
        return {endpoint_id: one.born_ms for endpoint_id, one in due.items()}

    def record_probe(
        self,
        endpoint_id: str,
        born_ms: int,
        now_s: float,
        *,
        is_connected: bool,
        is_suspect: bool,
    ) -> None:
        """Record the result of a probe, as for record_failure."""
        path = self._find(endpoint_id, born_ms)
        if path is None or path.back_s < math.inf:
            return
        if is_connected:
            self._recover(endpoint_id, path, now_s)
            return
        path.has_failed = True
        if not is_suspect:
            self._lose(endpoint_id, path)

    def is_avoided(self, endpoint_id: str, born_ms: int) -> bool:
        """Return whether this node can't connect to an endpoint's process."""
        path = self._find(endpoint_id, born_ms)
        if path is None or not path.has_failed:
            return False
        return path.back_s == math.inf

    def is_lost(self, endpoint_id: str, born_ms: int) -> bool:
        """Return whether the path is lost, and the endpoint not to blame."""
        path = self._find(endpoint_id, born_ms)
        return path is not None and path.is_lost

    def forget(self, endpoint_id: str, born_ms: int = 0) -> None:
        """Forget an endpoint's path unless it is that of the new process."""
        path = self._paths.get(endpoint_id)
        if path is not None and not (born_ms and path.born_ms == born_ms):
            self._paths.pop(endpoint_id)

    def forget_all(self) -> bool:
        """Forget all paths, as none works; return whether there were any."""
        had_any = bool(self._paths)
        self._paths.clear()
        return had_any

    def _find(self, endpoint_id: str, born_ms: int) -> _Path | None:
        path = self._paths.get(endpoint_id)
        if path is None:
            return None
        is_same = incarnation_tracker.is_same(path.born_ms, born_ms)
        return path if is_same else None

    def _add(self, endpoint_id: str, born_ms: int, now_s: float) -> _Path:
        if len(self._paths) >= MAX_PATHS:
            self._paths.pop(next(iter(self._paths)))
        path = _Path(born_ms, now_s + MIN_PROBE_INTERVAL_S)
        self._paths[endpoint_id] = path
        return path

    def _lose(self, endpoint_id: str, path: _Path) -> None:
        if not path.is_lost:
            LOG.warning('path lost', extra={'endpoint': endpoint_id})
        path.is_lost = True

    def _recover(self, endpoint_id: str, path: _Path, now_s: float) -> None:
        if path.is_lost:
            LOG.info('path back', extra={'endpoint': endpoint_id})
        if not path.has_failed:
            self._paths.pop(endpoint_id)
        path.is_lost = False
        path.probe_due_s = math.inf
        path.back_s = now_s

    def _drop_recovered(self, now_s: float) -> None:
        recovered = [
            endpoint_id
            for endpoint_id, path in self._paths.items()
            if now_s - path.back_s > RELAPSE_S
        ]
        for endpoint_id in recovered:
            self._paths.pop(endpoint_id)
