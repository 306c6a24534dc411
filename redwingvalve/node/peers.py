"""The other nodes: where they are, which live, and what they last said.

Each node says by datagram whom it suspects and what it knows of the lease. A
lost datagram is made up for by the next. A node that the others don't know yet
introduces itself in its first words.

In a small fleet all nodes hear each other. In a large one a node speaks to the
hubs of its data centre, two living nodes with the widest links, and hears from
them what has happened to others; so what it spends doesn't grow with the fleet.
A node that no hub has told of as down counts as living.
"""

import asyncio
import time
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.node import status_messages
from redwingvalve.observability import logs
from redwingvalve.platform import settings

LOG = logs.make_logger('peers')
# A node that the store lists no more is forgotten after this silence; a stale
# listing may lack one that has just come.
FORGET_S = 15.0
# After the store was read, each word says where the node is for so long: some
# ten words, of which the network loses a few.
INTRODUCE_S = 3.0
# A node is given to callers while it was heard within this; four words of a
# node at rest.
ALIVE_TIMEOUT_S = 1.2
# Words between a hub and its nodes. Two in a row may be lost before a node
# counts as down.
HUB_WORD_S = 0.25
HUB_ALIVE_TIMEOUT_S = 0.9
# The requests of a node count while it was heard within this many pauses: one
# word that is lost on the way makes no difference.
COUNTED_PAUSES = 3.5
# Words while something changes, and at rest.
BUSY_WORD_S = 0.1
REST_WORD_S = 0.3
# In a small fleet of more nodes than this words get rarer.
PLAIN_NODES = 8
# From this many nodes on some watch the store for the others.
LARGE_FROM_NODES = 12
# The first byte of datagrams that are no words: no struct begins with it.
TAG = b'\xff'


Address: typing.TypeAlias = tuple[str, int]


@attrs.frozen
class PeerAddress:
    """A node as it stands in the store."""

    vm: str
    ip: str
    peer_port: int
    front: str
    data_centre: str
    born_ms: int
    # 0 where a node does not say.
    link_mbps: float = 0

    @property
    def socket(self) -> tuple[str, int]:
        """Return where the node's datagrams go."""
        return self.ip, self.peer_port


@attrs.define(eq=False)
class Peer:
    """What is known of another node."""

    address: PeerAddress
    first_seen_s: float
    last_received_s: float | None = None
    born_ms: int = 0
    number: int = -1
    is_leaving: bool = False
    is_ready: bool = True
    # A hub of a large fleet has said so.
    is_down: bool = False

    @property
    def last_seen_s(self) -> float:
        """Return when the node was heard last, or came to be known."""
        return (
            self.first_seen_s
            if self.last_received_s is None
            else self.last_received_s
        )


class PeerObserver(typing.Protocol):
    """What takes the words of other nodes."""

    def word(self, word: typing.Any) -> None:
        """Take a word, newer than the last one of its node."""

    def node_lost(self, vm: str) -> None:
        """Forget what a node that is gone has said."""

    def node_changed(self, peer: 'Peer') -> None:
        """Pass on that a node that speaks to this hub has changed."""


