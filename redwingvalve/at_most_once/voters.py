"""Which entries decide about a caller's own key."""

import hashlib
from collections import abc as collections_abc

VOTERS_PER_KEY = 3


def voters_of(
    names: collections_abc.Iterable[str], account: str, request_key: str
) -> tuple[str, ...]:
    """Return the names of the voters by rendezvous hashing, first is first.

    Adding or removing a name moves only the keys that it votes on.
    """
    ranked = sorted(
        names,
        key=lambda name: _rank(name, account, request_key),
        reverse=True,
    )
    return tuple(ranked[:VOTERS_PER_KEY])


def votes_needed(voters: int) -> int:
    """Return a majority, so that any two of them share a voter."""
    return voters // 2 + 1


def _rank(name: str, account: str, request_key: str) -> bytes:
    text = f'{name}\0{account}\0{request_key}'
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
