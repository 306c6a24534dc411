"""What an operator reads of a node."""

from redwingvalve.observability import node_metrics
from redwingvalve.platform.tests import fleet_harness


def test_a_node_tells_its_targets_its_lease_and_its_retries():
    """A scrape shows why requests are refused: too few targets, or no holder.

    Every name is there with its labels; the loop's delay starts anew.
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
