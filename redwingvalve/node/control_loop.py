"""Reconciles all services periodically while this node holds the lease."""

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

# Interval on a node without the lease, which only follows the services of the
# configuration. Each wake-up has a cost, on all nodes.
IDLE_RECONCILE_INTERVAL_S = 1.0


@attrs.define(eq=False)
class ControlLoop:
    """Runs the controllers of all services with an engine."""

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
    _wake_up: anyio.Event = attrs.field(factory=anyio.Event)

    def wake(self) -> None:
        """End an idle wait at once: lease or configuration has changed."""
        self._wake_up.set()

    async def run(self, group: anyio.abc.TaskGroup) -> typing.NoReturn:
        """Reconcile until cancelled; orders are sent from tasks in group."""
        while True:
            await self._pause()
            configuration = self.state.configuration
            if configuration is None or not self.registry.is_synced:
                continue
            for service in configuration.services.values():
                if service.engine is not None:
                    self._reconcile_service(service, service.engine, group)

    async def _pause(self) -> None:
        if self.lease.is_held():
            await anyio.sleep(controller_module.RECONCILE_INTERVAL_S)
            return
        self._wake_up = anyio.Event()
        with anyio.move_on_after(IDLE_RECONCILE_INTERVAL_S):
            await self._wake_up.wait()

    def _reconcile_service(
        self,
        service: routes.Service,
        engine: routes.Engine,
        group: anyio.abc.TaskGroup,
    ) -> None:
        controller = self.controllers.get(service.name)
        if controller is None:
            controller = controller_module.Controller(
                service.name,
                self.registry,
                self.table,
                self.client,
                self.prober,
                group,
                self.lease.is_held,
                self.state.slot_demand,
            )
            self.controllers[service.name] = controller
        controller.configure(engine)
        controller.term = self.lease.term
        controller.has_served = self.status_exchange.fleet_has_served
        if self._may_order():
            controller.reconcile(engine)

    def _may_order(self) -> bool:
        """Return whether the lease is held and the endpoint watch is current.

        The watch may be a few hundred milliseconds behind, or seconds after an
        outage. Until it has reached the revision at which the lease was
        acquired, a replica that the previous holder had just opened would look
        like one that is not ready, and its members would be ordered to join
        another one.
        """
        is_watch_current = (
            self.endpoint_watch.revision >= self.lease.acquired_revision
        )
        return self.lease.is_held() and is_watch_current
