"""Counters, histograms and gauges of a node in the Prometheus text format.

Counting costs a dictionary access. prometheus_client is imported at the first
scrape: the import takes 0.13 s of CPU time, which would delay a node that is
restarted after a kill before it listens.
"""

import bisect
import collections
import importlib
import typing
from collections import abc as collections_abc

import attrs

# Histogram buckets, from a call within a data centre to the longest deadline.
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
    """One value of a gauge with its labels."""

    value: float
    labels: Labels = ()


Gauge = collections_abc.Callable[[], collections_abc.Iterable[Sample]]


def _empty_buckets() -> list[int]:
    # One count per bucket and one for values above the last bound.
    return [0 for _ in (*LATENCY_BOUNDS_S, None)]


@attrs.define(eq=False)
class _Histogram:
    counts: list[int] = attrs.field(factory=_empty_buckets)
    total: float = 0.0

    def observe(self, value: float) -> None:
        self.counts[bisect.bisect_left(LATENCY_BOUNDS_S, value)] += 1
        self.total += value

    def buckets(self) -> list[tuple[str, float]]:
        bounds = [*map(str, LATENCY_BOUNDS_S), '+Inf']
        cumulative = 0
        buckets = []
        for bound, count in zip(bounds, self.counts, strict=True):
            cumulative += count
            buckets.append((bound, float(cumulative)))
        return buckets


class NodeMetrics:
    """All metrics of one process."""

    def __init__(self) -> None:
        """Start without any metric."""
        self._counts: collections.Counter[tuple[str, Labels]] = (
            collections.Counter()
        )
        self._histograms: dict[tuple[str, Labels], _Histogram] = {}
        self._gauges: dict[str, Gauge] = {}

    def count(self, name: str, by: int = 1, **labels: str) -> None:
        """Increment a counter."""
        self._counts[name, tuple(sorted(labels.items()))] += by

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add a duration to a histogram."""
        key = (name, tuple(sorted(labels.items())))
        if key not in self._histograms:
            self._histograms[key] = _Histogram()
        self._histograms[key].observe(seconds)

    def gauge(self, name: str, read: Gauge) -> None:
        """Register a callback that returns the gauge's samples at scrape."""
        self._gauges[name] = read

    def value(self, name: str, **labels: str) -> int:
        """Return the value of a counter."""
        return self._counts[name, tuple(sorted(labels.items()))]

    def render(self) -> bytes:
        """Render all metrics in the Prometheus text format."""
        library: typing.Any = importlib.import_module('prometheus_client')
        registry = library.CollectorRegistry()
        registry.register(_Collector(self, library))
        return bytes(library.generate_latest(registry))

    def families(self, core: typing.Any) -> typing.Iterator[typing.Any]:
        """Yield a metric family of the library for each metric name.

        A family holds all label values of a name: parsers of the text format
        reject a name that is declared twice.
        """
        for name, samples in _group_by_name(self._counts).items():
            family = core.CounterMetricFamily(
                name, name, labels=_label_names(samples)
            )
            for labels, count in samples:
                family.add_metric(_label_values(labels), count)
            yield family
        for name, observed in _group_by_name(self._histograms).items():
            family = core.HistogramMetricFamily(
                name, name, labels=_label_names(observed)
            )
            for labels, histogram in observed:
                family.add_metric(
                    _label_values(labels),
                    buckets=histogram.buckets(),
                    sum_value=histogram.total,
                )
            yield family
        for name, read in self._gauges.items():
            readings = [(sample.labels, sample.value) for sample in read()]
            family = core.GaugeMetricFamily(
                name, name, labels=_label_names(readings)
            )
            for labels, value in readings:
                family.add_metric(_label_values(labels), value)
            yield family


def _group_by_name(
    metrics: dict[tuple[str, Labels], _Counted],
) -> dict[str, _Samples[_Counted]]:
    grouped: dict[str, _Samples[_Counted]] = {}
    for (name, labels), content in list(metrics.items()):
        grouped.setdefault(name, []).append((labels, content))
    return grouped


def _label_names(samples: _Samples[_Counted]) -> list[str]:
    return [label for label, _ in samples[0][0]] if samples else []


def _label_values(labels: Labels) -> list[str]:
    return [value for _, value in labels]


class _Collector:
    def __init__(self, metrics: NodeMetrics, library: typing.Any) -> None:
        self._metrics = metrics
        self._core = library.metrics_core

    def collect(self) -> typing.Iterator[typing.Any]:
        return self._metrics.families(self._core)


# Shared by all components of the process.
METRICS = NodeMetrics()
