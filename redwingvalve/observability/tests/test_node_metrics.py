"""Metrics in the usual text format."""

from redwingvalve.observability import node_metrics


def test_counters_histograms_and_gauges_are_rendered():
    metrics = node_metrics.NodeMetrics()
    metrics.count('sends', outcome='answered')
    metrics.count('sends', outcome='answered')
    metrics.observe('seconds', 0.07, route_kind='stream')
    metrics.observe('seconds', 99.0, route_kind='stream')
    metrics.gauge('age', lambda: 4.5)
    text = metrics.render().decode()
    assert 'sends_total{outcome="answered"} 2.0' in text
    assert 'seconds_bucket{le="0.1",route_kind="stream"} 1.0' in text
    assert 'seconds_bucket{le="+Inf",route_kind="stream"} 2.0' in text
    assert 'age 4.5' in text
    assert metrics.value('sends', outcome='answered') == 2
