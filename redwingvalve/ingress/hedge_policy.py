"""Decides from which moment on a request counts as overdue and may be hedged.

Load pattern: a few answers of a kind take several times as long as the others,
because their endpoint is slow for a while; or all answers become slow at once,
because all endpoints are loaded. In the first case a second send helps, in the
second it adds load.

The moment follows the durations of recent answers of the same kind. A quantile
alone would lie within the tail if more answers are slow than may be hedged, so
that it is limited by a multiple of the median. If more than half of the recent
requests pass the moment, the fleet is slow and nothing is hedged until the
observed durations have caught up.
"""

import collections
import itertools
import typing

import attrs

# Requests of one kind: route, service and model.
Kind: typing.TypeAlias = tuple[str, str, str]

# Durations that are kept of each kind, and for how long. At a few requests per
# second and node, 100 cover about half a minute.
MAX_SAMPLES = 100
MAX_AGE_S = 60.0
# A tenth of fewer samples is too few to tell what is usual.
MIN_SAMPLES = 20
# The kinds of a configuration are dozens; of old ones, the oldest are dropped.
MAX_KINDS = 256
# At most the slowest tenth of the answers counts as overdue.
MAX_OVERDUE_SHARE = 0.1
# An answer that takes so many medians is overdue in any case.
MAX_MEDIANS = 3.0
# Shorter delays are within the variation of network and timers.
MIN_DELAY_S = 0.02
# Requests by which a slow fleet is told from a slow endpoint, and the share of
# them that is overdue if all endpoints are slow.
RECENT_REQUESTS = 20
SLOW_FLEET_SHARE = 0.5


@attrs.frozen
class _Sample:
    moment_s: float
    duration_s: float


def _make_samples() -> collections.deque[_Sample]:
    return collections.deque(maxlen=MAX_SAMPLES)


def _make_recent() -> collections.deque[bool]:
    return collections.deque(maxlen=RECENT_REQUESTS)


@attrs.define(eq=False)
class KindLatencies:
    """What is observed of the requests of one kind at this node."""

    _samples: collections.deque[_Sample] = attrs.field(factory=_make_samples)
    # Whether each recent request was overdue.
    _recent: collections.deque[bool] = attrs.field(factory=_make_recent)

    def observe(
        self, duration_s: float, now_s: float, *, is_overdue: bool
    ) -> None:
        """Add the duration of an answer.

        Of a send that was cancelled, the time until then: its answer would have
        taken longer, so it stays above the moment at which it was hedged.
        """
        self._samples.append(_Sample(now_s, max(0, duration_s)))
        if not is_overdue:
            self._recent.append(False)

    def note_overdue(self) -> None:
        """Count a request that has no answer at its moment."""
        self._recent.append(True)

    def delay_s(self, share: float, now_s: float) -> float | None:
        """Return the time after which an answer is overdue, None if unknown.

        share is the share of requests that may be hedged.
        """
        self._drop_expired(now_s)
        if len(self._samples) < MIN_SAMPLES:
            return None
        ordered = sorted(sample.duration_s for sample in self._samples)
        count = len(ordered)
        overdue = int(min(share, MAX_OVERDUE_SHARE) * count)
        quantile_s = ordered[count - 1 - overdue]
        median_s = ordered[count // 2]
        return max(MIN_DELAY_S, min(quantile_s, MAX_MEDIANS * median_s))

    @property
    def is_fleet_slow(self) -> bool:
        """Return whether most recent requests are overdue."""
        return sum(self._recent) > SLOW_FLEET_SHARE * RECENT_REQUESTS

    def _drop_expired(self, now_s: float) -> None:
        samples = self._samples
        while samples and now_s - samples[0].moment_s > MAX_AGE_S:
            samples.popleft()


class HedgePolicy:
    """Latencies of all kinds of requests at this node."""

    def __init__(self) -> None:
        """Start without observations."""
        self._kinds: dict[Kind, KindLatencies] = {}

    def latencies(self, kind: Kind) -> KindLatencies:
        """Return what is observed of a kind."""
        # The kind in use moves to the end; the first one is the oldest.
        found = self._kinds.pop(kind, None) or KindLatencies()
        self._kinds[kind] = found
        excess = len(self._kinds) - MAX_KINDS
        for oldest in list(itertools.islice(self._kinds, max(0, excess))):
            self._kinds.pop(oldest)
        return found
