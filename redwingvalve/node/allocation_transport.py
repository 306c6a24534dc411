"""Transport of slot allocation messages between nodes and within this one."""

import functools
import time
import typing

import anyio
import attrs

from redwingvalve.allocation import allocator as allocator_module
from redwingvalve.allocation import (
    cold_endpoints,
    cold_starts,
    dispatch,
    messages,
    owners,
    start_forwarder,
)
from redwingvalve.allocation import reserver as reserver_module
from redwingvalve.fleet import incarnation_tracker
from redwingvalve.ingress import load_balancing, routes
from redwingvalve.ingress import state as state_module
from redwingvalve.node import cold_watch, front_selection
from redwingvalve.node import peers as peers_module
from redwingvalve.node import status_exchange as status_exchange_module
from redwingvalve.observability import logs
from redwingvalve.platform import settings

LOG = logs.make_logger('places')
# Interval at which expired holds are freed and late requests may take spare
# slots.
CHECK_INTERVAL_S = 0.1
# Interval while this node allocates no slots and owns no pool of a service
# whose cold endpoints tolerate few requests.
IDLE_CHECK_INTERVAL_S = 0.5
_Targets: typing.TypeAlias = tuple[load_balancing.Target, ...]


@attrs.define(eq=False)
class AllocationTransport(messages.Transport):
    """Delivers messages to this node's allocator and reserver, and to peers."""

    peers: peers_module.Peers
    allocator: allocator_module.Allocator
    tracker: incarnation_tracker.IncarnationTracker
    reserver: reserver_module.NodeReserver = attrs.field(init=False)

    @property
    def cold_endpoints(self) -> cold_endpoints.ColdEndpoints:
        """Return which endpoints are cold."""
        return self.allocator.cold.endpoints

    def configure(self, configuration: routes.Configuration) -> None:
        """Apply the services of a new configuration."""
        self.cold_endpoints.configure(configuration.services.values())

    @property
    def _sender(self) -> messages.Sender:
        local = self.peers.local
        return messages.Sender(local.vm, local.born_ms)

    def send(self, vm: str, message: messages.Message) -> None:
        """Send a message to a node; it may be lost."""
        envelope = messages.Envelope(self._sender, message)
        if vm == self.peers.local.vm:
            self._deliver(envelope, functools.partial(self.send, vm))
            return
        peer = self.peers.known.get(vm)
        if peer is not None:
            packed = messages.pack(envelope)
            self.peers.send_tagged(packed, peer.address.socket_address)

    def datagram_received(
        self, packed: bytes, address: tuple[str, int]
    ) -> None:
        """Handle a datagram that carries an allocation message."""
        try:
            envelope = messages.unpack(packed)
        except messages.MessageError as error:
            LOG.warning('unusable datagram', extra={'error': str(error)})
            return
        self._deliver(envelope, functools.partial(self._reply, address))

    def resign(self) -> None:
        """Let other nodes grant all slots, if there are any."""
        if front_selection.available_peers(self.peers):
            self.allocator.resign()

    def forget(self, endpoint_id: str) -> None:
        """Forget the previous processes of an endpoint that has restarted."""
        born_ms = self.tracker.born_ms(endpoint_id)
        # Before this node's slots are released: none is granted again here.
        self.allocator.forget(endpoint_id, born_ms)
        self.reserver.forget(endpoint_id, born_ms)

    async def run(self) -> typing.NoReturn:
        """Run the allocator's periodic checks until cancelled."""
        while True:
            await anyio.sleep(
                CHECK_INTERVAL_S
                if self.allocator.is_busy or self.cold_endpoints.is_enabled
                else IDLE_CHECK_INTERVAL_S
            )
            self.allocator.tick()

    def _deliver(
        self,
        envelope: messages.Envelope,
        reply: allocator_module.ReplyCallback,
    ) -> None:
        dispatch.dispatch_message(
            envelope, self.allocator, self.reserver, reply
        )

    def _reply(self, address: tuple[str, int], reply: messages.Reply) -> None:
        packed = messages.pack(messages.Envelope(self._sender, reply))
        self.peers.send_tagged(packed, address)


