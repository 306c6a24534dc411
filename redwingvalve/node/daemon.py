"""Puts a node together and runs it until it is told to stop."""

import functools
import signal
import sys
import time

import anyio
import attrs

from redwingvalve.fleet import registry as registry_module
from redwingvalve.fleet import serving
from redwingvalve.http1 import pool
from redwingvalve.ingress import (
    retry_budget,
    routes,
)
from redwingvalve.ingress import (
    state as state_module,
)
from redwingvalve.node import (
    allocation_transport,
    configuration_watch,
    control_loop,
    early_sockets,
    endpoint_prober,
    failure_detector,
    front,
    gauges,
    kind_watch,
    log_drop_reporter,
    supervision,
    watch_sources,
)
from redwingvalve.node import hubs as hubs_module
from redwingvalve.node import lease as lease_module
from redwingvalve.node import listeners as listeners_module
from redwingvalve.node import peer_discovery as peer_discovery_module
from redwingvalve.node import peers as peers_module
from redwingvalve.node import status_exchange as status_exchange_module
from redwingvalve.observability import bounded_logs, logs, node_metrics
from redwingvalve.platform import (
    endpoint_orders,
    names,
    settings,
    store,
)

LOG = logs.make_logger('node')
# Changes of endpoints that come close together cost one call. The holder of
# the lease mends with what it sees; to the others a replica that opens a tenth
# of a second later makes no difference.
ENDPOINT_PAUSE_S = 0.12
HOLDER_PAUSE_S = 0.02
# What a start takes until the store has told what requests need, with some
# slack; callers are told to come back if it doesn't answer within this.
START_TIMEOUT_S = 0.3
START_LOOK_S = 0.005
STOP_IDLE_CLOSE_S = 2.5
STOP_EXIT_S = 4.0
# Before the platform's kill.
STOP_MARGIN_S = 0.6
_MS_IN_S = 1000.0


