"""Hears of higher versions on exchanges and fetches the records lacking.

Load pattern: a change starts at a few watchers and reaches 360 nodes within a
second. An exchange carries only version numbers; whoever lacks records asks
one peer for those above its own versions, one request at a time, so that a
burst of changes costs a node a few requests and not one for each peer that
has heard of them.
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
# Short, so that a lost answer costs little of the 4 s in which a change is to
# be in force; the next source is asked then.
FETCH_TIMEOUT_S = 0.7
# Peers remembered as having more; the newest are asked first.
MAX_SOURCES = 8


class RecordFetcher(delegates.ExchangeDelegate):
    """Keeps a record table level with the peers that exchanges meet."""

    def __init__(
        self,
        table: records.RecordTable,
        present: members.Members,
        caller: rpc.PeerCaller,
        changed: collections_abc.Callable[[], None],
    ) -> None:
        """Call changed after each fetch that brought something."""
        self._table = table
        self._members = present
        self._caller = caller
        self._changed = changed
        self._sources: dict[Address, None] = {}
        self._wake = anyio.Event()

    def ask(self, question: Exchange, peer_region: str) -> None:
        """Say a digest of the versions that the receiver should know too."""
        question.configuration_digest = self._digest(peer_region)

    def answer(self, heard: Exchange, reply: Exchange) -> None:
        """Say which versions are known, if the asker's differ."""
        mine = self._digest(heard.sender.region or '')
        if heard.configuration_digest != mine:
            reply.configuration_versions = self._table.versions()

    def follow_up(self, heard: Exchange, supplement: Exchange) -> bool:
        """Say which versions are known, if the answerer lacks some."""
        theirs = heard.configuration_versions
        mine = self._table.versions()
        if theirs is None or not _lacks(theirs, mine, heard.sender.region):
            return False
        supplement.configuration_versions = mine
        return True

    def receive(
        self, heard: Exchange, address: Address, delay_s: float
    ) -> None:
        """Fetch from the sender when it knows more."""
        theirs = heard.configuration_versions or {}
        if not _lacks(self._table.versions(), theirs, self._region()):
            return
        self._sources.pop(address, None)
        self._sources[address] = None
        if len(self._sources) > MAX_SOURCES:
            del self._sources[next(iter(self._sources))]
        self._wake.set()

    async def run(self) -> None:
        """Fetch whenever a peer has more, until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            while self._sources:
                address, _ = self._sources.popitem()
                if await self._fetch(address):
                    self._sources.clear()

    async def _fetch(self, address: Address) -> bool:
        """Fetch until nothing is lacking; False when the peer fails."""
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
            if self._table.take_reply(answer.ok):
                self._changed()
            complete = bool(answer.ok.complete)
        return True

    def _digest(self, peer_region: str) -> int:
        # Domains of a region concern its members only, so that they are left
        # out between regions, where they always differ.
        digest = 0
        shared = self._region() if peer_region == self._region() else None
        for group, version in self._table.versions().items():
            if group in records.CONFIGURATION_KINDS or (
                shared is not None and records.concerns(group, shared)
            ):
                digest ^= _versions_hash(group, version)
        return digest

    def _region(self) -> str:
        return self._members.local_member().region


@functools.lru_cache(maxsize=4096)
def _versions_hash(group: str, version: int) -> int:
    return xxhash.xxh64_intdigest(f'{group}\0{version}'.encode()) >> 1


def _lacks(have: Versions, offered: Versions, region: str) -> bool:
    return any(
        version > have.get(group, 0)
        for group, version in offered.items()
        if records.concerns(group, region)
    )
