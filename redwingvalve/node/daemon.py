"""Assembles a node and runs it until it is told to stop."""

import functools
import time

import anyio
import attrs

from redwingvalve.fleet import registry as registry_module
from redwingvalve.fleet import serving
from redwingvalve.http1 import byte_account, pool
from redwingvalve.ingress import poison, retry_budget, routes
from redwingvalve.ingress import state as state_module
from redwingvalve.node import (
    allocation_transport,
    configuration_watch,
    control_loop,
    crash_checks,
    early_sockets,
    endpoint_prober,
    failure_detector,
    front,
    gauges,
    kind_watch,
    log_drop_reporter,
    poison_records,
    supervision,
    watch_sources,
)
from redwingvalve.node import evacuation_watch as evacuation_watch_module
from redwingvalve.node import lease as lease_module
from redwingvalve.node import listeners as listeners_module
from redwingvalve.node import path_prober as path_prober_module
from redwingvalve.node import peer_application as peer_application_module
from redwingvalve.node import peer_discovery as peer_discovery_module
from redwingvalve.node import peers as peers_module
from redwingvalve.node import reachability as reachability_module
from redwingvalve.node import shutdown as shutdown_module
from redwingvalve.node import status_exchange as status_exchange_module
from redwingvalve.observability import bounded_logs, logs
from redwingvalve.platform import endpoint_orders, names, settings, store

LOG = logs.make_logger('node')
# Delays between two watch calls, so that changes of endpoints in quick
# succession cost one call. The lease holder repairs replicas by what it
# receives; on the other nodes it makes no difference if a replica opens a tenth
# of a second later.
WATCH_BATCH_DELAY_S = 0.12
HOLDER_WATCH_BATCH_DELAY_S = 0.02
# If the store gives a starting node no state within this time, requests are
# rejected with a Retry-After header.
START_TIMEOUT_S = 0.3
START_POLL_INTERVAL_S = 0.005
_MS_IN_S = 1000.0


