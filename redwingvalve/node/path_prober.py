"""Probes the endpoints that this node avoids, until it can connect to them.

A probe is a plain connect. A connection that is opened is kept for requests.
Several lost paths to a service put its other paths in doubt, which are probed
too. While this node can't connect to any endpoint, no single path is to blame:
all are forgotten, and the check of the links tells when they are back.
"""

import math
import time
import typing

import anyio
import anyio.abc
import attrs

from redwingvalve.fleet import endpoints, lost_services, serving
from redwingvalve.fleet import registry as registry_module
from redwingvalve.http1 import pool
from redwingvalve.ingress import reachability
from redwingvalve.ingress import state as state_module
from redwingvalve.observability import logs

LOG = logs.make_logger('paths')


@attrs.define(eq=False)
class PathProber(reachability.ReachObserver):
    """Connects to avoided endpoints when a probe of their path is due."""

    table: serving.ServingTable
    registry: registry_module.Registry
    connections: pool.Pool
    _lost_services: lost_services.LostServices = attrs.field(
        factory=lost_services.LostServices
    )
    _is_changed: anyio.Event = attrs.field(factory=anyio.Event)

    def wake(self) -> None:
        """Handle a path that was added or is to be probed earlier."""
        self._is_changed.set()

    def reach_checked(self, began_s: float, *, is_cut_off: bool) -> None:
        """Forget all paths while this node is cut off."""
        if is_cut_off and self.table.paths.forget_all():
            self.table.rebuild()

    async def run(self) -> typing.NoReturn:
        """Probe until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await self._wait_until_due()
                self._start_probes(group)

    def _start_probes(self, group: anyio.abc.TaskGroup) -> None:
        usable = {one.endpoint_id: one for one in self.registry.usable()}
        self._doubt_services(usable)
        due = self.table.paths.start_probes(time.monotonic())
        for endpoint_id, born_ms in due.items():
            endpoint = usable.get(endpoint_id)
            if endpoint is None:
                self.table.paths.forget(endpoint_id)
                continue
            group.start_soon(self._probe, endpoint, born_ms)

    def _doubt_services(self, usable: dict[str, endpoints.Endpoint]) -> None:
        now_s = time.monotonic()
        lost_ids = self.table.paths.lost_ids()
        if len(lost_ids) < lost_services.MIN_LOST:
            return
        doubted = self._lost_services.find_doubted(
            usable.values(), lost_ids, now_s
        )
        if doubted:
            LOG.warning('service in doubt', extra={'endpoints': len(doubted)})
        for endpoint in doubted:
            self.table.paths.doubt(
                endpoint.endpoint_id, endpoint.born_ms, now_s
            )

    async def _wait_until_due(self) -> None:
        self._is_changed = anyio.Event()
        wait_s = self.table.paths.next_probe_s() - time.monotonic()
        with anyio.move_on_after(max(wait_s, 0) if wait_s < math.inf else None):
            await self._is_changed.wait()

    async def _probe(self, endpoint: endpoints.Endpoint, born_ms: int) -> None:
        is_connected = await self._connects(endpoint)
        is_suspect = self.table.is_suspect(endpoint.endpoint_id)
        self.table.paths.record_probe(
            endpoint.endpoint_id,
            born_ms,
            time.monotonic(),
            is_connected=is_connected,
            is_suspect=is_suspect,
        )
        self.table.rebuild()
        self.wake()

    async def _connects(self, endpoint: endpoints.Endpoint) -> bool:
        address = (endpoint.host, endpoint.port)
        try:
            connection = await self.connections.connect(address)
        except pool.ConnectError as error:
            LOG.debug(
                'path probed in vain',
                extra={'endpoint': endpoint.endpoint_id, 'error': str(error)},
            )
            return False
        self.connections.add_idle(address, connection)
        return True


def make_path_prober(
    state: state_module.IngressState,
    table: serving.ServingTable,
    registry: registry_module.Registry,
) -> PathProber:
    """Return a prober that learns of doubted paths and of cut links."""
    prober = PathProber(table, registry, state.connections)
    table.on_path_doubted = prober.wake
    state.reach.add_observer(prober)
    return prober
