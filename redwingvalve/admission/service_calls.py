"""Cost of calls to plain services: their expected duration.

Load pattern: a price list that responds in milliseconds and an export that
takes half a minute, on the same addresses, with demand above capacity. Without
these estimates a few exports hold every slot and the light calls are refused.

The cost of a call is the time in milliseconds for which it holds a slot. It is
learned per method and path instead of declared, so that it follows a service
that becomes slow.
"""

import collections

from redwingvalve.admission import messages

# Assumed duration on an unknown path. A tenth of the typical timeout of 10 s
# would refuse too many calls that were never tried.
INITIAL_MS = 100.0
AVERAGE_STEP = 0.1
# Durations that differ by this factor are two kinds of call and no variation.
KIND_RATIO = 4.0
MAX_LIGHT_MS = 50.0
MAX_SHORT_MS = 1000.0
# Deeper parts of a path are mostly names of single objects.
MAX_PATH_PARTS = 3
# The key of all paths of a service and method.
MIN_KEY_PARTS = 2
MAX_PATHS = 1000
MS_PER_S = 1000.0
# All slots are declared, so the limit may not exceed them. The deadline of a
# call includes its duration, so no first-token delay is added.
ADMISSION_SETTINGS = messages.AdmissionSettings(
    first_token_s=0.0, most_over_declared=1.0
)


class CallDurations:
    """Mean durations by service, method and beginning of the path.

    All paths of a service and method share one mean until the duration of some
    differs by KIND_RATIO; those get means of their own. Thousands of paths that
    differ only in the name of an object therefore stay together.
    """

    def __init__(self) -> None:
        """Start without durations."""
        self._mean_ms: collections.OrderedDict[tuple[str, ...], float] = (
            collections.OrderedDict()
        )

    def expected_ms(self, service: str, method: str, path: str) -> float:
        """Return how long a call is expected to hold its slot."""
        key = self._find_key(_key_parts(service, method, path))
        return INITIAL_MS if key is None else self._mean_ms[key]

    def kind(self, service: str, method: str, path: str) -> messages.JobKind:
        """Return the lane of a call; LONG if its duration is unknown."""
        key = self._find_key(_key_parts(service, method, path))
        if key is None:
            return messages.JobKind.LONG
        return _job_kind(self._mean_ms[key])

    def learn(self, service: str, method: str, path: str, ms: float) -> None:
        """Record the duration of a call."""
        parts = _key_parts(service, method, path)
        key = self._find_key(parts)
        if key is None:
            key = parts[:MIN_KEY_PARTS]
            self._mean_ms[key] = ms
        mean_ms = self._mean_ms[key]
        differs = not mean_ms / KIND_RATIO <= ms <= mean_ms * KIND_RATIO
        if differs and key != parts:
            key, mean_ms = parts, ms
        self._mean_ms[key] = mean_ms + AVERAGE_STEP * (ms - mean_ms)
        self._mean_ms.move_to_end(key)
        if len(self._mean_ms) > MAX_PATHS:
            self._mean_ms.popitem(last=False)

    def _find_key(self, parts: tuple[str, ...]) -> tuple[str, ...] | None:
        for length in range(len(parts), MIN_KEY_PARTS - 1, -1):
            if parts[:length] in self._mean_ms:
                return parts[:length]
        return None


def _key_parts(service: str, method: str, path: str) -> tuple[str, ...]:
    parts = [part for part in path.split('/') if part]
    return (service, method, *parts[:MAX_PATH_PARTS])


def _job_kind(expected_ms: float) -> messages.JobKind:
    """Return the lane for an expected duration."""
    if expected_ms <= MAX_LIGHT_MS:
        return messages.JobKind.LIGHT
    if expected_ms > MAX_SHORT_MS:
        return messages.JobKind.LONG
    return messages.JobKind.SHORT