@attrs.define(eq=False)
class Node:
    """All parts of one node."""

    settings: settings.NodeSettings
    state: state_module.IngressState
    registry: registry_module.Registry
    table: serving.ServingTable
    client: store.StoreClient
    endpoint_client: endpoint_orders.EndpointClient
    prober: endpoint_prober.EndpointProber
    detector: failure_detector.FailureDetector
    lease: lease_module.Lease
    front: front.FrontApplication
    listeners: listeners_module.Listeners
    json_client: store.JsonClient
    status_exchange: status_exchange_module.StatusExchange
    peer_discovery: peer_discovery_module.PeerDiscovery
    allocation: allocation_transport.AllocationTransport
    gauges: gauges.NodeGauges
    watches: list[kind_watch.KindWatch] = attrs.field(init=False)
    control: control_loop.ControlLoop = attrs.field(init=False)
    front_listener: listeners_module.Listener | None = None
    log_handler: bounded_logs.NonBlockingHandler | None = None

    @property
    def peers(self) -> peers_module.Peers:
        """Return the other nodes."""
        return self.status_exchange.peers

    @property
    def is_listening(self) -> bool:
        """Return whether callers are served; their address is the last."""
        return self.front_listener is not None

    @property
    def endpoint_watch(self) -> kind_watch.KindWatch:
        """Return the watch that tells of endpoints."""
        return next(
            watch for watch in self.watches if watch.kind == names.ENDPOINT_KIND
        )

    async def run(self, stop: anyio.Event) -> None:
        """Run until stop is set, and then until all requests have ended."""
        self.table.on_reinstated = self.state.stall_detector.mark_slow
        self.table.on_rebuilt = self.allocation.allocator.tick
        self.table.on_check_requested = self.detector.doubt
        self.table.on_reported_healthy = self.detector.told_sound
        self.watches = self._make_watches()
        self.control = self._make_control()
        self.lease.on_acquired = self._lease_taken
        try:
            await self._listen()
            await self._serve(stop)
        finally:
            self._close()
        LOG.info('stopped')

    async def _serve(self, stop: anyio.Event) -> None:
        async with anyio.create_task_group() as group:
            for loop in self._loops():
                group.start_soon(supervision.keep_running, loop)
            group.start_soon(
                supervision.keep_running,
                functools.partial(self.control.run, group),
            )
            group.start_soon(self._accept_callers)
            await stop.wait()
            await self._stop()
            group.cancel_scope.cancel()

    async def _listen(self) -> None:
        node_application = front.NodeApplication(
            self.state, self.peers, self.settings.bounds.directory_ttl_max_s
        )
        await peers_module.open_socket(self.peers)
        caches = {watch.kind: watch.cache for watch in self.watches}
        ip = self.settings.ip
        await self.listeners.serve(
            watch_sources.WatchRelayApplication(caches),
            settings.SocketAddress(ip, self.settings.peer_port),
        )
        addresses = {
            self.settings.ready,
            self.settings.directory,
            settings.SocketAddress(ip, self.settings.metrics_port),
        }
        for address in addresses:
            await self.listeners.serve(node_application, address)

    async def _accept_callers(self) -> None:
        """Take connections once requests can be served.

        Callers come while the node starts. Refused 15 ms before the
        configuration is known, they have spent the only retry that most of
        them make; in the kernel's queue they wait for as long.
        """
        until_s = time.monotonic() + START_TIMEOUT_S
        while not self._knows_enough() and time.monotonic() < until_s:
            await anyio.sleep(START_LOOK_S)
        self.front_listener = await self.listeners.serve(
            self.front, self.settings.front
        )
        LOG.info('started', extra={'front': str(self.settings.front)})

    def _knows_enough(self) -> bool:
        has_routes = self.state.configuration is not None
        return (
            has_routes
            and self.registry.is_synced
            and self.peer_discovery.is_complete
        )

    def _close(self) -> None:
        self.peers.close()
        self.listeners.close()

    def _loops(self) -> list[supervision.Loop]:
        return [
            *(watch.run for watch in self.watches),
            self.peer_discovery.run,
            self.status_exchange.run,
            self.allocation.run,
            self.allocation.reserver.run,
            self.detector.run,
            self._hold_lease,
            self.gauges.run,
            functools.partial(log_drop_reporter.run, self.log_handler),
        ]

    def _make_watches(self) -> list[kind_watch.KindWatch]:
        selector = watch_sources.SourceSelector(
            self.client,
            self.json_client,
            self.peers,
            self.status_exchange.hubs,
            self.lease.is_held,
            self._known_within_s(),
        )
        configurations = configuration_watch.ConfigurationFollower(
            self.state, self._configure
        )
        return [
            kind_watch.KindWatch(
                names.CONFIGURATION_KIND, configurations, selector.select
            ),
            kind_watch.KindWatch(
                names.ENDPOINT_KIND,
                self.registry,
                selector.select,
                self._endpoint_pause_s,
            ),
        ]

    def _known_within_s(self) -> float:
        bounds = self.settings.bounds
        return min(bounds.drain_ms, bounds.configuration_ms) / _MS_IN_S

    def _endpoint_pause_s(self) -> float:
        return HOLDER_PAUSE_S if self.lease.is_held() else ENDPOINT_PAUSE_S

    def _make_control(self) -> control_loop.ControlLoop:
        return control_loop.ControlLoop(
            state=self.state,
            registry=self.registry,
            table=self.table,
            client=self.endpoint_client,
            prober=self.prober,
            lease=self.lease,
            status_exchange=self.status_exchange,
            endpoint_watch=self.endpoint_watch,
        )

    def _lease_taken(self) -> None:
        self.endpoint_watch.refresh_now()
        self.control.wake()

    async def _hold_lease(self) -> None:
        await self.lease.run(self._lease_rank)

    def _lease_rank(self) -> int:
        return hubs_module.lease_rank(self.peers)

    def _configure(self, configuration: routes.Configuration) -> None:
        self.state.configuration = configuration
        LOG.info(
            'configuration in force',
            extra={
                'version': configuration.version,
                'revision': configuration.revision,
            },
        )
        self.table.configure(configuration)
        self.control.wake()

    async def _stop(self) -> None:
        LOG.info('stopping', extra={'running': len(self.front.running)})
        began_s = time.monotonic()
        self.state.is_leaving = True
        self.status_exchange.broadcast_now()
        await self.lease.release()
        self.status_exchange.broadcast_now()
        until_s = began_s + self.settings.bounds.grace_s - STOP_MARGIN_S
        while time.monotonic() < until_s:
            stopped_s = time.monotonic() - began_s
            if stopped_s > STOP_IDLE_CLOSE_S and self.front_listener:
                self.front_listener.close_idle()
            if stopped_s > STOP_EXIT_S and not self.front.running:
                break
            await anyio.sleep(0.1)
        await self.peer_discovery.deregister()


