"""Membership table of the other nodes: addresses, liveness, last status.

Each node sends a status message as a UDP datagram at a fixed interval, with the
endpoints that it suspects and what it knows of the lease. A lost datagram needs
no retransmission, since the next one repeats its content. A node that others
may not know yet announces its address in its first messages.

In a small fleet every node sends to every other node. In a large one a node
sends only to the hubs of its data centre (two live nodes with the highest
bandwidth) and receives updates about other nodes from them, so that its cost
doesn't grow with the fleet. There a node counts as alive until it is marked
down.
"""

import asyncio
import math
import time
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.node import cut_off_nodes, peer_addresses, status_messages
from redwingvalve.observability import logs
from redwingvalve.platform import settings

LOG = logs.make_logger('peers')
# A node that the store no longer lists is removed after this time without a
# message. A stale listing may lack a node that has just started.
FORGET_AFTER_S = 15.0
# Status messages include the address for this long after each listing of the
# store: about ten messages, of which the network loses a few.
ANNOUNCE_S = 3.0
# A node is given to callers while its last status message is younger than
# this: four messages of an idle node.
ALIVE_TIMEOUT_S = 1.2
# Status messages between a hub and its nodes. Two in a row may be lost before
# a node counts as down.
HUB_STATUS_INTERVAL_S = 0.25
HUB_ALIVE_TIMEOUT_S = 0.9
# Requests of a node count until it has been silent for this many intervals, so
# that a single lost message has no effect.
LOST_AFTER_INTERVALS = 3.5
# Status messages while requests run, and while the node is idle.
BUSY_STATUS_INTERVAL_S = 0.1
IDLE_STATUS_INTERVAL_S = 0.3
# With more peers than this, status messages of a small fleet become less
# frequent.
FULL_RATE_PEERS = 8
# A fleet of at least this many nodes uses hubs, and relays for store watches.
LARGE_FLEET_NODES = 12
# Status messages that ask a newly listed node for a reply, of which the network
# loses a few, and those after each later listing.
ASKS_OF_LISTED_NODES = 4
ASKS_AFTER_LISTING = 1
# First byte of datagrams that aren't status messages. No Thrift struct begins
# with it.
TAG = b'\xff'
# Follows the tag of messages about slots.
SLOT_KIND = b''
# Follows the tag of messages about probes. It ends a Thrift struct: nodes that
# don't know the kind read an empty message, and ignore it.
PROBE_KIND = b'\x00'


SocketAddress: typing.TypeAlias = peer_addresses.SocketAddress
PeerAddress: typing.TypeAlias = peer_addresses.PeerAddress
_Handler: typing.TypeAlias = typing.Callable[[bytes, SocketAddress], None]


@attrs.define(eq=False)
class Peer:
    """State of another node."""

    address: PeerAddress
    first_seen_s: float
    last_received_s: float | None = None
    born_ms: int = 0
    number: int = -1
    is_leaving: bool = False
    is_ready: bool = True
    # Marked down in a large fleet, here or by a hub.
    is_down: bool = False
    # When it was last marked down there.
    down_since_s: float = -math.inf
    # Whether this process has sent a message, or a hub has received one: nodes
    # that were killed stay registered.
    is_confirmed: bool = False
    # Messages that still ask an unconfirmed node for a reply.
    asks_left: int = ASKS_OF_LISTED_NODES

    @property
    def last_seen_s(self) -> float:
        """Return when the node last sent a message, or was first listed."""
        return (
            self.first_seen_s
            if self.last_received_s is None
            else self.last_received_s
        )


class PeerObserver(typing.Protocol):
    """Receives status messages and membership changes."""

    def status_received(self, message: typing.Any) -> None:
        """Handle a message that is newer than the node's previous one."""

    def node_lost(self, vm: str) -> None:
        """Drop the state received from a node that is gone."""

    def node_changed(self, peer: 'Peer') -> None:
        """Forward a state change of a node that sends to this hub."""


