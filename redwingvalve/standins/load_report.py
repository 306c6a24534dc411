"""An engine's load report, which lags behind the truth."""

import collections

import attrs

KEPT_S = 30.0


@attrs.frozen
class LoadSample:
    """The load at one moment; at_s is a wall time."""

    running: int
    waiting: int
    kv_used_share: float
    tokens_per_s: float
    at_s: float


IDLE = LoadSample(0, 0, 0.0, 0.0, 0.0)


class LoadReport:
    """Samples by time; a reader gets the newest that is old enough."""

    def __init__(self, lag_s: float) -> None:
        """Tell each sample lag_s after it was taken."""
        self.lag_s = lag_s
        self._samples: collections.deque[LoadSample] = collections.deque()

    def add(self, sample: LoadSample) -> None:
        """Keep a sample."""
        self._samples.append(sample)
        while self._samples[0].at_s < sample.at_s - KEPT_S:
            self._samples.popleft()

    def visible(self, now_s: float) -> LoadSample:
        """Return the newest sample that is at least lag_s old."""
        for sample in reversed(self._samples):
            if sample.at_s <= now_s - self.lag_s:
                return sample
        return attrs.evolve(IDLE, at_s=now_s - self.lag_s)
