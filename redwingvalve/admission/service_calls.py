"""Calls to plain services as admission sees them: by how long they take.

Load pattern: a price list that answers in milliseconds stands beside an
export of half a minute, on the same addresses, and more is asked than fits.
Without this a few exports hold every place and the light calls are refused.

A call costs the milliseconds for which it holds a place. They are learned for
each method and path; nobody declares them, and a service that
grows slow is seen as slow.
"""

import collections

from redwingvalve.admission import messages

# A call of an unknown path; one in ten of the typical timeout of 10 s would
# refuse too much of what has never been tried.
START_MS = 100.0
STEP = 0.1
# Two kinds of calls are told apart by more than their scatter.
APART = 4.0
LIGHT_MS = 50.0
LONG_MS = 1000.0
# Deeper parts of a path are mostly names of single things.
PATH_PARTS = 3
# A service and a method.
SHORTEST = 2
MAX_PATHS = 1000
MS_PER_S = 1000.0
# Every place is declared, so the bound may not grow past it; the time that a
# call takes stands in its deadline, so none is expected on top.
ADMISSION_SETTINGS = messages.AdmissionSettings(
    first_token_s=0.0, most_over_declared=1.0
)


class CallDurations:
    """How long calls took, by service, method and beginning of the path.

    All paths of a service and method are one until some take far longer or
    shorter; those get a word of their own. Thousands of paths that differ in
    the name of a thing stay one in this way.
    """

    def __init__(self) -> None:
        """Know nothing yet."""
        self._usual_ms: collections.OrderedDict[tuple[str, ...], float] = (
            collections.OrderedDict()
        )

    def expected_ms(self, service: str, method: str, path: str) -> float:
        """Return how long a call will hold its place."""
        known = self._known(_parts_of(service, method, path))
        return START_MS if known is None else self._usual_ms[known]

    def kind(self, service: str, method: str, path: str) -> messages.JobKind:
        """Return the lane of a call; what has never ended may be long."""
        known = self._known(_parts_of(service, method, path))
        if known is None:
            return messages.JobKind.LONG
        return _job_kind(self._usual_ms[known])

    def learn(self, service: str, method: str, path: str, ms: float) -> None:
        """Take in how long a call took."""
        parts = _parts_of(service, method, path)
        known = self._known(parts)
        if known is None:
            known = parts[:SHORTEST]
            self._usual_ms[known] = ms
        usual_ms = self._usual_ms[known]
        apart = not usual_ms / APART <= ms <= usual_ms * APART
        if apart and known != parts:
            known, usual_ms = parts, ms
        self._usual_ms[known] = usual_ms + STEP * (ms - usual_ms)
        self._usual_ms.move_to_end(known)
        if len(self._usual_ms) > MAX_PATHS:
            self._usual_ms.popitem(last=False)

    def _known(self, parts: tuple[str, ...]) -> tuple[str, ...] | None:
        for length in range(len(parts), SHORTEST - 1, -1):
            if parts[:length] in self._usual_ms:
                return parts[:length]
        return None


def _parts_of(service: str, method: str, path: str) -> tuple[str, ...]:
    parts = [part for part in path.split('/') if part]
    return (service, method, *parts[:PATH_PARTS])


def _job_kind(expected_ms: float) -> messages.JobKind:
    """Return the lane of a call."""
    if expected_ms <= LIGHT_MS:
        return messages.JobKind.LIGHT
    if expected_ms > LONG_MS:
        return messages.JobKind.LONG
    return messages.JobKind.SHORT