class Peers(asyncio.DatagramProtocol):
    """All other nodes."""

    def __init__(self, local: PeerAddress, taker: PeerObserver) -> None:
        """Speak for the own node."""
        self.known: dict[str, Peer] = {}
        self.local = local
        self._taker = taker
        self._transport: asyncio.DatagramTransport | None = None
        self._introduce_until_s = 0.0
        # When any other node was heard last.
        self.last_received_s = 0.0
        # After which silence of all others it was.
        self.receive_gap_s = 0.0
        # Takes datagrams that are no words, and where they came from.
        self.on_tagged: typing.Callable[[bytes, Address], None] | None = None

    @property
    def is_announcing(self) -> bool:
        """Return whether others may not know this node yet."""
        return time.monotonic() < self._introduce_until_s

    @property
    def word_pause_s(self) -> float:
        """Return the time between two words while something changes."""
        if self.is_large_fleet:
            return HUB_WORD_S
        return BUSY_WORD_S * max(1.0, len(self.known) / PLAIN_NODES)

    @property
    def is_large_fleet(self) -> bool:
        """Return whether the fleet is too large for each to watch the store."""
        return len(self.known) + 1 >= LARGE_FROM_NODES

    @property
    def alive_timeout_s(self) -> float:
        """Return how long a node may be silent and count as living."""
        return HUB_ALIVE_TIMEOUT_S if self.is_large_fleet else ALIVE_TIMEOUT_S

    def alive(self) -> list[Peer]:
        """Return the nodes that seem to live."""
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
        self, word: typing.Any, names: collections_abc.Iterable[str]
    ) -> None:
        """Send a word to some nodes."""
        if self._transport is None:
            return
        packed = status_messages.pack(word)
        for name in names:
            peer = self.known.get(name)
            if peer is not None:
                self._transport.sendto(packed, peer.address.socket)

    def send_tagged(self, packed: bytes, socket: Address) -> None:
        """Send a datagram that is no word."""
        if self._transport is not None:
            self._transport.sendto(TAG + packed, socket)

    def listed(self, found: list[PeerAddress]) -> None:
        """Take the nodes that the store lists, perhaps seconds late.

        A node that isn't listed is gone once it is also silent.
        """
        names = {address.vm for address in found}
        since_s = time.monotonic() - FORGET_S
        gone = [
            name
            for name, peer in self.known.items()
            if name not in names and peer.last_seen_s < since_s
        ]
        for name in gone:
            self._drop(name)
        before = len(self.known)
        for address in found:
            self.add(address)
        if len(self.known) > before:
            LOG.info('nodes listed', extra={'known': len(self.known)})
        self._introduce_until_s = time.monotonic() + INTRODUCE_S

    def close(self) -> None:
        """Give the address of datagrams back."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(
        self, data: bytes, addr: tuple[str | typing.Any, int]
    ) -> None:
        """Take a word unless a newer one of the same node came first."""
        if data.startswith(TAG):
            if self.on_tagged is not None:
                self.on_tagged(data[len(TAG) :], addr)
            return
        try:
            word = status_messages.unpack(data)
        except status_messages.WordError as error:
            LOG.warning('unusable datagram', extra={'error': str(error)})
            return
        self._meet(word)
        peer = self.known.get(word.vm)
        if peer is None:
            return
        if not self._is_news(word, peer):
            return
        self._note_heard(peer, word)
        self._taker.word(word)

    def error_received(self, exc: Exception) -> None:
        """Do without: a peer that isn't there is known by its silence."""

    def drop_silent(self) -> None:
        """Let the requests of nodes that fell silent count no more.

        A node that is killed takes its connections with it, and endpoints drop
        what ran there. Counted until the node itself is taken for gone, those
        requests keep others out of places that are free.
        """
        since_s = time.monotonic() - COUNTED_PAUSES * self.word_pause_s
        for name, peer in self.known.items():
            if (
                peer.last_received_s is not None
                and peer.last_received_s < since_s
            ):
                self._taker.node_lost(name)

    def _note_heard(self, peer: Peer, word: typing.Any) -> None:
        now_s = time.monotonic()
        self.receive_gap_s = now_s - self.last_received_s
        self.last_received_s = now_s
        before = (peer.born_ms, peer.is_leaving, peer.is_ready, peer.is_down)
        peer.born_ms = word.born_ms
        peer.number = word.number
        peer.last_received_s = now_s
        peer.is_leaving = bool(word.is_leaving)
        peer.is_ready = bool(word.is_ready)
        peer.is_down = False
        after = (peer.born_ms, peer.is_leaving, peer.is_ready, peer.is_down)
        if before != after:
            self._taker.node_changed(peer)

    def set_down(self, peer: Peer, *, is_down: bool) -> None:
        """Note whether a node is down."""
        if is_down and not peer.is_down:
            self._taker.node_lost(peer.address.vm)
        peer.is_down = is_down

    def _meet(self, word: typing.Any) -> None:
        address = announced_address(word)
        if address is None:
            return
        known = self.known.get(word.vm)
        if known is None:
            LOG.info('node known', extra={'vm': word.vm, 'ip': address.ip})
        elif known.address != address and self._is_news(word, known):
            # Its clock may have been set back since: its start then looks
            # earlier than that of the process which it replaces.
            self.known.pop(word.vm)
        self.add(address)

    def _is_news(self, word: typing.Any, peer: Peer) -> bool:
        """Return whether a word is newer than the last one of its node.

        Starts are told apart by the time of day, which may be set back by
        seconds before a process starts again. Its words would be taken for old
        ones, and no caller sent to it, until its clock has caught up. So
        another start counts as the later one once the process that was heard
        before has fallen silent; of one start, a word that is repeated or late
        never counts.
        """
        # Before its first word only the store tells of a start.
        born_ms = peer.born_ms or peer.address.born_ms
        if word.born_ms == born_ms:
            return bool(word.number > peer.number)
        is_silent = peer.last_seen_s < time.monotonic() - self.alive_timeout_s
        return is_silent or word.born_ms > born_ms

    def add(self, address: PeerAddress) -> None:
        """Take where a node is, unless a later start of it is known."""
        if address.vm == self.local.vm:
            return
        known = self.known.get(address.vm)
        if known is not None and known.address.born_ms >= address.born_ms:
            return
        self.known[address.vm] = Peer(address, time.monotonic())

    def _drop(self, name: str) -> None:
        if self.known.pop(name, None) is not None:
            LOG.info('node gone', extra={'vm': name})
            self._taker.node_lost(name)


def local_address(node: settings.NodeSettings, born_ms: int) -> PeerAddress:
    """Return what this node writes into the store."""
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
    """Listen for the words of other nodes; raises OSError."""
    loop = asyncio.get_running_loop()
    await loop.create_datagram_endpoint(
        lambda: peers, local_addr=(peers.local.ip, peers.local.peer_port)
    )


def announced_address(word: typing.Any) -> PeerAddress | None:
    """Return where a word says that its node is, if it does."""
    address = word.address
    if address is None or not (address.ip and address.peer_port):
        return None
    return PeerAddress(
        vm=word.vm,
        ip=address.ip,
        peer_port=address.peer_port,
        front=address.front or '',
        data_centre=address.data_centre or '',
        born_ms=word.born_ms or 0,
        link_mbps=address.link_mbps or 0,
    )