def make_node(
    node_settings: settings.NodeSettings,
    early: early_sockets.EarlySockets | None = None,
) -> Node:
    """Return a node that isn't running yet.

    early holds the sockets that listen already.
    """
    registry = registry_module.Registry()
    table = serving.ServingTable(registry)
    state = state_module.IngressState(table, _allowance(node_settings.bounds))
    json_client = store.JsonClient(pool.Pool())
    client = store.StoreClient(node_settings.store, json_client)
    endpoint_client = endpoint_orders.EndpointClient(json_client)
    prober = endpoint_prober.EndpointProber(endpoint_client)
    lease = lease_module.Lease(node_settings.vm, client)
    application = front.FrontApplication(state)
    status_exchange = status_exchange_module.StatusExchange(
        _own_address(node_settings), state, registry, table, lease, application
    )
    return Node(
        settings=node_settings,
        state=state,
        registry=registry,
        table=table,
        client=client,
        endpoint_client=endpoint_client,
        prober=prober,
        detector=failure_detector.FailureDetector(state, table, prober, lease),
        lease=lease,
        front=application,
        status_exchange=status_exchange,
        peer_discovery=peer_discovery_module.PeerDiscovery(
            client, status_exchange.peers
        ),
        allocation=allocation_transport.make_allocation(state, status_exchange),
        gauges=gauges.NodeGauges(state, table, lease, status_exchange.peers),
        listeners=listeners_module.Listeners(early or {}),
        json_client=json_client,
    )


def _own_address(
    node_settings: settings.NodeSettings,
) -> peers_module.PeerAddress:
    return peers_module.local_address(node_settings, int(time.time() * 1000))


def _allowance(bounds: settings.Bounds) -> retry_budget.RetryBudgetConfig:
    return retry_budget.RetryBudgetConfig(
        bounds.retry_ratio, bounds.retry_extra, bounds.retry_window_s
    )


async def serve(node: Node) -> None:
    """Run a node until a signal stops it."""
    stop = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(_wait_for_signal, stop)
        await node.run(stop)
        group.cancel_scope.cancel()


async def _wait_for_signal(stop: anyio.Event) -> None:
    with anyio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as received:
        async for number in received:
            if number is not signal.SIGHUP:
                stop.set()
                return
            # What may change in the settings is read from the store.
            LOG.info('settings are read at the start only')


def run(
    node_settings: settings.NodeSettings, early: early_sockets.EarlySockets
) -> None:
    """Run a node in this process until it is told to stop."""
    handler = bounded_logs.configure(
        'INFO', sys.stdout.fileno(), node_settings.vm
    )
    node = make_node(node_settings, early)
    node.gauges.register(node_metrics.METRICS)
    node.log_handler = handler
    anyio.run(serve, node, backend_options={'use_uvloop': True})
