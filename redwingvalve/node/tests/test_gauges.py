"""Metrics that a node exposes to operators."""

from redwingvalve.observability import node_metrics
from redwingvalve.platform.tests import fleet_harness


def test_a_scrape_reports_targets_lease_and_retries_left():
    """A scrape shows whether too few targets or no lease holder cause refusals.

    Every gauge is present with its labels.
    """

    async def test(fleet):
        metrics = node_metrics.NodeMetrics()
        node = fleet.nodes[0]
        node.gauges.register(metrics)
        node.state.loads.add_request('e0')
        lines = metrics.render().decode().splitlines()
        found = dict(line.rsplit(' ', 1) for line in lines if line[0] != '#')
        labels = (
            f'{{model="{fleet_harness.SMALL_MODEL}",'
            f'service="{fleet_harness.ENGINE_SERVICE}"}}'
        )
        assert float(found[f'redwingvalve_targets{labels}']) == 2
        assert float(found['redwingvalve_lease_held']) == 1
        assert float(found['redwingvalve_nodes_alive']) == 1
        assert float(found['redwingvalve_configuration_version']) > 0
        assert float(found['redwingvalve_memory_bytes']) > 1e6
        left = (
            'redwingvalve_retries_left'
            f'{{service="{fleet_harness.PLAIN_SERVICE}"}}'
        )
        assert float(found[left]) > 0

    fleet_harness.run(test)
