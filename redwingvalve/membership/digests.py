"""Digests of the member table, by which two members find differences.

Names fall into buckets by hash; a bucket's digest is the XOR of the hashes of
its words, so that one change costs one XOR. Two tables that differ in one
word differ in one bucket, and only its words travel. Words of the dead are
left out, since members forget the dead at different times.
"""

import functools
import operator
import struct

import xxhash

from redwingvalve.membership import member_status, members

BUCKETS = 16
_INT64 = struct.Struct('>q')


def bucket_of(name: str) -> int:
    """Return the bucket of a name."""
    return xxhash.xxh32_intdigest(name.encode()) % BUCKETS


class TableDigests:
    """The digests of all buckets, kept up to date word by word."""

    def __init__(self) -> None:
        """Start with empty buckets."""
        self._digests = [0 for _ in range(BUCKETS)]

    def replace(
        self, held: member_status.Word | None, newer: member_status.Word | None
    ) -> None:
        """Account for a word that takes another's place."""
        for word in (held, newer):
            if word is not None and word.state is not members.MemberState.DEAD:
                self._digests[bucket_of(word.name)] ^= _hash(word)

    def total(self) -> int:
        """Return one digest of the whole table."""
        return functools.reduce(operator.xor, self._digests)

    def as_list(self) -> list[int]:
        """Return the digests as signed 64-bit numbers."""
        return list(self._digests)

    def differing(self, others: list[int]) -> list[int]:
        """Return the buckets that differ from another member's."""
        if len(others) != BUCKETS:
            return list(range(BUCKETS))
        return [
            bucket
            for bucket in range(BUCKETS)
            if self._digests[bucket] != others[bucket]
        ]


def _hash(word: member_status.Word) -> int:
    text = (
        f'{word.name}\0{word.member.incarnation}\0{word.heartbeat}'
        f'\0{word.state}'
    )
    return _INT64.unpack(xxhash.xxh64_digest(text.encode()))[0]
