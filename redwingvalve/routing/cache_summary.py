"""Summaries of prefix caches that an entry sends to the others of its region.

Load pattern: 480 replicas of a region, each read by one entry for all others.
Forwarding every event to 72 members would take 10 KB a second per replica. Only
prefixes that callers request repeatedly are sent, a few per replica, as state
and not as changes, so that the next item makes up for a lost or late one.

A replica takes 8 bytes and 4 for each prefix: with at most 6 held and 2 removed
prefixes, 480 replicas every 5 s are 3.8 KB a second to each member. Unchanged
items are sent every 10 s; replicas without an item for 25 s are forgotten.
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
MAX_HELD_SENT = 6
MAX_REMOVED_SENT = 2
# A removal is sent in two rounds, so that one lost item doesn't hide it.
REMOVED_REPEAT_S = 12.0
INVALIDATIONS_MODULUS = 256
# Prefixes requested at least twice within the last few minutes are hot.
HOT_COUNT = 2.0
MAX_COUNTED_PREFIXES = 4096
DECAY_INTERVAL = 8192


@attrs.frozen
class CacheSummary:
    """Summary of one replica; new invalidations: forget earlier prefixes."""

    mark: bytes
    invalidations: int
    held: tuple[bytes, ...]
    removed: tuple[bytes, ...]


class PrefixPopularity:
    """Decaying request counts of the prefixes at this entry."""

    def __init__(self) -> None:
        """Start empty."""
        self._counts: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._recorded = 0

    def record(self, prefix_hashes: collections_abc.Iterable[str]) -> None:
        """Count the prefixes of one request."""
        for prefix_hash in prefix_hashes:
            count = self._counts.pop(prefix_hash, 0.0)
            self._counts[prefix_hash] = count + 1
            self._recorded += 1
        while len(self._counts) > MAX_COUNTED_PREFIXES:
            self._counts.popitem(last=False)
        if self._recorded >= DECAY_INTERVAL:
            self._recorded = 0
            for prefix_hash in self._counts:
                self._counts[prefix_hash] /= 2

    def hottest(
        self, candidates: collections_abc.Iterable[str], limit: int
    ) -> tuple[str, ...]:
        """Return the most requested candidates, the hottest first."""
        hot = [
            (count, prefix_hash)
            for prefix_hash in candidates
            if (count := self._counts.get(prefix_hash, 0.0)) >= HOT_COUNT
        ]
        hot.sort(reverse=True)
        return tuple(prefix_hash for _, prefix_hash in hot[:limit])


def make_summary(
    mark: bytes,
    follower: cache_follower.CacheFollower,
    name: str,
    popularity: PrefixPopularity,
    now_s: float,
) -> CacheSummary:
    """Return the summary of one replica at now_s."""
    removed = follower.removed(name, now_s - REMOVED_REPEAT_S)
    return CacheSummary(
        mark=mark,
        invalidations=follower.invalidations(name) % INVALIDATIONS_MODULUS,
        held=_short_hashes(
            popularity.hottest(follower.held(name), MAX_HELD_SENT)
        ),
        removed=_short_hashes(popularity.hottest(removed, MAX_REMOVED_SENT)),
    )


def _short_hashes(prefix_hashes: tuple[str, ...]) -> tuple[bytes, ...]:
    return tuple(
        bytes.fromhex(prefix_hash)[:HASH_BYTES] for prefix_hash in prefix_hashes
    )


def short_hash(prefix_hash: str) -> str:
    """Return the hash that entries use for a prefix: its first 32 bits."""
    return prefix_hash[: HASH_BYTES * 2]


def encode(summaries: collections_abc.Iterable[CacheSummary]) -> bytes:
    """Encode summaries as the body of one news item."""
    return b''.join(
        HEAD.pack(
            summary.mark,
            summary.invalidations,
            len(summary.held) * COUNT_BASE + len(summary.removed),
        )
        + b''.join(summary.held + summary.removed)
        for summary in summaries
    )


def decode(body: bytes) -> tuple[CacheSummary, ...]:
    """Decode summaries up to the first truncated one."""
    summaries: list[CacheSummary] = []
    start = 0
    while start + HEAD.size <= len(body):
        mark, invalidations, counts = HEAD.unpack_from(body, start)
        held, removed = divmod(counts, COUNT_BASE)
        start += HEAD.size
        hashes = tuple(
            body[start + index * HASH_BYTES : start + (index + 1) * HASH_BYTES]
            for index in range(held + removed)
        )
        start += HASH_BYTES * len(hashes)
        if start > len(body):
            break
        summaries.append(
            CacheSummary(mark, invalidations, hashes[:held], hashes[held:])
        )
    return tuple(summaries)