class Peers(asyncio.DatagramProtocol):
    """The other nodes, and the datagram socket shared with them."""

    def __init__(self, local: PeerAddress, observer: PeerObserver) -> None:
        """Start without peers; local is the address of this node."""
        self.known: dict[str, Peer] = {}
        self.cut_off = cut_off_nodes.CutOffNodes()
        self.local = local
        self._observer = observer
        # Nodes that were silent while the fleet was small, and when. They may
        # send to hubs only.
        self.doubted_s: dict[str, float] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._announce_until_s = 0.0
        # When a message of any other node was last received.
        self.last_received_s = 0.0
        # Longest time without any message since silent nodes were looked for.
        self.receive_gap_s = 0.0
        # Called when a listing has been applied.
        self.on_listed: typing.Callable[[], None] | None = None
        # Called with tagged datagrams and their sender's address, by kind.
        self.on_tagged: dict[bytes, _Handler] = {}

    @property
    def is_announcing(self) -> bool:
        """Return whether status messages should carry the address."""
        return time.monotonic() < self._announce_until_s

    @property
    def status_interval_s(self) -> float:
        """Return the time between status messages of a busy node."""
        if self.is_large_fleet:
            return HUB_STATUS_INTERVAL_S
        return BUSY_STATUS_INTERVAL_S * max(
            1.0, len(self.known) / FULL_RATE_PEERS
        )

    @property
    def is_large_fleet(self) -> bool:
        """Return whether the fleet is large enough to use hubs."""
        return len(self.known) + 1 >= LARGE_FLEET_NODES

    @property
    def alive_timeout_s(self) -> float:
        """Return how long a silent node still counts as alive."""
        return HUB_ALIVE_TIMEOUT_S if self.is_large_fleet else ALIVE_TIMEOUT_S

    def alive(self) -> list[Peer]:
        """Return the nodes that count as alive."""
        if self.is_large_fleet:
            return [one for one in self.known.values() if not one.is_down]
        since_s = time.monotonic() - self.alive_timeout_s
        return [
            peer
            for peer in self.known.values()
            if peer.last_received_s is not None
            and peer.last_received_s >= since_s
        ]

    def send_status(
        self, message: typing.Any, names: collections_abc.Iterable[str]
    ) -> None:
        """Send a status message to the named nodes."""
        if self._transport is None:
            return
        packed = status_messages.pack(message)
        for name in names:
            peer = self.known.get(name)
            if peer is not None:
                self._transport.sendto(packed, peer.address.socket_address)

    def send_tagged(self, packed: bytes, socket_address: SocketAddress) -> None:
        """Send a datagram that isn't a status message."""
        if self._transport is not None:
            self._transport.sendto(TAG + packed, socket_address)

    def apply_listing(self, found: list[PeerAddress]) -> None:
        """Apply a listing of the store, which may be seconds old.

        A node that isn't listed is removed once it is also silent.
        """
        names = {address.vm for address in found}
        since_s = time.monotonic() - FORGET_AFTER_S
        gone = [
            name
            for name, peer in self.known.items()
            if name not in names and peer.last_seen_s < since_s
        ]
        for name in gone:
            self._remove(name)
        before = len(self.known)
        for address in found:
            self.add(address)
        if len(self.known) > before:
            LOG.info(
                'new nodes listed by store', extra={'known': len(self.known)}
            )
        for peer in self.known.values():
            peer.asks_left = max(peer.asks_left, ASKS_AFTER_LISTING)
        self._announce_until_s = time.monotonic() + ANNOUNCE_S
        if self.on_listed is not None:
            self.on_listed()

    def close(self) -> None:
        """Close the datagram socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(
        self, data: bytes, addr: tuple[str | typing.Any, int]
    ) -> None:
        """Handle a datagram; a status message that is outdated is ignored."""
        if data.startswith(TAG):
            is_probe = data.startswith(TAG + PROBE_KIND)
            kind = PROBE_KIND if is_probe else SLOT_KIND
            handler = self.on_tagged.get(kind)
            if handler is not None:
                handler(data[len(TAG + kind) :], addr)
            return
        try:
            message = status_messages.unpack(data)
        except status_messages.StatusMessageError as error:
            LOG.warning('unusable datagram', extra={'error': str(error)})
            return
        self._update_address(message)
        peer = self.known.get(message.vm)
        if peer is None or not self._is_newer(message, peer):
            return
        self._record_received(peer, message)
        self._observer.status_received(message)

    def error_received(self, exc: Exception) -> None:
        """Ignore send errors; unreachable peers are detected by timeout."""

    def report_silent(self) -> None:
        """Report silent nodes as lost, so that their requests don't count.

        When a node is killed its connections close, and endpoints drop the
        requests that ran on them. If these requests counted until the node
        itself is considered dead, they would block slots that are free.
        """
        since_s = (
            time.monotonic() - LOST_AFTER_INTERVALS * self.status_interval_s
        )
        down_since_s = time.monotonic() - ALIVE_TIMEOUT_S
        for name, peer in self.known.items():
            if (
                peer.last_received_s is not None
                and peer.last_received_s < since_s
            ):
                self._observer.node_lost(name)
            # Also counts once the fleet has grown large.
            peer.is_down = peer.last_seen_s < down_since_s
            if peer.is_down:
                self.doubted_s[name] = time.monotonic()

    def _record_received(self, peer: Peer, message: typing.Any) -> None:
        now_s = time.monotonic()
        gap_s = now_s - self.last_received_s
        self.receive_gap_s = max(self.receive_gap_s, gap_s)
        self.last_received_s = now_s
        before = (peer.born_ms, peer.is_leaving, peer.is_ready, peer.is_down)
        peer.born_ms = message.born_ms
        peer.number = message.number
        peer.last_received_s = now_s
        peer.is_leaving = bool(message.is_leaving)
        peer.is_ready = bool(message.is_ready)
        peer.is_down = False
        peer.is_confirmed = True
        after = (peer.born_ms, peer.is_leaving, peer.is_ready, peer.is_down)
        if before != after:
            self._observer.node_changed(peer)

    def set_down(self, peer: Peer, *, is_down: bool) -> None:
        """Mark a node as down or up."""
        if is_down and not peer.is_down:
            self._observer.node_lost(peer.address.vm)
            peer.down_since_s = time.monotonic()
        peer.is_down = is_down

    def _update_address(self, message: typing.Any) -> None:
        address = peer_addresses.announced_address(message)
        if address is None:
            return
        known = self.known.get(message.vm)
        if known is None:
            LOG.info(
                'node discovered', extra={'vm': message.vm, 'ip': address.ip}
            )
        elif known.address != address and self._is_newer(message, known):
            # If the VM's clock was set back, the start time of this process is
            # earlier than that of its predecessor, and add() would ignore it.
            self.known.pop(message.vm)
        self.add(address)

    def _is_newer(self, message: typing.Any, peer: Peer) -> bool:
        """Return whether a message is newer than the node's previous one.

        Processes of a node are told apart by their start time, a wall clock
        that may be set back by seconds between two starts. Messages of the new
        process would then look outdated, and callers would not be sent to it,
        until its clock has caught up. So a different start time also counts as
        newer once the previous process is silent. Within one process,
        duplicated or late messages are always ignored.
        """
        # Until the first message the start time is known from the store only.
        born_ms = peer.born_ms or peer.address.born_ms
        if message.born_ms == born_ms:
            return bool(message.number > peer.number)
        is_silent = peer.last_seen_s < time.monotonic() - self.alive_timeout_s
        return is_silent or message.born_ms > born_ms

    def add(self, address: PeerAddress) -> None:
        """Add or update a node, unless a later process of it is known."""
        if address.vm == self.local.vm:
            return
        known = self.known.get(address.vm)
        if known is not None and known.address.born_ms >= address.born_ms:
            return
        self.known[address.vm] = Peer(address, time.monotonic())

    def _remove(self, name: str) -> None:
        self.cut_off.forget(name)
        if self.known.pop(name, None) is not None:
            LOG.info('node removed', extra={'vm': name})
            self._observer.node_lost(name)


def local_address(node: settings.NodeSettings, born_ms: int) -> PeerAddress:
    """Return the address that this node registers in the store."""
    return PeerAddress(
        vm=node.vm,
        ip=node.ip,
        peer_port=node.peer_port,
        front=str(node.front),
        data_centre=node.data_centre,
        born_ms=born_ms,
        link_mbps=node.link_mbps,
    )


async def open_socket(peers: Peers) -> None:
    """Open the datagram socket; raises OSError."""
    loop = asyncio.get_running_loop()
    await loop.create_datagram_endpoint(
        lambda: peers, local_addr=(peers.local.ip, peers.local.peer_port)
    )
