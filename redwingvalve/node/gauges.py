"""Gauges that expose the current state of a node as metrics."""

import pathlib
import resource
import time
import typing

import anyio
import attrs

from redwingvalve.fleet import serving
from redwingvalve.http1 import byte_account
from redwingvalve.ingress import routes
from redwingvalve.ingress import state as state_module
from redwingvalve.node import lease as lease_module
from redwingvalve.node import peers as peers_module
from redwingvalve.observability import node_metrics

# Between two measurements of the event loop's delay.
LOOP_DELAY_INTERVAL_S = 0.5
_STATM = pathlib.Path('/proc/self/statm')
_Samples = list[node_metrics.Sample]


@attrs.define(eq=False)
class NodeGauges:
    """Reads the gauge values from the components of one node."""

    state: state_module.IngressState
    table: serving.ServingTable
    lease: lease_module.Lease
    peers: peers_module.Peers
    # The longest delay of the event loop since the last scrape.
    _loop_delay_s: float = 0.0

    def register(self, metrics: node_metrics.NodeMetrics) -> None:
        """Register all gauges with the metrics registry."""
        metrics.gauge(
            'redwingvalve_configuration_version', self._configuration_version
        )
        metrics.gauge('redwingvalve_lease_held', self._lease_held)
        metrics.gauge('redwingvalve_lease_term', self._lease_term)
        metrics.gauge('redwingvalve_nodes_alive', self._nodes_alive)
        self._register_targets(metrics)
        metrics.gauge(
            'redwingvalve_requests_under_way', self._requests_in_progress
        )
        metrics.gauge('redwingvalve_requests_waiting', self._requests_waiting)
        metrics.gauge('redwingvalve_retries_left', self._retries_left)
        metrics.gauge('redwingvalve_loop_delay_seconds', self._take_loop_delay)
        metrics.gauge('redwingvalve_memory_bytes', _memory)
        metrics.gauge('redwingvalve_held_bytes', self._held_bytes)

    async def run(self) -> typing.NoReturn:
        """Measure the delay of the event loop until cancelled."""
        while True:
            due_s = time.monotonic() + LOOP_DELAY_INTERVAL_S
            await anyio.sleep(LOOP_DELAY_INTERVAL_S)
            late_s = time.monotonic() - due_s
            self._loop_delay_s = max(self._loop_delay_s, late_s)

    def _register_targets(self, metrics: node_metrics.NodeMetrics) -> None:
        metrics.gauge('redwingvalve_targets', self._targets)
        metrics.gauge('redwingvalve_lost_paths', self._lost_paths)
        if self.table.evacuations.is_enabled:
            metrics.gauge(
                'redwingvalve_evacuated', self.table.evacuations.gauge
            )

    def _held_bytes(self) -> _Samples:
        return [
            node_metrics.Sample(
                self.state.account.held_bytes(part),
                (('part', part.name.lower()),),
            )
            for part in byte_account.Part
        ]

    def _configuration_version(self) -> _Samples:
        configuration = self.state.configuration
        return _single_sample(configuration.version if configuration else 0)

    def _lease_held(self) -> _Samples:
        return _single_sample(float(self.lease.is_held()))

    def _lease_term(self) -> _Samples:
        return _single_sample(self.lease.term)

    def _nodes_alive(self) -> _Samples:
        return _single_sample(1 + len(self.peers.alive()))

    def _lost_paths(self) -> _Samples:
        return _single_sample(len(self.table.paths))

    def _targets(self) -> _Samples:
        table = self.table
        return self._by_model(lambda *model: len(table.find_targets(*model)))

    def _requests_in_progress(self) -> _Samples:
        return self._by_model(self.state.slot_demand)

    def _requests_waiting(self) -> _Samples:
        return self._by_model(self.state.waiting_requests)

    def _retries_left(self) -> _Samples:
        now_s = time.monotonic()
        return [
            node_metrics.Sample(
                self.state.retry_budget(service.name).use(now_s).left,
                (('service', service.name),),
            )
            for service in self._services()
        ]

    def _take_loop_delay(self) -> _Samples:
        late_s = self._loop_delay_s
        self._loop_delay_s = 0
        return _single_sample(late_s)

    def _services(self) -> list[routes.Service]:
        configuration = self.state.configuration
        return list(configuration.services.values()) if configuration else []

    def _by_model(self, read: typing.Callable[[str, str], float]) -> _Samples:
        """Read a value per service and model ('' for a service without)."""
        found = []
        for service in self._services():
            models = service.engine.models if service.engine else ()
            for name in [model.name for model in models] or ['']:
                labels = (('service', service.name), ('model', name))
                count = read(service.name, name)
                found.append(node_metrics.Sample(count, labels))
        return found


def _single_sample(value: float) -> _Samples:
    return [node_metrics.Sample(value)]


def _memory() -> _Samples:
    pages = int(_STATM.read_text().split()[1])
    return _single_sample(pages * resource.getpagesize())
