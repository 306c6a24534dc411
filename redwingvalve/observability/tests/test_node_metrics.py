"""Tests of metrics in the Prometheus text format."""

from redwingvalve.observability import node_metrics


def test_counters_histograms_and_gauges_are_rendered():
    metrics = node_metrics.NodeMetrics()
    metrics.count('sends', outcome='answered')
    metrics.count('sends', outcome='answered')
    metrics.observe('seconds', 0.07, route_kind='stream')
    metrics.observe('seconds', 99.0, route_kind='stream')
    metrics.gauge('age', lambda: [node_metrics.Sample(4.5)])
    text = metrics.render().decode()
    assert 'sends_total{outcome="answered"} 2.0' in text
    assert 'seconds_bucket{le="0.1",route_kind="stream"} 1.0' in text
    assert 'seconds_bucket{le="+Inf",route_kind="stream"} 2.0' in text
    assert 'age 4.5' in text
    assert metrics.value('sends', outcome='answered') == 2


def test_each_name_is_declared_once_with_all_label_values():
    """Parsers reject a scrape in which a metric name is declared twice."""
    metrics = node_metrics.NodeMetrics()
    metrics.count('sends', outcome='answered')
    metrics.count('sends', outcome='refused')
    metrics.observe('seconds', 0.1, route_kind='stream')
    metrics.observe('seconds', 0.1, route_kind='idempotent')
    metrics.gauge(
        'targets',
        lambda: [
            node_metrics.Sample(count, (('model', model),))
            for model, count in (('large', 6), ('small', 15))
        ],
    )
    lines = metrics.render().decode().splitlines()
    declared = [line for line in lines if line.startswith('# TYPE')]
    assert len(declared) == len(set(declared)) == 3
    assert 'targets{model="large"} 6.0' in lines
    assert 'targets{model="small"} 15.0' in lines
