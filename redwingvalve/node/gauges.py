"""What a node is like at the moment, for its metrics."""

import pathlib
import resource
import time
import typing

import anyio
import attrs

from redwingvalve.fleet import serving
from redwingvalve.ingress import routes
from redwingvalve.ingress import state as state_module
from redwingvalve.node import lease as lease_module
from redwingvalve.node import peers as peers_module
from redwingvalve.observability import node_metrics

# Between two looks at the delay of the loop.
LOOK_S = 0.5
_STATM = pathlib.Path('/proc/self/statm')
_Readings = list[node_metrics.Sample]


@attrs.define(eq=False)
class NodeGauges:
    """Reads the parts of one node."""

    state: state_module.IngressState
    table: serving.ServingTable
    lease: lease_module.Lease
    peers: peers_module.Peers
    # The longest that the loop was late since it was last asked.
    _loop_delay_s: float = 0.0

    def register(self, metrics: node_metrics.NodeMetrics) -> None:
        """Let the metrics read everything."""
        metrics.gauge('redwingvalve_configuration_version', self._version)
        metrics.gauge('redwingvalve_lease_held', self._lease_held)
        metrics.gauge('redwingvalve_lease_term', self._lease_term)
        metrics.gauge('redwingvalve_nodes_alive', self._nodes)
        metrics.gauge('redwingvalve_targets', self._targets)
        metrics.gauge('redwingvalve_requests_under_way', self._under_way)
        metrics.gauge('redwingvalve_requests_waiting', self._waiting)
        metrics.gauge('redwingvalve_retries_left', self._retries_left)
        metrics.gauge('redwingvalve_loop_delay_seconds', self._loop_delay)
        metrics.gauge('redwingvalve_memory_bytes', _memory)

    async def run(self) -> typing.NoReturn:
        """Measure how late the loop is until cancelled."""
        while True:
            due_s = time.monotonic() + LOOK_S
            await anyio.sleep(LOOK_S)
            late_s = time.monotonic() - due_s
            self._loop_delay_s = max(self._loop_delay_s, late_s)

    def _version(self) -> _Readings:
        configuration = self.state.configuration
        return _one(configuration.version if configuration else 0)

    def _lease_held(self) -> _Readings:
        return _one(float(self.lease.is_held()))

    def _lease_term(self) -> _Readings:
        return _one(self.lease.term)

    def _nodes(self) -> _Readings:
        return _one(1 + len(self.peers.alive()))

    def _targets(self) -> _Readings:
        table = self.table
        return self._by_model(lambda *model: len(table.find_targets(*model)))

    def _under_way(self) -> _Readings:
        return self._by_model(self.state.slot_demand)

    def _waiting(self) -> _Readings:
        return self._by_model(self.state.waiting_requests)

    def _retries_left(self) -> _Readings:
        now_s = time.monotonic()
        return [
            node_metrics.Sample(
                self.state.retry_budget(service.name).left(
                    now_s, self.state.node_count
                ),
                (('service', service.name),),
            )
            for service in self._services()
        ]

    def _loop_delay(self) -> _Readings:
        late_s = self._loop_delay_s
        self._loop_delay_s = 0
        return _one(late_s)

    def _services(self) -> list[routes.Service]:
        configuration = self.state.configuration
        return list(configuration.services.values()) if configuration else []

    def _by_model(self, read: typing.Callable[[str, str], float]) -> _Readings:
        """Read a value for each service and model, '' without any."""
        found = []
        for service in self._services():
            models = service.engine.models if service.engine else ()
            for name in [model.name for model in models] or ['']:
                labels = (('service', service.name), ('model', name))
                count = read(service.name, name)
                found.append(node_metrics.Sample(count, labels))
        return found


def _one(value: float) -> _Readings:
    return [node_metrics.Sample(value)]


def _memory() -> _Readings:
    pages = int(_STATM.read_text().split()[1])
    return _one(pages * resource.getpagesize())