@attrs.define(eq=False)
class Node:
    """All components of one node."""

    settings: settings.NodeSettings
    state: state_module.IngressState
    registry: registry_module.Registry
    table: serving.ServingTable
    client: store.StoreClient
    endpoint_client: endpoint_orders.EndpointClient
    prober: endpoint_prober.EndpointProber
    detector: failure_detector.FailureDetector
    crash_checker: crash_checks.CrashChecker
    lease: lease_module.Lease
    reach: reachability_module.ReachabilityChecker
    front: front.FrontApplication
    listeners: listeners_module.Listeners
    json_client: store.JsonClient
    status_exchange: status_exchange_module.StatusExchange
    peer_discovery: peer_discovery_module.PeerDiscovery
    poison_records: poison_records.PoisonRecords
    allocation: allocation_transport.AllocationTransport
    gauges: gauges.NodeGauges
    path_prober: path_prober_module.PathProber
    watches: list[kind_watch.KindWatch] = attrs.field(init=False)
    control: control_loop.ControlLoop = attrs.field(init=False)
    front_listener: listeners_module.Listener | None = None
    # When the process was told to stop, None without a signal.
    stopped_s: float | None = None
    log_handler: bounded_logs.NonBlockingHandler | None = None

    def __attrs_post_init__(self) -> None:
        """Share the retry budgets with the nodes that are discovered."""
        self.state.fleet = self.peer_discovery

    @property
    def peers(self) -> peers_module.Peers:
        """Return this node's view of the other nodes."""
        return self.status_exchange.peers

    @property
    def is_listening(self) -> bool:
        """Return whether the caller-facing address, the last one, listens."""
        return self.front_listener is not None

    @property
    def endpoint_watch(self) -> kind_watch.KindWatch:
        """Return the watch of endpoint entries."""
        return next(
            watch for watch in self.watches if watch.kind == names.ENDPOINT_KIND
        )

    async def run(self, stop: anyio.Event) -> None:
        """Run until stop is set; then finish the requests in progress."""
        self.table.on_reinstated = self.state.stall_detector.mark_slow
        self.table.on_rebuilt = self.allocation.allocator.tick
        self.table.on_check_requested = self.detector.request_check
        self.table.on_reported_healthy = self.detector.note_reported_healthy
        self.registry.on_new_incarnation.append(self.detector.forget)
        self.registry.on_new_incarnation.append(self.allocation.forget)
        self.watches = self._make_watches()
        self.control = self._make_control()
        self.state.trial_claimer = self.poison_records
        self.lease.on_acquired = self._on_lease_acquired
        try:
            await self._listen()
            await self._serve(stop)
        finally:
            self.front.log_running('cut off')
            self._close()
        LOG.info('stopped')

    async def _serve(self, stop: anyio.Event) -> None:
        async with anyio.create_task_group() as group:
            for loop in self._background_loops():
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
            self.state,
            self.peers,
            self.status_exchange.successors,
            self.settings.bounds.directory_ttl_max_s,
        )
        await peers_module.open_socket(self.peers)
        caches = {watch.kind: watch.cache for watch in self.watches}
        ip = self.settings.ip
        await self.listeners.serve(
            peer_application_module.PeerApplication(
                watch_sources.WatchRelayApplication(caches), self.front
            ),
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
        """Accept connections once requests can be served.

        Callers connect while the node is starting. If they were rejected 15 ms
        before the configuration is known, most would use up their only retry;
        in the kernel's accept queue they just wait for that time.
        """
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while not self._can_serve() and time.monotonic() < deadline_s:
            await anyio.sleep(START_POLL_INTERVAL_S)
        self.front_listener = await self.listeners.serve(
            self.front, self.settings.front
        )
        LOG.info('started', extra={'front': str(self.settings.front)})

    def _can_serve(self) -> bool:
        has_routes = self.state.configuration is not None
        is_evacuation_known = self.table.evacuations.is_synced
        has_endpoints = self.registry.is_synced and is_evacuation_known
        return (
            has_routes
            and has_endpoints
            and self.peer_discovery.is_complete
            and self.poison_records.is_loaded
        )

    def _close(self) -> None:
        self.peers.close()
        self.listeners.close()

    def _background_loops(self) -> list[supervision.Loop]:
        return [
            *(watch.run for watch in self.watches),
            self.peer_discovery.run,
            self.status_exchange.run,
            self.allocation.run,
            self.allocation.reserver.run,
            self.detector.run,
            self.prober.run,
            self.reach.run,
            self.path_prober.run,
            self.crash_checker.run,
            self.state.end_checker.run,
            self.poison_records.run,
            self._run_lease,
            self.gauges.run,
            functools.partial(log_drop_reporter.run, self.log_handler),
        ]

    def _make_watches(self) -> list[kind_watch.KindWatch]:
        make_selector = functools.partial(
            watch_sources.SourceSelector,
            self.client,
            self.json_client,
            self.peers,
            self.status_exchange.hubs,
            self.lease.is_held,
        )
        selector = make_selector(self._max_staleness_s())
        configuration_handler = configuration_watch.ConfigurationHandler(
            self.state, self._apply_configuration
        )
        return [
            kind_watch.KindWatch(
                names.CONFIGURATION_KIND, configuration_handler, selector.select
            ),
            kind_watch.KindWatch(
                names.ENDPOINT_KIND,
                self.registry,
                selector.select,
                self._watch_batch_delay_s,
            ),
            *evacuation_watch_module.make_watches(
                self.settings.bounds, self.status_exchange, make_selector
            ),
        ]

    def _max_staleness_s(self) -> float:
        bounds = self.settings.bounds
        return min(bounds.drain_ms, bounds.configuration_ms) / _MS_IN_S

    def _watch_batch_delay_s(self) -> float:
        return (
            HOLDER_WATCH_BATCH_DELAY_S
            if self.lease.is_held()
            else WATCH_BATCH_DELAY_S
        )

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

    def _on_lease_acquired(self) -> None:
        self.endpoint_watch.refresh_now()
        self.poison_records.wake()
        self.control.wake()

    async def _run_lease(self) -> None:
        await self.lease.run(self.status_exchange.hubs.lease_rank)

    def _apply_configuration(self, configuration: routes.Configuration) -> None:
        self.state.configuration = configuration
        LOG.info(
            'configuration in force',
            extra={
                'version': configuration.version,
                'revision': configuration.revision,
            },
        )
        self.allocation.configure(configuration)
        self.table.configure(configuration)
        self.control.wake()

    async def _stop(self) -> None:
        self.allocation.resign()
        shutdown = shutdown_module.Shutdown(
            self.status_exchange,
            self.peer_discovery,
            self.listeners,
            was_listening=self.is_listening,
            stop=shutdown_module.plan_stop(
                self.status_exchange,
                self.settings.bounds.grace_s,
                self.stopped_s or time.monotonic(),
            ),
        )
        await shutdown.run()


def make_node(
    node_settings: settings.NodeSettings,
    early: early_sockets.EarlySockets | None = None,
) -> Node:
    """Return a node that isn't running yet.

    early holds the sockets that are already listening.
    """
    registry = registry_module.Registry()
    table = serving.ServingTable(
        registry, evacuation_watch_module.make_evacuations(node_settings.bounds)
    )
    state = state_module.IngressState(
        table,
        _retry_budget_config(node_settings.bounds),
        poison=_make_poison_tracker(node_settings.bounds),
        account=byte_account.make_account(node_settings.limits.memory_mb),
    )
    json_client = store.JsonClient(pool.Pool())
    client = store.StoreClient(node_settings.store, json_client)
    endpoint_client = endpoint_orders.EndpointClient(json_client)
    reach = reachability_module.ReachabilityChecker(
        registry, state.connections, table.evacuations
    )
    state.reach = reach
    lease = lease_module.Lease(
        node_settings.vm, client, may_hold=reach.reaches_endpoints
    )
    status_exchange = status_exchange_module.StatusExchange(
        _local_address(node_settings),
        state,
        registry,
        table,
        lease,
        front.FrontApplication(state),
    )
    prober = endpoint_prober.make_prober(
        endpoint_client, reach, status_exchange.peers
    )
    state.end_checker = crash_checks.make_end_checker(
        state, registry, endpoint_client, prober
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
        crash_checker=crash_checks.CrashChecker(
            state.poison, registry, endpoint_client
        ),
        lease=lease,
        front=status_exchange.front,
        reach=reach,
        status_exchange=status_exchange,
        peer_discovery=peer_discovery_module.PeerDiscovery(
            client, status_exchange.peers
        ),
        poison_records=poison_records.PoisonRecords(
            state.poison, client, lease
        ),
        allocation=allocation_transport.make_allocation(
            state,
            status_exchange,
            node_settings.bounds,
        ),
        gauges=gauges.NodeGauges(state, table, lease, status_exchange.peers),
        path_prober=path_prober_module.make_path_prober(state, table, registry),
        listeners=listeners_module.Listeners(early or {}, node_settings.limits),
        json_client=json_client,
    )


def _local_address(
    node_settings: settings.NodeSettings,
) -> peers_module.PeerAddress:
    return peers_module.local_address(node_settings, int(time.time() * 1000))


def _make_poison_tracker(
    bounds: settings.Bounds,
) -> poison.PoisonRequestTracker:
    # The other half is left for the news to reach all nodes.
    grace_s = bounds.stable_window_ms / _MS_IN_S / 2
    return poison.PoisonRequestTracker(answered_part_grace_s=grace_s)


def _retry_budget_config(
    bounds: settings.Bounds,
) -> retry_budget.RetryBudgetConfig:
    return retry_budget.RetryBudgetConfig(
        bounds.retry_ratio, bounds.retry_extra, bounds.retry_window_s
    )
