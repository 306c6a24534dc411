"""Tells the incarnations of endpoints apart that have the same id.

Load pattern: an endpoint crashes and its next process is ready within a second,
under the same id. Messages about the previous process are still on their way:
a delayed write to the store, findings of other nodes, answers. None of them may
count against the new process, which holds and knows nothing from before.

The start time of the process decides, and where it isn't stated, the count of
the entry's changes, which starts anew. A clock that was set back gives the new
process an earlier start time: it is accepted once the previous one is silent.
"""

import enum
import time
import typing
from collections import abc as collections_abc

import attrs

# An earlier start time counts as a new process if the process that is known has
# not written for this long: two heartbeats of 1.2 s and the lag of a watch.
SILENT_S = 3.0
# Earlier start times that are remembered of each endpoint.
MAX_PREVIOUS = 4
# Limit on the endpoints that are remembered, including those that are gone.
MAX_INCARNATIONS = 10_000


class Observation(enum.Enum):
    """What an entry says about the process of its endpoint."""

    KNOWN = 'known'
    NEW = 'new'
    OUTDATED = 'outdated'


_KNOWN: typing.Final = Observation.KNOWN


@attrs.define
class _Incarnation:
    # 0 if it isn't stated.
    born_ms: int
    sequence: int
    seen_s: float
    previous_ms: tuple[int, ...] = ()


class IncarnationTracker:
    """The current process of each endpoint, as its entries say."""

    def __init__(
        self, clock: collections_abc.Callable[[], float] = time.monotonic
    ) -> None:
        """Start without endpoints."""
        self._clock = clock
        self._current: dict[str, _Incarnation] = {}

    def observe(
        self, endpoint_id: str, born_ms: int, sequence: int
    ) -> Observation:
        """Record an entry; return which process it is of."""
        now_s = self._clock()
        known = self._current.pop(endpoint_id, None)
        if known is None:
            if len(self._current) >= MAX_INCARNATIONS:
                self._current.pop(next(iter(self._current)))
            self._current[endpoint_id] = _Incarnation(born_ms, sequence, now_s)
            return _KNOWN
        self._current[endpoint_id] = known
        if _is_new(known, born_ms, sequence):
            is_silent = now_s - known.seen_s > SILENT_S
            if _is_earlier(known, born_ms) and not is_silent:
                return Observation.OUTDATED
            previous = (known.born_ms, *known.previous_ms)[:MAX_PREVIOUS]
            self._current[endpoint_id] = _Incarnation(
                born_ms, sequence, now_s, previous
            )
            return Observation.NEW
        known.sequence = sequence
        known.seen_s = now_s
        return _KNOWN

    def born_ms(self, endpoint_id: str) -> int:
        """Return the start time of the current process, 0 if unknown."""
        known = self._current.get(endpoint_id)
        return known.born_ms if known else 0

    def is_past(self, endpoint_id: str, born_ms: int | None) -> bool:
        """Return whether a start time is that of a previous process.

        One that isn't known yet may be that of the next process.
        """
        known = self._current.get(endpoint_id)
        if known is None or not known.born_ms or not born_ms:
            return False
        return born_ms != known.born_ms and _is_earlier(known, born_ms)


def is_same(born_ms: int, other_ms: int) -> bool:
    """Return whether two start times may be of one process; 0 is unknown."""
    return born_ms == other_ms or not (born_ms and other_ms)


def _is_new(known: _Incarnation, born_ms: int, sequence: int) -> bool:
    if born_ms or known.born_ms:
        return born_ms != known.born_ms
    return sequence < known.sequence


def _is_earlier(known: _Incarnation, born_ms: int) -> bool:
    if not (born_ms and known.born_ms):
        return False
    return born_ms < known.born_ms or born_ms in known.previous_ms
