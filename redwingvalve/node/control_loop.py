"""Looks at the fleet again and again, and mends it while the lease is held."""

import typing

import anyio
import anyio.abc
import attrs

from redwingvalve.fleet import registry as registry_module
from redwingvalve.fleet import serving
from redwingvalve.ingress import routes
from redwingvalve.ingress import state as state_module
from redwingvalve.node import controller as controller_module
from redwingvalve.node import endpoint_prober, kind_watch
from redwingvalve.node import lease as lease_module
from redwingvalve.node import status_exchange as status_exchange_module
from redwingvalve.platform import endpoint_orders

# Between two looks of a node that may give no orders: it only follows the
# services of the configuration. Each wake-up has its price, on all nodes.
IDLE_LOOK_S = 1.0


@attrs.define(eq=False)
class ControlLoop:
    """The controllers of all services with an engine."""

    state: state_module.IngressState
    registry: registry_module.Registry
    table: serving.ServingTable
    client: endpoint_orders.EndpointClient
    prober: endpoint_prober.EndpointProber
    lease: lease_module.Lease
    status_exchange: status_exchange_module.StatusExchange
    endpoint_watch: kind_watch.KindWatch
    controllers: dict[str, controller_module.Controller] = attrs.field(
        factory=dict
    )
    _woken: anyio.Event = attrs.field(factory=anyio.Event)

    def wake(self) -> None:
        """Look at once: the lease has been taken."""
        self._woken.set()

    async def run(self, group: anyio.abc.TaskGroup) -> typing.NoReturn:
        """Look until cancelled; orders run in group."""
        while True:
            await self._pause()
            configuration = self.state.configuration
            if configuration is None or not self.registry.is_synced:
                continue
            for service in configuration.services.values():
                if service.engine is not None:
                    self._look_at(service, service.engine, group)

    async def _pause(self) -> None:
        if self.lease.is_held():
            await anyio.sleep(controller_module.LOOK_S)
            return
        self._woken = anyio.Event()
        with anyio.move_on_after(IDLE_LOOK_S):
            await self._woken.wait()

    def _look_at(
        self,
        service: routes.Service,
        engine: routes.Engine,
        group: anyio.abc.TaskGroup,
    ) -> None:
        control = self.controllers.get(service.name)
        if control is None:
            control = controller_module.Controller(
                service.name,
                self.registry,
                self.table,
                self.client,
                self.prober,
                group,
                self.lease.is_held,
                self.state.slot_demand,
            )
            self.controllers[service.name] = control
        control.configure(engine)
        control.term = self.lease.term
        control.has_served = self.status_exchange.fleet_has_served
        if self._may_order():
            control.reconcile(engine)

    def _may_order(self) -> bool:
        """Return whether the lease is held, and its last holder's work known.

        Endpoints are heard of by a watch that may be a few hundred
        milliseconds behind, or seconds after an outage. A replica that the
        last holder opened just before would look like one that is not ready,
        and its members would be told to join another.
        """
        is_read = self.endpoint_watch.revision >= self.lease.acquired_revision
        return self.lease.is_held() and is_read
