"""Counters and histograms of a node, read as text by whoever asks.

Counting costs a dictionary access. The library that writes the text format is
imported at the first reading: it takes 0.13 s of processor time, which a node
that starts after a kill would spend before it listens.
"""

import bisect
import collections
import importlib
import typing
from collections import abc as collections_abc

import attrs

# Seconds; from a call within a data centre to the longest deadline.
LATENCY_BOUNDS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.3,
    0.4,
    0.5,
    0.75,
    1.0,
    2.0,
    4.0,
    8.0,
)
Labels = tuple[tuple[str, str], ...]
_Counted = typing.TypeVar('_Counted')
_Samples = list[tuple[Labels, _Counted]]


@attrs.frozen
class Sample:
    """One value of a gauge."""

    value: float
    labels: Labels = ()


Gauge = collections_abc.Callable[[], collections_abc.Iterable[Sample]]


def _zeros() -> list[int]:
    # One more than there are bounds, for what exceeds the last.
    return [0 for _ in (*LATENCY_BOUNDS_S, None)]


@attrs.define(eq=False)
class _Histogram:
    counts: list[int] = attrs.field(factory=_zeros)
    total: float = 0.0

    def observe(self, value: float) -> None:
        self.counts[bisect.bisect_left(LATENCY_BOUNDS_S, value)] += 1
        self.total += value

    def buckets(self) -> list[tuple[str, float]]:
        bounds = [*map(str, LATENCY_BOUNDS_S), '+Inf']
        running = 0
        found = []
        for bound, count in zip(bounds, self.counts, strict=True):
            running += count
            found.append((bound, float(running)))
        return found


class NodeMetrics:
    """All metrics of one process."""

    def __init__(self) -> None:
        """Start at zero."""
        self._counts: collections.Counter[tuple[str, Labels]] = (
            collections.Counter()
        )
        self._histograms: dict[tuple[str, Labels], _Histogram] = {}
        self._gauges: dict[str, Gauge] = {}

    def count(self, name: str, by: int = 1, **labels: str) -> None:
        """Add to a counter."""
        self._counts[name, tuple(sorted(labels.items()))] += by

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add to a histogram of seconds."""
        key = (name, tuple(sorted(labels.items())))
        if key not in self._histograms:
            self._histograms[key] = _Histogram()
        self._histograms[key].observe(seconds)

    def gauge(self, name: str, read: Gauge) -> None:
        """Read values whenever the metrics are read."""
        self._gauges[name] = read

    def value(self, name: str, **labels: str) -> int:
        """Return a counter."""
        return self._counts[name, tuple(sorted(labels.items()))]

    def render(self) -> bytes:
        """Return the text format of Prometheus."""
        library: typing.Any = importlib.import_module('prometheus_client')
        registry = library.CollectorRegistry()
        registry.register(_Collector(self, library))
        return bytes(library.generate_latest(registry))

    def families(self, core: typing.Any) -> typing.Iterator[typing.Any]:
        """Yield the library's families for all that was counted.

        A family holds all label values of a name: readers of the text format
        reject a name that is declared twice.
        """
        for name, samples in _by_name(self._counts).items():
            family = core.CounterMetricFamily(name, name, labels=_keys(samples))
            for labels, count in samples:
                family.add_metric(_texts(labels), count)
            yield family
        for name, observed in _by_name(self._histograms).items():
            family = core.HistogramMetricFamily(
                name, name, labels=_keys(observed)
            )
            for labels, histogram in observed:
                family.add_metric(
                    _texts(labels),
                    buckets=histogram.buckets(),
                    sum_value=histogram.total,
                )
            yield family
        for name, read in self._gauges.items():
            readings = [(found.labels, found.value) for found in read()]
            family = core.GaugeMetricFamily(name, name, labels=_keys(readings))
            for labels, value in readings:
                family.add_metric(_texts(labels), value)
            yield family


def _by_name(
    counted: dict[tuple[str, Labels], _Counted],
) -> dict[str, _Samples[_Counted]]:
    found: dict[str, _Samples[_Counted]] = {}
    for (name, labels), content in list(counted.items()):
        found.setdefault(name, []).append((labels, content))
    return found


def _keys(samples: _Samples[_Counted]) -> list[str]:
    return [label for label, _ in samples[0][0]] if samples else []


def _texts(labels: Labels) -> list[str]:
    return [text for _, text in labels]


class _Collector:
    def __init__(self, metrics: NodeMetrics, library: typing.Any) -> None:
        self._metrics = metrics
        self._core = library.metrics_core

    def collect(self) -> typing.Iterator[typing.Any]:
        return self._metrics.families(self._core)


# One for the process: its counters are its own, whoever adds to them.
METRICS = NodeMetrics()
