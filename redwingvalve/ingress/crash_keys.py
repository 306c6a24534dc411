"""Keys of what may crash endpoints: whole requests, and parts of prompts."""

import hashlib
import typing
from collections import abc as collections_abc

import attrs

# Hash of a request or of a part of a prompt.
Key: typing.TypeAlias = int
_DIGEST_BYTES = 7
_BITS_IN_BYTE = 8
# Set in the keys of parts only.
_PART_FLAG = 1 << (_DIGEST_BYTES * _BITS_IN_BYTE)


@attrs.frozen
class RequestKeys:
    """Keys of a request and of the parts that its prompt shares."""

    fingerprint: Key
    parts: tuple[Key, ...] = ()

    @property
    def all(self) -> tuple[Key, ...]:
        """Return all keys, that of the request first."""
        return self.fingerprint, *self.parts


def make_request_keys(
    target: bytes,
    account: str | None,
    body: bytes,
    part_ids: collections_abc.Iterable[str] = (),
) -> RequestKeys:
    """Return the keys of a request; part_ids are those of shared parts."""
    return RequestKeys(
        fingerprint(target, account, body), tuple(map(part_key, part_ids))
    )


def fingerprint(target: bytes, account: str | None, body: bytes) -> Key:
    """Return a hash that is the same for all attempts of one request."""
    return _digest(target, (account or '').encode(), body)


def part_key(part_id: str) -> Key:
    """Return the key of a part, whichever account or route sends it."""
    return _digest(part_id.encode()) | _PART_FLAG


def is_part(key: Key) -> bool:
    """Return whether a key is that of a part."""
    return bool(key & _PART_FLAG)


def format_key(key: Key) -> str:
    """Return a key as logs show it, in hexadecimal."""
    return f'{key:014x}'


def _digest(*pieces: bytes) -> int:
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for piece in pieces:
        digest.update(piece)
    return int.from_bytes(digest.digest(), 'big')
