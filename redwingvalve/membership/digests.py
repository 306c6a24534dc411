"""Digests of the member table, compared to find differences between members.

Names are hashed into buckets. The digest of a bucket is the XOR of the hashes
of its statuses, so an update costs one XOR. Two tables that differ in one
status differ in one bucket, and only the statuses of that bucket are sent.
Dead members are left out, since members drop them at different times.
"""

import functools
import operator
import struct

import xxhash

from redwingvalve.membership import member_status, members

BUCKET_COUNT = 16
_INT64 = struct.Struct('>q')


def bucket_of(name: str) -> int:
    """Return the bucket of a name."""
    return xxhash.xxh32_intdigest(name.encode()) % BUCKET_COUNT


class TableDigests:
    """The digests of all buckets, updated incrementally."""

    def __init__(self) -> None:
        """Start with empty buckets."""
        self._digests = [0 for _ in range(BUCKET_COUNT)]

    def update(
        self,
        current: member_status.MemberStatus | None,
        newer: member_status.MemberStatus | None,
    ) -> None:
        """Replace the current status of a member by a newer one."""
        for status in (current, newer):
            if (
                status is not None
                and status.state is not members.MemberState.DEAD
            ):
                self._digests[bucket_of(status.name)] ^= _hash(status)

    def total(self) -> int:
        """Return a single digest of the whole table."""
        return functools.reduce(operator.xor, self._digests)

    def as_list(self) -> list[int]:
        """Return the digests as signed 64-bit numbers."""
        return list(self._digests)

    def differing(self, others: list[int]) -> list[int]:
        """Return the buckets whose digests differ from a peer's."""
        if len(others) != BUCKET_COUNT:
            return list(range(BUCKET_COUNT))
        return [
            bucket
            for bucket in range(BUCKET_COUNT)
            if self._digests[bucket] != others[bucket]
        ]


def _hash(status: member_status.MemberStatus) -> int:
    text = (
        f'{status.name}\0{status.member.incarnation}\0{status.heartbeat}'
        f'\0{status.state}'
    )
    return _INT64.unpack(xxhash.xxh64_digest(text.encode()))[0]
