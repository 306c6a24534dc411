"""What an entry tells the others of a region about prefix caches.

Load pattern: 480 replicas of a region, each read by one entry for all. Passing
every event on to 72 members would be 10 KB a second for each replica. Only
prefixes that callers ask for again and again are told, a few a replica, as a
state and not as changes: a lost or late item is made good by the next one.

A replica takes 8 bytes and 4 for each prefix: with 6 held and 2 removed at
most, 480 replicas every 5 s are 3.8 KB a second to each member; unchanged
items are told every 10 s. What isn't told any more for 25 s is forgotten.
"""

import collections
import struct
from collections import abc as collections_abc

import attrs

from redwingvalve.routing import cache_follower

HASH_BYTES = 4
MARK_BYTES = 6
HEAD = struct.Struct(f'!{MARK_BYTES}sBB')
COUNT_BASE = 16
MAX_HELD_TOLD = 6
MAX_REMOVED_TOLD = 2
# A removal is told in two rounds, so that one lost item doesn't hide it.
REMOVED_TOLD_S = 12.0
MAX_DOUBTS = 256
# Prefixes asked for at least twice within the last few minutes are hot.
HOT_FROM = 2.0
MAX_ASKED = 4096
FADE_EVERY = 8192


@attrs.frozen
class CacheSummary:
    """What is told of one replica; a new doubts means: forget the rest."""

    mark: bytes
    doubts: int
    held: tuple[bytes, ...]
    removed: tuple[bytes, ...]


class PrefixPopularity:
    """How often this entry's callers asked for each prefix lately."""

    def __init__(self) -> None:
        """Start empty."""
        self._counts: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._asked = 0

    def record(self, prefix_hashes: collections_abc.Iterable[str]) -> None:
        """Count one request."""
        for prefix_hash in prefix_hashes:
            count = self._counts.pop(prefix_hash, 0.0)
            self._counts[prefix_hash] = count + 1
            self._asked += 1
        while len(self._counts) > MAX_ASKED:
            self._counts.popitem(last=False)
        if self._asked >= FADE_EVERY:
            self._asked = 0
            for prefix_hash in self._counts:
                self._counts[prefix_hash] /= 2

    def hottest(
        self, among: collections_abc.Iterable[str], most: int
    ) -> tuple[str, ...]:
        """Return the ones asked for most often, the hottest first."""
        hot = [
            (count, prefix_hash)
            for prefix_hash in among
            if (count := self._counts.get(prefix_hash, 0.0)) >= HOT_FROM
        ]
        hot.sort(reverse=True)
        return tuple(prefix_hash for _, prefix_hash in hot[:most])


def make_summary(
    mark: bytes,
    follower: cache_follower.CacheFollower,
    name: str,
    asked: PrefixPopularity,
    now_s: float,
) -> CacheSummary:
    """Return what to tell of one replica now."""
    removed = follower.removed(name, now_s - REMOVED_TOLD_S)
    return CacheSummary(
        mark=mark,
        doubts=follower.doubts(name) % MAX_DOUBTS,
        held=_short(asked.hottest(follower.held(name), MAX_HELD_TOLD)),
        removed=_short(asked.hottest(removed, MAX_REMOVED_TOLD)),
    )


def _short(prefix_hashes: tuple[str, ...]) -> tuple[bytes, ...]:
    return tuple(
        bytes.fromhex(prefix_hash)[:HASH_BYTES] for prefix_hash in prefix_hashes
    )


def short_hash(prefix_hash: str) -> str:
    """Return the name by which entries know a prefix: its first 32 bits."""
    return prefix_hash[: HASH_BYTES * 2]


def encode(words: collections_abc.Iterable[CacheSummary]) -> bytes:
    """Return the body of one news item."""
    return b''.join(
        HEAD.pack(
            word.mark,
            word.doubts,
            len(word.held) * COUNT_BASE + len(word.removed),
        )
        + b''.join(word.held + word.removed)
        for word in words
    )


def decode(body: bytes) -> tuple[CacheSummary, ...]:
    """Return the words up to the first part that cannot be read."""
    words: list[CacheSummary] = []
    start = 0
    while start + HEAD.size <= len(body):
        mark, doubts, counts = HEAD.unpack_from(body, start)
        held, removed = divmod(counts, COUNT_BASE)
        start += HEAD.size
        hashes = tuple(
            body[start + place * HASH_BYTES : start + (place + 1) * HASH_BYTES]
            for place in range(held + removed)
        )
        start += HASH_BYTES * len(hashes)
        if start > len(body):
            break
        words.append(CacheSummary(mark, doubts, hashes[:held], hashes[held:]))
    return tuple(words)
