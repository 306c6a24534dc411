"""The other nodes: where they are, which live, and what they last said.

Each node says by datagram what it has under way, whom it suspects and what it
knows of the lease. A lost datagram is made up for by the next. A node that the
others don't know yet introduces itself in its first words.
"""

import asyncio
import time
import typing

import attrs

from redwingvalve.node import words
from redwingvalve.observability import logs
from redwingvalve.platform import settings

LOG = logs.make_logger('peers')
# A node that the store lists no more is forgotten after this silence; a stale
# listing may lack one that has just come.
FORGET_S = 15.0
# After the store was read, each word says where the node is for so long: some
# ten words, of which the network loses a few.
INTRODUCE_S = 3.0
INTRODUCE_PAUSES = 4
# A node is given to callers while it was heard within this, or within so many
# pauses between words where that is longer; four words of a node at rest.
ALIVE_S = 1.2
ALIVE_PAUSES = 2.4
# The requests of a node count while it was heard within this many pauses: one
# word that is lost on the way makes no difference.
COUNTED_PAUSES = 3.5
# Words while something changes, and at rest.
BUSY_WORD_S = 0.1
REST_WORD_S = 0.3
# Each node hears all others; beyond this many the words get rarer, so that
# what a node spends on them stays the same: 80 words a second, each
# of 18 microseconds (measured) and a system call.
PLAIN_NODES = 8


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
    heard_s: float | None = None
    born_ms: int = 0
    number: int = -1
    is_leaving: bool = False
    is_ready: bool = True

    @property
    def last_sign_s(self) -> float:
        """Return when the node was heard last, or came to be known."""
        return self.first_seen_s if self.heard_s is None else self.heard_s


class WordTaker(typing.Protocol):
    """What takes the words of other nodes."""

    def word(self, word: typing.Any) -> None:
        """Take a word, newer than the last one of its node."""

    def node_lost(self, vm: str) -> None:
        """Forget what a node that is gone has said."""


class Peers(asyncio.DatagramProtocol):
    """All other nodes."""

    def __init__(self, own: PeerAddress, taker: WordTaker) -> None:
        """Speak for the own node."""
        self.known: dict[str, Peer] = {}
        self.own = own
        self._taker = taker
        self._transport: asyncio.DatagramTransport | None = None
        self._introduce_until_s = 0.0

    @property
    def is_introducing(self) -> bool:
        """Return whether others may not know this node yet."""
        return time.monotonic() < self._introduce_until_s

    @property
    def word_pause_s(self) -> float:
        """Return the time between two words while something changes."""
        return BUSY_WORD_S * self.crowd

    @property
    def crowd(self) -> float:
        """Return how much rarer words are than in a small fleet."""
        return max(1.0, len(self.known) / PLAIN_NODES)

    @property
    def alive_s(self) -> float:
        """Return how long a node may be silent and count as living."""
        return max(ALIVE_S, ALIVE_PAUSES * self.word_pause_s)

    def alive(self) -> list[Peer]:
        """Return the nodes that were heard lately."""
        since_s = time.monotonic() - self.alive_s
        return [
            peer
            for peer in self.known.values()
            if peer.heard_s is not None and peer.heard_s >= since_s
        ]

    def callable_fronts(self) -> list[str]:
        """Return addresses of nodes that callers may be given."""
        alive = self.alive()
        since_s = time.monotonic() - self.alive_s
        newcomers = [
            peer
            for peer in self.known.values()
            if peer.heard_s is None and peer.first_seen_s >= since_s
        ]
        # A node that hears nobody is itself cut off, or all others are new.
        found = alive or newcomers
        return [
            peer.address.front
            for peer in found
            if peer.is_ready and not peer.is_leaving
        ]

    def say(self, word: typing.Any) -> None:
        """Send a word to all other nodes."""
        if self._transport is None:
            return
        packed = words.pack(word)
        for peer in self.known.values():
            self._transport.sendto(packed, peer.address.socket)

    def say_to(self, name: str, word: typing.Any) -> None:
        """Send a word to one node."""
        peer = self.known.get(name)
        if self._transport is None or peer is None:
            return
        self._transport.sendto(words.pack(word), peer.address.socket)

    def listed(self, found: list[PeerAddress]) -> None:
        """Take the nodes that the store lists, perhaps seconds late.

        A node that isn't listed is gone once it is also silent.
        """
        names = {address.vm for address in found}
        since_s = time.monotonic() - FORGET_S
        gone = [
            name
            for name, peer in self.known.items()
            if name not in names and peer.last_sign_s < since_s
        ]
        for name in gone:
            self._drop(name)
        before = len(self.known)
        for address in found:
            self._add(address)
        if len(self.known) > before:
            LOG.info('nodes listed', extra={'known': len(self.known)})
        introduce_s = max(INTRODUCE_S, INTRODUCE_PAUSES * self.word_pause_s)
        self._introduce_until_s = time.monotonic() + introduce_s

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
        try:
            word = words.unpack(data)
        except words.WordError as error:
            LOG.warning('unusable datagram', extra={'error': str(error)})
            return
        self._meet(word)
        peer = self.known.get(word.vm)
        if peer is None:
            return
        if not self._is_news(word, peer):
            return
        peer.born_ms = word.born_ms
        peer.number = word.number
        peer.heard_s = time.monotonic()
        peer.is_leaving = bool(word.is_leaving)
        peer.is_ready = bool(word.is_ready)
        self._taker.word(word)

    def error_received(self, exc: Exception) -> None:
        """Do without: a peer that isn't there is known by its silence."""

    def drop_silent(self) -> None:
        """Let the requests of nodes that fell silent count no more.

        A node that is killed takes its connections with it, and endpoints drop
        what ran there. Counted until the node itself is taken for gone, those
        requests keep others out of places that are free.
        """
        counted_s = min(COUNTED_PAUSES * self.word_pause_s, self.alive_s)
        since_s = time.monotonic() - counted_s
        for name, peer in self.known.items():
            if peer.heard_s is not None and peer.heard_s < since_s:
                self._taker.node_lost(name)

    def _meet(self, word: typing.Any) -> None:
        introduced = _introduced(word)
        if introduced is None:
            return
        known = self.known.get(word.vm)
        if known is None:
            LOG.info('node known', extra={'vm': word.vm, 'ip': introduced.ip})
        elif known.address != introduced and self._is_news(word, known):
            # Its clock may have been set back since: its start then looks
            # earlier than that of the process which it replaces.
            self.known.pop(word.vm)
        self._add(introduced)

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
        is_silent = peer.last_sign_s < time.monotonic() - self.alive_s
        return is_silent or word.born_ms > born_ms

    def _add(self, address: PeerAddress) -> None:
        if address.vm == self.own.vm:
            return
        known = self.known.get(address.vm)
        if known is not None and known.address.born_ms >= address.born_ms:
            return
        self.known[address.vm] = Peer(address, time.monotonic())

    def _drop(self, name: str) -> None:
        if self.known.pop(name, None) is not None:
            LOG.info('node gone', extra={'vm': name})
            self._taker.node_lost(name)


def own_address(node: settings.NodeSettings, born_ms: int) -> PeerAddress:
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


async def open_datagrams(peers: Peers) -> None:
    """Listen for the words of other nodes; raises OSError."""
    loop = asyncio.get_running_loop()
    await loop.create_datagram_endpoint(
        lambda: peers, local_addr=(peers.own.ip, peers.own.peer_port)
    )


def _introduced(word: typing.Any) -> PeerAddress | None:
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
