"""An engine's load report, which lags behind its current load."""

import collections

import attrs

RETENTION_S = 30.0


@attrs.frozen
class LoadSample:
    """The load at one time; at_s is wall-clock time."""

    running: int
    waiting: int
    kv_used_share: float
    tokens_per_s: float
    at_s: float


IDLE = LoadSample(0, 0, 0.0, 0.0, 0.0)


class LoadReport:
    """Samples in time order; readers see them with a delay."""

    def __init__(self, lag_s: float) -> None:
        """Make each sample visible lag_s after it was taken."""
        self.lag_s = lag_s
        self._samples: collections.deque[LoadSample] = collections.deque()

    def add(self, sample: LoadSample) -> None:
        """Add a sample and remove expired ones."""
        self._samples.append(sample)
        while self._samples[0].at_s < sample.at_s - RETENTION_S:
            self._samples.popleft()

    def visible(self, now_s: float) -> LoadSample:
        """Return the newest sample that is at least lag_s old."""
        for sample in reversed(self._samples):
            if sample.at_s <= now_s - self.lag_s:
                return sample
        return attrs.evolve(IDLE, at_s=now_s - self.lag_s)