@attrs.define(eq=False)
class _PoolTargets:
    """The targets of each pool, cached for each version of the target table."""

    find: typing.Callable[[str, str], _Targets]
    _by_pool: dict[messages.Pool, tuple[_Targets, _Targets]] = attrs.field(
        factory=dict
    )

    def of(self, pool: messages.Pool) -> _Targets:
        """Return the pool's targets that accept requests now."""
        table = self.find(pool.service, pool.model)
        known_table, picked = self._by_pool.get(pool, ((), ()))
        if known_table is table:
            return picked
        picked = tuple(
            target
            for target in table
            if pool.data_centre in {'', target.data_centre}
        )
        self._by_pool[pool] = (table, picked)
        return picked


def make_allocation(
    state: state_module.IngressState,
    status_exchange: status_exchange_module.StatusExchange,
    bounds: settings.Bounds,
) -> AllocationTransport:
    """Create the allocator, reserver and transport, and wire them up."""
    peers = status_exchange.peers

    table = status_exchange.table
    # Also those that this node can't connect to: others ask it for slots there.
    pool_targets = _PoolTargets(table.targets.find_of_fleet)
    evacuations = table.evacuations
    cold = cold_watch.make_cold_endpoints(bounds, status_exchange.registry)
    cold_watch.EvacuationEnds(cold, evacuations)
    pool_owners = owners.PoolOwners(
        lambda: _candidates(peers, state), time.monotonic
    )
    allocator = allocator_module.Allocator(
        pool_targets.of,
        time.monotonic,
        cold=cold_starts.ColdStarts(cold),
    )
    tracker = status_exchange.registry.tracker
    allocator.is_past = tracker.is_past
    transport = AllocationTransport(peers, allocator, tracker)
    allocator.mark_leaving = state.targets.mark_leaving
    allocator.forwarder = start_forwarder.make_forwarder(
        peers.local.vm, pool_owners, transport, time.monotonic()
    )
    takeovers = allocator.takeovers
    takeovers.holders = lambda: _holders(peers)
    takeovers.request = transport.send
    takeovers.owns = functools.partial(pool_owners.is_first, peers.local.vm)
    takeovers.refresh = pool_owners.refresh
    transport.reserver = reserver_module.NodeReserver(
        data_centre=peers.local.data_centre,
        targets=state.targets,
        owners=pool_owners,
        transport=transport,
        loads=state.loads,
        clock=time.monotonic,
        is_split_by_data_centre=lambda: peers.is_large_fleet,
        is_evacuated=lambda pool: (
            evacuations.is_any_evacuated and not pool_targets.of(pool)
        ),
        unreached=table.targets.unreached,
        cold=cold_starts.ColdStarts(cold),
    )
    peers.on_tagged[peers_module.SLOT_KIND] = transport.datagram_received
    state.reserver = transport.reserver
    state.slot_demand = status_exchange.usage.slots_in_use
    state.waiting_requests = allocator.queue_length
    status_exchange.local_usage = allocator.usage
    status_exchange.on_node_lost = allocator.drop_node
    return transport


def _candidates(
    peers: peers_module.Peers, state: state_module.IngressState
) -> list[owners.Candidate]:
    others = list(map(_candidate, front_selection.available_peers(peers)))
    # The other nodes no longer ask this one for slots, nor tell it of theirs.
    if state.is_leaving and others:
        return others
    local = owners.Candidate(peers.local.vm, peers.local.data_centre)
    return [local, *others]


def _holders(peers: peers_module.Peers) -> list[str]:
    """Return all nodes that seem to live, also those that are leaving."""
    return [peers.local.vm, *(peer.address.vm for peer in peers.alive())]


def _candidate(peer: peers_module.Peer) -> owners.Candidate:
    return owners.Candidate(peer.address.vm, peer.address.data_centre)
