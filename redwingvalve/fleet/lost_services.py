"""Decides when all paths of this node to a service are in doubt.

Load pattern: a data centre loses its links to the endpoints of one service and
keeps the others. If each path is found by a request whose connect fails, a
service with a dozen endpoints fails requests for many seconds, the longer the
fewer requests there are.

One lost path is a matter of its endpoint. Two at a time, to endpoints that the
fleet finds healthy, put the other paths in doubt: they are probed before
requests try them, in rounds as long as each finds more lost ones. A doubted
path stays in use until its probe fails.
"""

import collections
import random
from collections import abc as collections_abc

import attrs

from redwingvalve.fleet import endpoints

# Lost paths to a service that put its others in doubt.
MIN_LOST = 2
# Between two rounds of probes of a service, and paths that one doubts at most.
ROUND_INTERVAL_S = 1.0
MAX_DOUBTED = 20


@attrs.frozen
class _Round:
    began_s: float
    lost_count: int


@attrs.define(eq=False)
class LostServices:
    """Rounds of probes by service; times are monotonic."""

    rng: random.Random = attrs.field(factory=random.Random)
    _latest: dict[str, _Round] = attrs.field(factory=dict)

    def find_doubted(
        self,
        usable: collections_abc.Collection[endpoints.Endpoint],
        lost_ids: collections_abc.Container[str],
        now_s: float,
    ) -> list[endpoints.Endpoint]:
        """Return the endpoints whose paths are to be probed now."""
        lost = collections.Counter(
            one.service for one in usable if one.endpoint_id in lost_ids
        )
        due = {
            service: _Round(now_s, count)
            for service, count in lost.items()
            if self._is_due(service, count, now_s)
        }
        self._latest.update(due)
        for recovered in self._latest.keys() - lost.keys():
            self._latest.pop(recovered)
        chosen = []
        for service in due:
            left = [
                one
                for one in usable
                if one.service == service and one.endpoint_id not in lost_ids
            ]
            chosen.extend(self.rng.sample(left, min(MAX_DOUBTED, len(left))))
        return chosen

    def _is_due(self, service: str, lost_count: int, now_s: float) -> bool:
        if lost_count < MIN_LOST:
            return False
        latest = self._latest.get(service)
        if latest is None:
            return True
        is_over = now_s - latest.began_s >= ROUND_INTERVAL_S
        return is_over and lost_count > latest.lost_count
