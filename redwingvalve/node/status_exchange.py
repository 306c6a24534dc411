"""Sends this node's status to other nodes and applies theirs."""

import asyncio
import functools
import time
import typing

import anyio
import attrs

from redwingvalve.allocation import usage as usage_module
from redwingvalve.fleet import registry as registry_module
from redwingvalve.fleet import serving
from redwingvalve.ingress import state as state_module
from redwingvalve.node import crash_reports as crash_reports_module
from redwingvalve.node import (
    cut_off_reports,
    forwarding_peers,
    node_asks,
    status_fields,
    status_messages,
    suspicion_sharing,
    update_forwarding,
)
from redwingvalve.node import front as front_module
from redwingvalve.node import hubs as hubs_module
from redwingvalve.node import lease as lease_module
from redwingvalve.node import peers as peers_module
from redwingvalve.node import successors as successors_module

# Changes within this time are sent in one message. Otherwise a node that finds
# forty heads healthy at once sends forty messages to each of the others: 3 MB
# with 59 nodes, which saturate a 10 Mbit/s link for seconds, while the node's
# requests to endpoints time out.
COALESCE_S = 0.02


@attrs.define(eq=False)
class StatusExchange(peers_module.PeerObserver):
    """Broadcasts this node's status and dispatches received messages."""

    local: peers_module.PeerAddress
    state: state_module.IngressState
    registry: registry_module.Registry
    table: serving.ServingTable
    lease: lease_module.Lease
    front: front_module.FrontApplication
    peers: peers_module.Peers = attrs.field(init=False)
    hubs: hubs_module.Hubs = attrs.field(init=False)
    successors: successors_module.FleetSuccessors = attrs.field(init=False)
    crash_reports: crash_reports_module.CrashReports = attrs.field(init=False)
    # Slots in use, as reported by the nodes that allocate them.
    usage: usage_module.FleetUsage = attrs.field(
        factory=usage_module.FleetUsage
    )
    suspicions: suspicion_sharing.SuspicionSharing = attrs.field(init=False)
    on_node_lost: typing.Callable[[str], None] | None = None
    local_usage: typing.Callable[[], dict[str, int]] = dict
    # Whether another node has received requests.
    has_peer_served: bool = False
    _forwarded_updates: update_forwarding.ForwardedUpdates = attrs.field(
        init=False
    )
    _cut_off_reports: cut_off_reports.CutOffReports = attrs.field(init=False)
    _number: int = 0
    _sent_s: float = 0.0
    _timer: asyncio.TimerHandle | None = None
    # Endpoints that this node found healthy.
    _cleared: dict[str, status_fields.Clearance] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Subscribe to the changes that are sent without delay."""
        self.peers = peers_module.Peers(self.local, self)
        self.successors = successors_module.FleetSuccessors(self.peers)
        self.state.peers = forwarding_peers.ForwardingPeers(self.peers)
        self.peers.on_listed = self._ask_doubted
        self.hubs = hubs_module.Hubs(self.peers, self.node_changed)
        self._forwarded_updates = update_forwarding.ForwardedUpdates(
            self.peers, self.hubs
        )
        self.crash_reports = crash_reports_module.CrashReports(
            self.state.poison, self.broadcast_soon, self._forwards_crashes
        )
        self.suspicions = suspicion_sharing.SuspicionSharing(
            self.table, self.state.reach, self._broadcast_suspicion
        )
        self.state.reach.add_observer(self.suspicions)
        self.peers.cut_off.on_news = self.state.reach.peers_cut_off
        self._cut_off_reports = cut_off_reports.CutOffReports(
            self.peers, self.state.reach
        )
        self.state.reach.add_observer(
            cut_off_reports.CutOffBroadcast(self.broadcast_soon)
        )
        self.table.on_suspect = self.suspicions.add
        self.table.on_cleared = self._broadcast_cleared
        self.table.on_announce_healthy = self._record_cleared
        self.lease.on_renewed = self.broadcast_soon
        self.table.evacuations.on_change.append(self.broadcast_soon)

    @property
    def fleet_has_served(self) -> bool:
        """Return whether any node has received a request."""
        return self.front.has_served or self.has_peer_served

    async def run(self) -> typing.NoReturn:
        """Broadcast at every interval, less often in an idle small fleet."""
        while True:
            idle_s = time.monotonic() - self._sent_s
            # Peers take the silence of a node for the end of its requests.
            is_busy = bool(self.state.loads.by_endpoint)
            is_due = self.peers.is_large_fleet or is_busy
            if is_due or idle_s >= peers_module.IDLE_STATUS_INTERVAL_S:
                self.broadcast_now()
            self._run_checks()
            await anyio.sleep(self.peers.status_interval_s)

    def broadcast_now(self, *, is_urgent: bool = False) -> None:
        """Send the status to all recipients.

        An urgent message repeats no updates that this hub has forwarded.
        """
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        urgent_since_s = self._sent_s if is_urgent else None
        self._sent_s = time.monotonic()
        evidence = self.crash_reports.next_evidence(urgent_since_s)
        recipients = self.hubs.recipients()
        is_hub = bool(recipients.hubs and recipients.nodes)
        for names, with_hub_updates in (
            (recipients.hubs, False),
            (recipients.nodes, True),
        ):
            if not names:
                continue
            message = self.build_message()
            evidence.add_to(message)
            if is_hub:
                self._forwarded_updates.add_to(
                    message,
                    with_hub_updates=with_hub_updates,
                    is_urgent=is_urgent,
                )
            if is_hub and not is_urgent:
                self._cut_off_reports.add_to(
                    message, with_hub_updates=with_hub_updates
                )
            self.peers.send_status(message, names)
        if not is_urgent:
            self._ask_doubted()

    def _ask_doubted(self) -> None:
        doubted = {*self.hubs.doubted(), *node_asks.next_asked(self.peers)}
        if not doubted:
            return
        message = self.build_message()
        message.asks_reply = True
        self.peers.send_status(message, doubted)

    def broadcast_soon(self) -> None:
        """Send the status, at most once per COALESCE_S."""
        if self._timer is not None:
            return
        wait_s = self._sent_s + COALESCE_S - time.monotonic()
        urgent = functools.partial(self.broadcast_now, is_urgent=True)
        if wait_s <= 0:
            urgent()
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(wait_s, urgent)

    def build_message(self) -> typing.Any:
        """Return the next status message of this node."""
        self._number += 1
        usage = self.local_usage()
        self.usage.update(self.local.vm, usage)
        message = status_messages.StatusMessage(
            vm=self.local.vm,
            born_ms=self.local.born_ms,
            number=self._number,
            is_leaving=self.state.is_leaving,
            is_ready=self.state.configuration is not None,
            suspects=status_fields.suspicion_messages(
                self.suspicions.confirmed(self.table.local_suspicions())
            ),
            has_served=self._reports_served(),
            cleared=status_fields.recent_clearance_messages(
                self._cleared.values()
            ),
            usage=usage,
            evacuation_revision=self.table.evacuations.revision or None,
            evacuated=self.table.evacuations.shared_names() or None,
            is_cut_off=self.state.reach.is_cut_off or None,
        )
        if self.peers.is_announcing:
            message.address = status_fields.address_message(self.local)
        if self.lease.is_held() or self.lease.is_releasing:
            message.lease_revision = self.lease.revision
            message.lease_left_ms = self.lease.left_ms()
        elif self.lease.is_handed_over:
            message.lease_revision = self.lease.revision
            message.lease_left_ms = 0
        elif self.peers.is_large_fleet and self.lease.observed_left_ms():
            message.lease_revision = self.lease.observed_revision
            message.lease_left_ms = self.lease.observed_left_ms()
        return message

    def _reports_served(self) -> bool:
        # In a large fleet most nodes receive this only by way of a hub.
        if self.peers.is_large_fleet:
            return self.fleet_has_served
        return self.front.has_served

    def status_received(self, message: typing.Any) -> None:
        """Apply another node's status."""
        if self.peers.is_large_fleet:
            self._apply_forwarded(message)
        if message.asks_reply:
            self.peers.send_status(self.build_message(), [message.vm])
        self.peers.cut_off.record(
            message.vm, is_cut_off=bool(message.is_cut_off)
        )
        self.peers.cut_off.apply(message, self.local.vm)
        self.usage.update(message.vm, message.usage or {})
        if message.lease_revision:
            self.lease.observe(message.lease_revision, message.lease_left_ms)
        self.has_peer_served = self.has_peer_served or bool(message.has_served)
        self.crash_reports.receive(message)
        self.table.evacuations.observe(
            message.evacuation_revision or 0, message.evacuated or ()
        )
        for suspicion in status_fields.parse_suspicions(message):
            self.table.add_suspicion(suspicion)
        for clearance in status_fields.parse_clearances(message):
            self.table.clear_if_older(
                clearance.endpoint_id,
                clearance.epoch,
                clearance.since_s,
                clearance.born_ms,
            )

    def _forwards_crashes(self) -> bool:
        # In a small fleet too: a node may be cut off from one other node only.
        return not self.peers.is_large_fleet or self.hubs.is_hub

    def node_changed(self, peer: peers_module.Peer) -> None:
        """Forward a node's changed state if this node is a hub."""
        if self.hubs.is_hub:
            self._forwarded_updates.record_change(peer)
            self.broadcast_soon()

    def _apply_forwarded(self, message: typing.Any) -> None:
        news = list(filter(self.hubs.apply_state, message.states or ()))
        for usage in message.usages or ():
            self.usage.update(usage.vm, usage.usage or {})
        if self.hubs.is_hub and self._forwarded_updates.record_received(
            message, news
        ):
            self.broadcast_soon()

    def node_lost(self, vm: str) -> None:
        """Drop the slots that a lost node holds or allocates."""
        self.usage.remove(vm)
        if self.on_node_lost is not None:
            self.on_node_lost(vm)

    def _run_checks(self) -> None:
        self.successors.observe()
        if self.peers.is_large_fleet:
            self.hubs.mark_silent_down()
        else:
            self.peers.report_silent()
        self.registry.drop_expired()
        self.table.evacuations.tick()
        # Before that every endpoint would seem to have ended.
        is_synced = self.registry.is_synced
        if is_synced and self.state.poison.undecided():
            self.state.poison.resolve_broken_runs(self.registry.incarnations())
        self.state.node_count = 1 + len(self.peers.alive())

    def _broadcast_cleared(self, endpoint_id: str, epoch: int) -> None:
        self._record_cleared(endpoint_id, epoch)
        self.broadcast_soon()

    def _record_cleared(self, endpoint_id: str, epoch: int) -> None:
        # Not urgent: sent with the next status message.
        self._cleared[endpoint_id] = status_fields.Clearance(
            endpoint_id,
            epoch,
            time.monotonic(),
            self.registry.tracker.born_ms(endpoint_id),
        )

    def _broadcast_suspicion(self, suspicion: serving.Suspicion) -> None:
        # Urgent: all nodes still send requests to this endpoint.
        self._cleared.pop(suspicion.endpoint_id, None)
        self.broadcast_soon()
