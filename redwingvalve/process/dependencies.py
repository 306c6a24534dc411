"""Opens the dependencies that daemons of every role share."""

import contextlib
from collections import abc as collections_abc

import anyio
import attrs
from anyio import abc as anyio_abc

from redwingvalve.core import clock, invariants
from redwingvalve.membership import node
from redwingvalve.observability import logs, metrics, tracing
from redwingvalve.platform_api import (
    http_engine_orders,
    http_object_api,
    http_vm_list,
    http_weight_store,
    object_api,
    observing_object_api,
    vm_list,
    weight_store,
)
from redwingvalve.replicas import domain as domain_module
from redwingvalve.settings import schema
from redwingvalve.tls import contexts

LOGGER = logs.make_logger('process')
# Longest time for connections to the platform to be closed.
CLOSE_TIMEOUT_S = 0.3
# Longest time for all that follows the last request: the departure, the calls
# of peers in progress, the clients.
FINISH_TIMEOUT_S = node.CLOSE_TIMEOUT_S + CLOSE_TIMEOUT_S + 0.2
TlsPair = tuple[
    contexts.ReloadingContext | None, contexts.ReloadingContext | None
]


class ProcessError(Exception):
    """A daemon cannot start; its message is shown to the operator."""


@attrs.frozen
class ProcessDependencies:
    """Clients of the platform, peer node and telemetry of one process."""

    settings: schema.Settings
    clock: clock.Clock
    objects: object_api.ObjectApi
    vms: vm_list.VmList
    weights: weight_store.WeightStore
    orders: http_engine_orders.HttpEngineOrders
    node: node.PeerNode
    metrics: metrics.Metrics
    tracing: tracing.Tracing
    switches: invariants.SafeguardSwitches


@contextlib.asynccontextmanager
async def open_process(
    settings: schema.Settings, role: str
) -> collections_abc.AsyncIterator[ProcessDependencies]:
    """Open the dependencies of a role; close them at the end of the block.

    Raises ProcessError if an address is in use or a certificate is unusable.
    """
    time_source = clock.make_system_clock()
    switches = invariants.SafeguardSwitches(
        invariants.Safeguard(name)
        for name in settings.testing.disabled_safeguards
    )
    platform = settings.platform
    objects = http_object_api.make_http_object_api(
        platform.object_api_url, platform.timeout_s
    )
    tls_pair = _make_peer_tls(settings.peer_tls)
    peer_node = await _start_node(
        settings, role, time_source, objects, switches, tls_pair
    )
    orders = http_engine_orders.make_http_engine_orders()
    tracer = tracing.make_tracing(settings.tracing, settings.node.name)
    dependencies = ProcessDependencies(
        settings=settings,
        clock=time_source,
        objects=observing_object_api.make_observing_object_api(
            objects, peer_node.configuration.observe
        ),
        vms=http_vm_list.make_http_vm_list(
            platform.vm_list_url, platform.timeout_s
        ),
        weights=http_weight_store.make_http_weight_store(
            platform.weight_store_url, platform.timeout_s
        ),
        orders=orders,
        node=peer_node,
        metrics=metrics.make_metrics(settings.metrics),
        tracing=tracer,
        switches=switches,
    )
    try:
        async with anyio.create_task_group() as group:
            group.start_soon(peer_node.run)
            _start_certificate_reload(group, tls_pair, time_source)
            yield dependencies
            group.cancel_scope.cancel()
    finally:
        with anyio.CancelScope(shield=True):
            await _close(dependencies)


async def _close(dependencies: ProcessDependencies) -> None:
    await dependencies.node.aclose()
    with anyio.move_on_after(CLOSE_TIMEOUT_S):
        async with anyio.create_task_group() as group:
            group.start_soon(dependencies.objects.aclose)
            group.start_soon(dependencies.orders.aclose)
    dependencies.tracing.shutdown()


async def _start_node(
    settings: schema.Settings,
    role: str,
    time_source: clock.Clock,
    objects: object_api.ObjectApi,
    switches: invariants.SafeguardSwitches,
    tls_pair: TlsPair,
) -> node.PeerNode:
    local_member = node.make_member(settings, role, time_source.wall_s())
    server_tls, client_tls = tls_pair
    try:
        return await node.start_peer_node(
            local_member,
            time_source,
            settings.peers.contacts,
            objects,
            domain_module.decode_replicas,
            settings.node.seed,
            switches=switches,
            sockets=node.PeerSockets(
                server_tls.context if server_tls else None,
                client_tls.context if client_tls else None,
                settings.listen.peer_host,
                settings.peers.local_host,
            ),
        )
    except OSError as error:
        raise ProcessError(
            f'cannot listen on {local_member.host}:{local_member.peer_port}: '
            f'{error}'
        ) from error


def _make_peer_tls(settings: schema.TlsSettings) -> TlsPair:
    server = contexts.make_server_context(settings, mutual=True)
    client = contexts.make_client_context(settings)
    for tls_context in (server, client):
        if tls_context.is_error():
            raise ProcessError(str(tls_context.error))
    return (server.ok, client.ok)


def _start_certificate_reload(
    group: anyio_abc.TaskGroup, tls_pair: TlsPair, time_source: clock.Clock
) -> None:
    for tls_context in tls_pair:
        if tls_context is not None:
            group.start_soon(tls_context.follow, time_source)
