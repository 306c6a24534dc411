"""The other nodes: where they are, which live, and what they last said.

Each node says by datagram what it has under way, whom it suspects and what it
knows of the lease. A lost datagram is made up for by the next. Nodes meet in
the store, where each keeps one object for as long as it runs.
"""

import asyncio
import time
import typing

import attrs

from redwingvalve.node import following, words
from redwingvalve.observability import logs
from redwingvalve.platform import settings, store

LOG = logs.make_logger('peers')
NODE_KIND = 'redwingvalve-nodes'
# A node is given to callers while it was heard within this; four words of a
# node at rest.
ALIVE_S = 1.2
# Words while something changes, and at rest.
BUSY_WORD_S = 0.1
REST_WORD_S = 0.3
# Each node hears all others; beyond this many the words get rarer, so that
# what a node spends on them stays the same.
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


class WordTaker(typing.Protocol):
    """What takes the words of other nodes."""

    def word(self, word: typing.Any) -> None:
        """Take a word, newer than the last one of its node."""

    def node_lost(self, vm: str) -> None:
        """Forget what a node that is gone has said."""


class Peers(following.Follower, asyncio.DatagramProtocol):
    """All other nodes."""

    def __init__(self, own: PeerAddress, taker: WordTaker) -> None:
        """Speak for the own node."""
        self.known: dict[str, Peer] = {}
        self.own = own
        self._taker = taker
        self._transport: asyncio.DatagramTransport | None = None

    @property
    def word_pause_s(self) -> float:
        """Return the time between two words while something changes."""
        return BUSY_WORD_S * max(1.0, len(self.known) / PLAIN_NODES)

    def alive(self) -> list[Peer]:
        """Return the nodes that were heard lately."""
        since_s = time.monotonic() - ALIVE_S
        return [
            peer
            for peer in self.known.values()
            if peer.heard_s is not None and peer.heard_s >= since_s
        ]

    def callable_fronts(self) -> list[str]:
        """Return addresses of nodes that callers may be given."""
        alive = self.alive()
        since_s = time.monotonic() - ALIVE_S
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
            address = peer.address
            self._transport.sendto(packed, (address.ip, address.peer_port))

    def replaced(self, listed: list[store.Document]) -> None:
        """Take all nodes in the store."""
        addresses = [_read_address(stored) for stored in listed]
        found = {address.vm for address in addresses if address}
        for name in set(self.known) - found:
            self._drop(name)
        for address in addresses:
            self._add(address)

    def changed(self, changes: list[store.Change]) -> None:
        """Take nodes that came or left."""
        for change in changes:
            if change.is_removed:
                self._drop(change.name)
            else:
                self._add(_read_address(change.stored))

    def troubled(self) -> None:
        """Go on with the nodes that are known."""

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
        peer = self.known.get(word.vm)
        if peer is None:
            return
        if (word.born_ms, word.number) <= (peer.born_ms, peer.number):
            return
        peer.born_ms = word.born_ms
        peer.number = word.number
        peer.heard_s = time.monotonic()
        peer.is_leaving = bool(word.is_leaving)
        peer.is_ready = bool(word.is_ready)
        self._taker.word(word)

    def error_received(self, exc: Exception) -> None:
        """Do without: a peer that isn't there is known by its silence."""

    def drop_silent(self) -> list[str]:
        """Return nodes that fell silent, whose words no longer hold."""
        since_s = time.monotonic() - ALIVE_S
        silent = [
            name
            for name, peer in self.known.items()
            if peer.heard_s is not None and peer.heard_s < since_s
        ]
        for name in silent:
            self._taker.node_lost(name)
        return silent

    def _add(self, address: PeerAddress | None) -> None:
        if address is None or address.vm == self.own.vm:
            return
        known = self.known.get(address.vm)
        if known is not None and known.address == address:
            return
        LOG.info('node known', extra={'vm': address.vm, 'ip': address.ip})
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
    )


async def open_datagrams(peers: Peers) -> None:
    """Listen for the words of other nodes; raises OSError."""
    loop = asyncio.get_running_loop()
    await loop.create_datagram_endpoint(
        lambda: peers, local_addr=(peers.own.ip, peers.own.peer_port)
    )


def _read_address(stored: store.Document) -> PeerAddress | None:
    try:
        return PeerAddress(**stored['spec'])
    except (KeyError, TypeError) as error:
        LOG.warning('unusable node object', extra={'error': str(error)})
        return None
