"""Learns of newer versions from gossip exchanges and fetches the records.

Load pattern: a change starts at a few watchers and reaches 360 nodes within a
second. An exchange carries only version numbers. A node that lacks records
requests those above its own versions from one peer, one request at a time, so
a burst of changes costs a node a few requests and not one for each peer that
has the changes.
"""

import functools
from collections import abc as collections_abc

import anyio
import xxhash

from redwingvalve.configuration import records
from redwingvalve.membership import delegates, members
from redwingvalve.wire import messages, rpc

Address = tuple[str, int]
Exchange = messages.peer.Exchange
Versions = collections_abc.Mapping[str, int]
# A small part of the 4 s within which a change has to be in force, so that the
# next source can be tried after a lost reply.
FETCH_TIMEOUT_S = 0.7
# Peers known to have newer records; the most recent ones are tried first.
MAX_SOURCES = 8


class RecordFetcher(delegates.ExchangeDelegate):
    """Synchronizes a record table with the peers met in gossip exchanges."""

    def __init__(
        self,
        table: records.RecordTable,
        present: members.Members,
        caller: rpc.PeerCaller,
        on_change: collections_abc.Callable[[], None],
    ) -> None:
        """Call on_change after each fetch that changed the table."""
        self._table = table
        self._members = present
        self._caller = caller
        self._on_change = on_change
        self._sources: dict[Address, None] = {}
        self._wakeup = anyio.Event()

    def ask(self, question: Exchange, peer_region: str) -> None:
        """Send a digest of the versions that the peer should have as well."""
        question.configuration_digest = self._digest(peer_region)

    def answer(self, received: Exchange, reply: Exchange) -> None:
        """Send the versions of this process if the digests differ."""
        own_digest = self._digest(received.sender.region or '')
        if received.configuration_digest != own_digest:
            reply.configuration_versions = self._table.versions()

    def follow_up(self, received: Exchange, supplement: Exchange) -> bool:
        """Send the versions of this process if the peer lacks some."""
        their_versions = received.configuration_versions
        own_versions = self._table.versions()
        if their_versions is None or not _is_behind(
            their_versions, own_versions, received.sender.region
        ):
            return False
        supplement.configuration_versions = own_versions
        return True

    def receive(
        self, received: Exchange, address: Address, delay_s: float
    ) -> None:
        """Schedule a fetch from the sender if it has newer records."""
        their_versions = received.configuration_versions or {}
        if not _is_behind(
            self._table.versions(), their_versions, self._region()
        ):
            return
        self._sources.pop(address, None)
        self._sources[address] = None
        if len(self._sources) > MAX_SOURCES:
            del self._sources[next(iter(self._sources))]
        self._wakeup.set()

    async def run(self) -> None:
        """Fetch from peers with newer records until cancelled."""
        while True:
            await self._wakeup.wait()
            self._wakeup = anyio.Event()
            while self._sources:
                address, _ = self._sources.popitem()
                if await self._fetch(address):
                    self._sources.clear()

    async def _fetch(self, address: Address) -> bool:
        """Fetch all missing records from a peer; False if it fails."""
        complete = False
        while not complete:
            request = messages.peer.RecordsRequest(
                region=self._region(), have_versions=self._table.versions()
            )
            answer = await self._caller.call(
                address, 'fetch_records', request, FETCH_TIMEOUT_S
            )
            if answer.is_error():
                return False
            if self._table.apply_reply(answer.ok):
                self._on_change()
            complete = bool(answer.ok.complete)
        return True

    def _digest(self, peer_region: str) -> int:
        # Fabric domains are replicated within their region only. Between
        # regions they are left out, since the digests would always differ.
        digest = 0
        shared = self._region() if peer_region == self._region() else None
        for group, version in self._table.versions().items():
            if group in records.CONFIGURATION_KINDS or (
                shared is not None and records.is_stored_in(group, shared)
            ):
                digest ^= _versions_hash(group, version)
        return digest

    def _region(self) -> str:
        return self._members.local_member().region


@functools.lru_cache(maxsize=4096)
def _versions_hash(group: str, version: int) -> int:
    return xxhash.xxh64_intdigest(f'{group}\0{version}'.encode()) >> 1


def _is_behind(have: Versions, offered: Versions, region: str) -> bool:
    return any(
        version > have.get(group, 0)
        for group, version in offered.items()
        if records.is_stored_in(group, region)
    )
